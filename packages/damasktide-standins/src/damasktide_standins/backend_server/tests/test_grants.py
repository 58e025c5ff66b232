import unittest
from dataclasses import replace

from damasktide_standins.backend_server.grants import Grant, GrantLedger


class GrantLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = GrantLedger("boot")
        self.grant = self.grant_at(10.0, version=3, shards={1, 2})

    def grant_at(self, now: float, version: int, shards: set[int]) -> Grant:
        state = self.ledger.state(now)
        return Grant(version, frozenset(shards), state.term, state.now_ms, 500)

    def test_grant_ends_at_basis_plus_ttl_and_is_not_revived(self) -> None:
        """Guards against two owners: a replayed grant must not revive a lapsed one."""
        self.assertIsNone(self.ledger.apply(self.grant, 10.2))
        self.assertTrue(self.ledger.owns(1, 10.499))
        self.assertFalse(self.ledger.owns(1, 10.5))
        late = replace(self.grant, ttl_ms=5000)
        self.assertEqual(self.ledger.apply(late, 10.6), "the term is not current")
        self.assertFalse(self.ledger.owns(1, 10.6))

    def test_delayed_grant_is_void(self) -> None:
        """Guards against a grant that counts from its arrival instead of its basis."""
        self.assertEqual(self.ledger.apply(self.grant, 10.5), "the grant has ended")

    def test_grant_from_before_a_boot_is_void(self) -> None:
        """Guards against a grant that was given to the previous incarnation."""
        self.ledger.reboot("boot2", 10.0)
        self.assertEqual(self.ledger.apply(self.grant, 10.1), "the term is not current")

    def test_lower_version_is_void_even_while_nothing_is_held(self) -> None:
        """Guards against a renewer that has missed a move."""
        self.ledger.apply(self.grant, 10.0)
        old = self.grant_at(11.0, version=2, shards={1})
        self.assertEqual(self.ledger.apply(old, 11.0), "version 3 has been seen")

    def test_replay_does_not_shorten_a_renewed_grant(self) -> None:
        """Guards against a gap in service after a reordered renewal."""
        self.ledger.apply(self.grant_at(10.2, 3, {1, 2}), 10.2)
        self.ledger.apply(self.grant, 10.3)
        self.assertTrue(self.ledger.owns(1, 10.6))

    def test_draining_counts_runs_of_shards_given_up(self) -> None:
        """Guards against a move that ends while the old owner still runs a request."""
        self.ledger.apply(self.grant, 10.0)
        self.ledger.begin(7, 1, 10.0)
        self.ledger.apply(self.grant_at(10.1, 4, {2}), 10.1)
        self.assertFalse(self.ledger.owns(1, 10.1))
        self.assertEqual(self.ledger.state(10.2).draining, 1)
        self.assertIsNone(self.ledger.finish(7, 10.3))
        self.assertEqual(self.ledger.state(10.3).draining, 0)

    def test_run_that_outlives_its_term_has_no_effect(self) -> None:
        """Guards against a paused server that completes a request after a move."""
        self.ledger.apply(self.grant, 10.0)
        self.ledger.begin(7, 1, 10.1)
        self.ledger.apply(self.grant_at(19.9, 3, {1}), 19.9)
        self.assertEqual(self.ledger.finish(7, 20.0), 10.5)


if __name__ == "__main__":
    unittest.main()
