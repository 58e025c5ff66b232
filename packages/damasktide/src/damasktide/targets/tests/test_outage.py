"""What the task of the targets takes for an outage of the store, without a network."""

import unittest
from dataclasses import replace
from time import monotonic
from unittest.mock import patch

from damasktide.rows.follower import (
    FollowerMessage,
    StoreAvailable,
    StoreUnavailable,
    TableChanged,
    TableRead,
)
from damasktide.rows.store import Changes, Row, TableState, version_of
from damasktide.runtime.clock import LeaseClock
from damasktide.targets.directory import EXPIRED_ENTRY_GRACE_S
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


def decode_state(row: Row) -> TargetEntry:
    return replace(decode(row), state=TargetState(row.value.decode() or "ready"))


class TestRestoreOfTheStore(unittest.TestCase):
    def setUp(self) -> None:
        self.task = TargetTask(
            None,  # type: ignore[arg-type]
            TABLE,
            decode_state,
            lambda view: None,
            lambda: None,
        )
        self.now = LeaseClock().now()
        self.read(1, {"t1": 8, "t2": 9})

    def read(self, era: int, number_by_id: dict[str, int]) -> None:
        rows = tuple(Row(key, b"", version_of(era, at)) for key, at in number_by_id.items())
        state = TableState(rows, version_of(era, 20))
        self.task._table_read(TableRead(TABLE, state, self.now))

    def change(self, era: int, key: str, number: int, state: str = "", drop: bool = False) -> None:
        row = Row(key, state.encode(), version_of(era, number), drop)
        self.task._table_changed(TableChanged(TABLE, Changes((row,), row.version), self.now))

    def usable(self) -> set[str]:
        usable = self.task.view.value.usable_by_service.get("desk", ())
        return {entry.target_id for entry in usable}

    def test_missing_target_is_kept_for_the_grace_period(self) -> None:
        self.read(2, {"t1": 8})
        self.assertEqual(self.usable(), {"t1", "t2"})
        with patch("damasktide.targets.task.monotonic", return_value=monotonic() + 60.0):
            self.task._remove_expired()
        self.assertEqual(self.usable(), {"t1"})

    def test_target_that_drains_is_not_used_by_its_restored_entry(self) -> None:
        self.change(1, "t1", 12, "draining")
        self.read(2, {"t1": 8, "t2": 9})
        self.assertEqual(self.usable(), {"t2"})
        self.change(2, "t1", 21)
        self.assertEqual(self.usable(), {"t1", "t2"})

    def test_target_that_left_is_not_used_by_its_restored_entry(self) -> None:
        self.change(1, "t1", 12, drop=True)
        self.read(2, {"t1": 8, "t2": 9})
        self.assertEqual(self.usable(), {"t2"})
        self.change(2, "t1", 21)
        self.assertEqual(self.usable(), {"t1", "t2"})

    def test_restored_entry_that_withdraws_its_target_counts(self) -> None:
        """Guards against the use of a target that started to drain right after the restore."""
        self.change(1, "t1", 15)
        state = TableState((Row("t1", b"draining", version_of(2, 13)),), version_of(2, 13))
        self.task._table_read(TableRead(TABLE, state, self.now))
        self.assertNotIn("t1", self.usable())

    def test_restored_list_confirms_no_target(self) -> None:
        """Guards against a grant to a process that only the copy lists at its address."""
        confirmed_at = self.task.confirmed_at.value
        self.read(2, {"t1": 8})
        self.assertEqual(self.task.confirmed_at.value, confirmed_at)
        self.now += EXPIRED_ENTRY_GRACE_S + 1.0
        self.change(2, "t1", 21)
        self.assertEqual(self.task.confirmed_at.value, self.now)
