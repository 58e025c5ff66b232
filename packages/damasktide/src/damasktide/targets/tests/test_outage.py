"""What the task of the targets takes for an outage of the store, without a network."""

import unittest

from damasktide.rows.follower import (
    FollowerMessage,
    StoreAvailable,
    StoreUnavailable,
    TableChanged,
    TableRead,
)
from damasktide.rows.store import Changes, Row, TableState
from damasktide.runtime.clock import LeaseClock
from damasktide.targets.target import TargetEntry, TargetState
from damasktide.targets.task import TargetTask

TABLE = "targets"
CHECK_IN_INTERVAL_S = 0.87


def decode(row: Row) -> TargetEntry:
    return TargetEntry(row.key, 1, "desk", "a1", (row.key, 80), 6, TargetState.READY)


class TestOutageOfTheStore(unittest.TestCase):
    def setUp(self) -> None:
        self.uninterrupted_since = float("inf")
        self.task = TargetTask(
            None,  # type: ignore[arg-type]
            TABLE,
            decode,
            lambda view: None,
            lambda: None,
            check_in_interval_s=CHECK_IN_INTERVAL_S,
            uninterrupted_since=lambda: self.uninterrupted_since,
        )
        self.now = LeaseClock().now()
        rows = (Row("t1", b"", 1), Row("t2", b"", 2))
        # The last response before the outage, longer ago than two check-in intervals.
        self.handle(TableRead(TABLE, TableState(rows, 2), self.now - 5.0))
        self.task._store_unavailable(StoreUnavailable(TABLE, "not_connected: timed out"))
        self.task._store_available(StoreAvailable(TABLE))

    def handle(self, message: FollowerMessage) -> None:
        if isinstance(message, TableRead):
            self.task._table_read(message)
        else:
            self.task._table_changed(message)

    def usable_after(self, *dropped: Row) -> set[str]:
        self.handle(TableChanged(TABLE, Changes(dropped, 9), self.now))
        self.task._remove_expired()
        return {entry.target_id for entry in self.task.view.value.usable_by_service["desk"]}

    def test_entry_that_may_have_expired_in_an_outage_is_kept(self) -> None:
        self.assertEqual(self.usable_after(Row("t1", b"", 9, True)), {"t1", "t2"})

    def test_target_that_left_while_only_this_instance_was_cut_off_is_not_used(self) -> None:
        """Guards against requests to a target that left, sent by one machine with a full link.

        Seen 4.1 s after the first instance had removed the target.
        """
        self.uninterrupted_since = self.now - 60.0
        self.assertEqual(self.usable_after(Row("t1", b"", 9, True)), {"t2"})

    def test_grace_period_ends_when_a_source_had_no_outage(self) -> None:
        self.assertEqual(self.usable_after(Row("t1", b"", 9, True)), {"t1", "t2"})
        self.uninterrupted_since = self.now - 60.0
        self.assertEqual(self.usable_after(), {"t2"})

    def test_source_that_returned_after_the_outage_shows_nothing(self) -> None:
        self.uninterrupted_since = self.now - 4.0
        self.assertEqual(self.usable_after(Row("t1", b"", 9, True)), {"t1", "t2"})
