import unittest
from dataclasses import replace

from damasktide.ownership.domain_monitor import BACK_OFF_S, DomainMonitor
from damasktide.ownership.effects import AskAdopt, ReadMap, WriteMap
from damasktide.ownership.shard_map import MoveCause, with_moves
from damasktide.ownership.tests.fixtures import (
    NEW,
    OLD,
    TICK_S,
    confirm_reply,
    first_map,
    has_grant,
    make_ownership,
    server_reply,
)


class GrantTest(unittest.TestCase):
    def test_first_grant_after_a_restart_requires_a_newer_map_read(self) -> None:
        """Guards against a grant of an old version to a server that lost its version fence.

        A newer version fenced the server, but its restart erased the fence. A quorum that does
        not know the newer version still confirms the old one.
        """
        subject = make_ownership("a1", "a2", "b1", "b2")
        subject.on_map_row_read(first_map(), 0.0, 0.0)
        list(subject.on_tick(0.0))
        subject.on_server_reply("old", server_reply(boot=2, version=0), 0.6)
        list(subject.on_tick(0.6))
        for peer in ("a2", "b1", "b2"):
            subject.on_confirm_reply(confirm_reply(peer), 0.6)
        self.assertGreater(subject.renewal_lease_valid_until("a"), 0.7)
        self.assertFalse(has_grant(list(subject.on_tick(0.7))))
        subject.on_map_row_read(first_map(), 0.7, 0.71)
        self.assertTrue(has_grant(list(subject.on_tick(0.71 + TICK_S))))

    def test_server_with_a_fence_is_granted_without_the_store(self) -> None:
        """Guards against a store outage that stops servers which have not restarted."""
        subject = make_ownership("a1", "a2", "b1", "b2")
        subject.on_map_row_read(first_map(), 0.0, 0.0)
        list(subject.on_tick(0.0))
        subject.on_server_reply("old", server_reply(version=1), 0.6)
        list(subject.on_tick(0.6))
        for peer in ("a2", "b1", "b2"):
            subject.on_confirm_reply(confirm_reply(peer), 0.6)
        self.assertTrue(has_grant(list(subject.on_tick(0.7))))


class MapRowReadTest(unittest.TestCase):
    def test_confirmed_write_counts_as_a_map_read(self) -> None:
        """Guards against losing the renewal lease if the store fails right after a write.

        No instance can have read the new version then, so a quorum does not extend the lease.
        """
        subject = make_ownership("a1")
        subject.on_map_row_read(None, 0.0, 0.0)
        (write,) = [one for one in subject.on_tick(0.1) if isinstance(one, WriteMap)]
        subject.on_write_result(write.shard_map, 0.2)
        self.assertAlmostEqual(subject.renewal_lease_valid_until("a"), 0.1 + 0.6)


class SuspicionTest(unittest.TestCase):
    def test_short_pause_of_this_process_does_not_move_shards(self) -> None:
        """Guards against taking a server for lost because this process was paused.

        The pause is shorter than the suspicion timeout.
        """
        both_own = replace(first_map(), servers=(OLD, NEW), owners=(0, 1))
        subject = make_ownership("a1", "b1")
        subject.on_map_row_read(both_own, 0.0, 0.0)
        list(subject.on_tick(0.0))
        subject.on_server_reply("old", server_reply(), 0.01)
        list(subject.on_tick(0.15))
        # The process is paused for 0.3 s before it can read the response to the tick at 0.15 s.
        subject.on_map_row_read(both_own, 0.44, 0.44)
        effects = list(subject.on_tick(0.45))
        self.assertFalse([one for one in effects if isinstance(one, WriteMap)])

    def test_monitor_backs_off_after_a_cancelled_takeover(self) -> None:
        """Guards against shards that become pending again and again.

        A partition between two failure domains makes one domain look lost to the other.
        """
        monitor = DomainMonitor()
        monitor.restart(0.0)
        pending = with_moves(first_map(), [(0, "new", MoveCause.LOST)], [NEW])
        cancelled = with_moves(pending, [(0, "old", MoveCause.LOST)], [])
        self.assertTrue(monitor.is_presumed_lost(["a1"], 0.5))
        monitor.record_change(pending, cancelled, "a", 0.5)
        self.assertFalse(monitor.is_presumed_lost(["a1"], 10.0))
        self.assertTrue(monitor.is_presumed_lost(["a1"], 0.5 + BACK_OFF_S))


class ProposalTimingTest(unittest.TestCase):
    def test_write_with_unknown_result_is_followed_by_a_new_map_read(self) -> None:
        """Guards against repeating the same write over and over after a conflict or an error."""
        subject = make_ownership("a1")
        subject.on_map_row_read(None, 0.0, 0.0)
        (write,) = [one for one in subject.on_tick(0.1) if isinstance(one, WriteMap)]
        subject.on_write_result(write.shard_map, 0.2)
        subject.on_server_reply("old", server_reply(version=1), 0.2)
        subject.on_server_reply("new", server_reply(version=1), 0.2)
        subject.on_tick(0.3)
        subject.on_write_result(None, 0.31)
        effects = list(subject.on_tick(0.32))
        self.assertIn(ReadMap(), effects)
        self.assertFalse([one for one in effects if isinstance(one, WriteMap)])

    def test_next_tick_is_due_when_a_server_becomes_suspect(self) -> None:
        """Guards against a takeover that starts several renewal intervals late."""
        subject = make_ownership("a1", "b1")
        subject.on_map_row_read(first_map(), 0.0, 0.0)
        list(subject.on_tick(0.0))
        subject.on_server_reply("old", server_reply(), 0.01)
        for now in (0.02, 0.15, 0.3, 0.4):
            subject.on_map_row_read(first_map(), now, now)
            list(subject.on_tick(now))
        self.assertAlmostEqual(subject.next_tick_at(), 0.411)

    def test_outdated_peer_gets_the_map_without_the_store(self) -> None:
        """Guards against an instance that starts during a store outage and never gets the map."""
        subject = make_ownership("a1", "a2", "b1", "b2")
        subject.on_map_row_read(first_map(), 0.0, 0.0)
        list(subject.on_tick(0.5))
        subject.on_confirm_reply(confirm_reply("a2", version=0), 0.5)
        self.assertIn(AskAdopt("a2", first_map()), list(subject.on_tick(0.65)))
