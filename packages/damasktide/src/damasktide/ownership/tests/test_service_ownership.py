import unittest
from dataclasses import replace

from damasktide.ownership.effects import AskAdopt, ReadMap, WriteMap
from damasktide.ownership.guarding import BACK_OFF_S, DomainGuard
from damasktide.ownership.shard_map import MoveCause, with_moves
from damasktide.ownership.tests.fixtures import (
    NEW,
    OLD,
    TICK_S,
    confirm,
    decisions,
    first_map,
    granted,
    reply,
)


class GrantTest(unittest.TestCase):
    def test_restarted_server_needs_table_news(self) -> None:
        """Guards against a grant of an old version to a server that lost its fence.

        The server was fenced by a newer version, which its restart has erased. A quorum that
        does not know the newer version still confirms the old one.
        """
        subject = decisions("a1", "a2", "b1", "b2")
        subject.on_table_read(first_map(), 0.0, 0.0)
        list(subject.on_tick(0.0))
        subject.on_server_reply("old", reply(boot=2, version=0), 0.6)
        list(subject.on_tick(0.6))
        for peer in ("a2", "b1", "b2"):
            subject.on_confirm_reply(confirm(peer), 0.6)
        self.assertGreater(subject.right_valid_until("a"), 0.7)
        self.assertFalse(granted(list(subject.on_tick(0.7))))
        subject.on_table_read(first_map(), 0.7, 0.71)
        self.assertTrue(granted(list(subject.on_tick(0.71 + TICK_S))))

    def test_server_that_kept_its_fence_needs_no_table(self) -> None:
        """Guards against an outage of the table that stops servers which still run."""
        subject = decisions("a1", "a2", "b1", "b2")
        subject.on_table_read(first_map(), 0.0, 0.0)
        list(subject.on_tick(0.0))
        subject.on_server_reply("old", reply(version=1), 0.6)
        list(subject.on_tick(0.6))
        for peer in ("a2", "b1", "b2"):
            subject.on_confirm_reply(confirm(peer), 0.6)
        self.assertTrue(granted(list(subject.on_tick(0.7))))


class TableNewsTest(unittest.TestCase):
    def test_confirmed_write_is_table_news(self) -> None:
        """Guards against a table outage that follows a write and leaves no right.

        Nobody else can have table news of the new version then, so no quorum counts either.
        """
        subject = decisions("a1")
        subject.on_table_read(None, 0.0, 0.0)
        (write,) = [one for one in subject.on_tick(0.1) if isinstance(one, WriteMap)]
        subject.on_write_result(write.shard_map, 0.2)
        self.assertAlmostEqual(subject.right_valid_until("a"), 0.1 + 0.6)


class SuspicionTest(unittest.TestCase):
    def test_pause_shorter_than_the_suspicion_time(self) -> None:
        """Guards against moves because this process was paused, not the server."""
        both_own = replace(first_map(), servers=(OLD, NEW), owners=(0, 1))
        subject = decisions("a1", "b1")
        subject.on_table_read(both_own, 0.0, 0.0)
        list(subject.on_tick(0.0))
        subject.on_server_reply("old", reply(), 0.01)
        list(subject.on_tick(0.15))
        # The response to the tick at 0.15 s waits while the process is paused for 0.3 s.
        subject.on_table_read(both_own, 0.44, 0.44)
        effects = list(subject.on_tick(0.45))
        self.assertFalse([one for one in effects if isinstance(one, WriteMap)])

    def test_partition_between_two_domains_is_left_to_membership(self) -> None:
        """Guards against shards that become pending again and again."""
        guard = DomainGuard()
        guard.restart(0.0)
        pending = with_moves(first_map(), [(0, "new", MoveCause.LOST)], [NEW])
        called_off = with_moves(pending, [(0, "old", MoveCause.LOST)], [])
        self.assertTrue(guard.is_silent(["a1"], 0.5))
        guard.record_change(pending, called_off, "a", 0.5)
        self.assertFalse(guard.is_silent(["a1"], 10.0))
        self.assertTrue(guard.is_silent(["a1"], 0.5 + BACK_OFF_S))


class ProposalTimingTest(unittest.TestCase):
    def test_conflict_is_followed_by_newer_news(self) -> None:
        """Guards against the same write again and again after a conflict."""
        subject = decisions("a1")
        subject.on_table_read(None, 0.0, 0.0)
        (write,) = [one for one in subject.on_tick(0.1) if isinstance(one, WriteMap)]
        subject.on_write_result(write.shard_map, 0.2)
        subject.on_server_reply("old", reply(version=1), 0.2)
        subject.on_server_reply("new", reply(version=1), 0.2)
        subject.on_tick(0.3)
        subject.on_write_result(None, 0.31)
        effects = list(subject.on_tick(0.32))
        self.assertIn(ReadMap(), effects)
        self.assertFalse([one for one in effects if isinstance(one, WriteMap)])

    def test_loss_is_noticed_without_waiting_for_the_interval(self) -> None:
        """Guards against a takeover that is late by several renewal intervals."""
        subject = decisions("a1", "b1")
        subject.on_table_read(first_map(), 0.0, 0.0)
        list(subject.on_tick(0.0))
        subject.on_server_reply("old", reply(), 0.01)
        for now in (0.02, 0.15, 0.3, 0.4):
            subject.on_table_read(first_map(), now, now)
            list(subject.on_tick(now))
        self.assertAlmostEqual(subject.next_tick_at(), 0.411)

    def test_peer_behind_gets_the_map_without_the_table(self) -> None:
        """Guards against a process that starts in an outage and never learns the map."""
        subject = decisions("a1", "a2", "b1", "b2")
        subject.on_table_read(first_map(), 0.0, 0.0)
        list(subject.on_tick(0.5))
        subject.on_confirm_reply(confirm("a2", version=0), 0.5)
        self.assertIn(AskAdopt("a2", first_map()), list(subject.on_tick(0.65)))
