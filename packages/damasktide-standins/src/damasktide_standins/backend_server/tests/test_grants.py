import unittest
from dataclasses import replace

from damasktide_standins.backend_server.grants import Grant, GrantTracker


class GrantTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.grant_tracker = GrantTracker("boot")
        self.grant = self.grant_at(10.0, version=3, shards={1, 2})

    def grant_at(self, now: float, version: int, shards: set[int]) -> Grant:
        state = self.grant_tracker.state(now)
        return Grant(version, frozenset(shards), state.term, state.now_ms, 500)

    def test_grant_expires_at_basis_plus_ttl_and_is_not_revived(self) -> None:
        """Guards against two owners: a replayed grant must not revive an expired one."""
        self.assertIsNone(self.grant_tracker.apply(self.grant, 10.2))
        self.assertTrue(self.grant_tracker.owns(1, 10.499))
        self.assertFalse(self.grant_tracker.owns(1, 10.5))
        late_grant = replace(self.grant, ttl_ms=5000)
        self.assertEqual(self.grant_tracker.apply(late_grant, 10.6), "the term is not current")
        self.assertFalse(self.grant_tracker.owns(1, 10.6))

    def test_delayed_grant_is_refused(self) -> None:
        """Guards against a TTL that counts from arrival instead of from the basis."""
        self.assertEqual(self.grant_tracker.apply(self.grant, 10.5), "the grant has ended")

    def test_grant_from_before_a_restart_is_refused(self) -> None:
        """Guards against accepting a grant that was sent to the previous incarnation."""
        self.grant_tracker.restart("boot2", 10.0)
        self.assertEqual(self.grant_tracker.apply(self.grant, 10.1), "the term is not current")

    def test_lower_version_is_refused_even_without_a_current_grant(self) -> None:
        """Guards against accepting a grant from a renewer that has missed a move."""
        self.grant_tracker.apply(self.grant, 10.0)
        outdated_grant = self.grant_at(11.0, version=2, shards={1})
        self.assertEqual(self.grant_tracker.apply(outdated_grant, 11.0), "version 3 has been seen")

    def test_replay_does_not_shorten_a_renewed_grant(self) -> None:
        """Guards against a gap in service after renewals arrive out of order."""
        self.grant_tracker.apply(self.grant_at(10.2, 3, {1, 2}), 10.2)
        self.grant_tracker.apply(self.grant, 10.3)
        self.assertTrue(self.grant_tracker.owns(1, 10.6))

    def test_draining_counts_runs_of_lost_shards(self) -> None:
        """Guards against a move that completes while the old owner still runs a request."""
        self.grant_tracker.apply(self.grant, 10.0)
        self.grant_tracker.begin(7, 1, 10.0)
        self.grant_tracker.apply(self.grant_at(10.1, 4, {2}), 10.1)
        self.assertFalse(self.grant_tracker.owns(1, 10.1))
        self.assertEqual(self.grant_tracker.state(10.2).draining, 1)
        self.assertIsNone(self.grant_tracker.finish(7, 10.3))
        self.assertEqual(self.grant_tracker.state(10.3).draining, 0)

    def test_run_that_outlives_its_term_has_no_effect(self) -> None:
        """Guards against a paused server that completes a request after a move."""
        self.grant_tracker.apply(self.grant, 10.0)
        self.grant_tracker.begin(7, 1, 10.1)
        self.grant_tracker.apply(self.grant_at(19.9, 3, {1}), 19.9)
        self.assertEqual(self.grant_tracker.finish(7, 20.0), 10.5)


if __name__ == "__main__":
    unittest.main()
