"""Snapshots of tables and the changes that readers get from them, without network."""

import unittest

from damasktide.rows.snapshot import (
    MAX_KEPT_DROPS,
    TableSnapshot,
    value_fingerprint,
    version_fingerprint,
)
from damasktide.rows.store import Changes, Row, TableState, version_of


def row(key: str, version: int, value: bytes = b"x") -> Row:
    return Row(key, value, version)


def drop(key: str, version: int) -> Row:
    return Row(key, b"", version, is_dropped=True)


def first_byte_fingerprint(found: Row) -> bytes:
    return found.value[:1]


class TestSnapshot(unittest.TestCase):
    def setUp(self) -> None:
        state = TableState((row("a", 3), row("b", 5)), 7)
        self.snapshot = TableSnapshot.of(state, 1.0, first_byte_fingerprint)

    def updated(self, *rows: Row, version: int) -> TableSnapshot:
        return self.snapshot.updated(Changes(rows, version), 2.0, first_byte_fingerprint)

    def test_change_of_the_fingerprint_is_relayed(self) -> None:
        found = self.updated(row("a", 9, b"y1"), version=9)
        self.assertEqual([item.version for item in found.rows_after(7)], [9])

    def test_check_ins_are_not_relayed(self) -> None:
        """Guards against relaying every check-in of every target."""
        found = self.updated(row("a", 9, b"x1"), row("a", 12, b"x2"), version=12)
        self.assertEqual(found.rows_after(7), ())
        self.assertEqual(found.version, 12)
        self.assertEqual([item.version for item in found.rows_after(2)], [12, 5])

    def test_deletion_is_relayed_until_the_row_exists_again(self) -> None:
        """Guards against readers disagreeing on whether a target exists."""
        found = self.updated(drop("a", 9), version=9)
        self.assertTrue(found.rows_after(7)[0].is_dropped)
        back = found.updated(Changes((row("a", 11),), 11), 3.0, first_byte_fingerprint)
        self.assertEqual([item.is_dropped for item in back.rows_after(7)], [False])

    def test_older_row_changes_nothing(self) -> None:
        """Guards against a delayed response of the store reverting a change."""
        newer = self.updated(row("a", 9, b"y"), version=9)
        found = newer.updated(Changes((drop("a", 8),), 8), 3.0, first_byte_fingerprint)
        self.assertEqual([item.version for item in found.rows_after(7)], [9])
        self.assertEqual(found.version, 9)

    def test_complete_read_reveals_deletions(self) -> None:
        """Guards against readers missing a deletion when the store has discarded its history."""
        state = TableState((row("a", 3), row("c", 20)), 22)
        found = self.snapshot.reread(state, 4.0, first_byte_fingerprint)
        self.assertEqual(
            {(item.key, item.is_dropped) for item in found.rows_after(7)},
            {("b", True), ("c", False)},
        )
        self.assertEqual(found.complete_since, 7)

    def test_readers_of_a_lost_history_read_the_complete_table(self) -> None:
        """Guards against a change that never reaches a reader with a newer version.

        The store hid it while it reported newer versions, then discarded its history.
        """
        told = self.updated(version=25)
        state = TableState((row("a", 20, b"y"), row("b", 5)), 30)
        found = told.reread(state, 4.0, first_byte_fingerprint, is_history_lost=True)
        self.assertEqual(found.rows_after(25), ())
        self.assertGreater(found.complete_since, 25)

    def test_readers_of_a_restored_store_read_the_complete_table(self) -> None:
        """Guards against a reader that keeps a row whose last write was lost."""
        state = TableState((row("a", version_of(1, 3)),), version_of(1, 4))
        found = self.snapshot.reread(state, 4.0, first_byte_fingerprint)
        self.assertEqual([item.key for item in found.rows], ["a"])
        self.assertEqual(found.complete_since, state.version)

    def test_older_row_does_not_undo_a_deletion(self) -> None:
        """Guards against relaying a target that has left to an instance that restarts."""
        found = self.updated(drop("a", 9), version=9).updated(
            Changes((row("a", 3),), 9), 4.0, first_byte_fingerprint
        )
        self.assertNotIn("a", [item.key for item in found.rows])
        self.assertIn("a", [item.key for item in found.drops])

    def test_stale_complete_read_deletes_no_newer_row(self) -> None:
        newer = self.updated(row("d", 30), version=30)
        found = newer.reread(
            TableState((row("a", 3), row("b", 5)), 20), 4.0, first_byte_fingerprint
        )
        self.assertEqual([item.key for item in found.rows_after(7)], ["d"])
        self.assertEqual(found.version, 30)

    def test_forgotten_deletions_raise_the_first_complete_version(self) -> None:
        drops = tuple(drop(f"t{number}", 10 + number) for number in range(MAX_KEPT_DROPS + 3))
        found = self.updated(*drops, version=9_999)
        self.assertEqual(len(found.drops), MAX_KEPT_DROPS)
        self.assertEqual(found.complete_since, 12)

    def test_each_write_of_a_lease_is_relayed(self) -> None:
        """Guards against a leader that renews its row but seems lost to other instances."""
        state = TableState((row("leader", 3),), 3)
        for fingerprint, count in ((version_fingerprint, 1), (value_fingerprint, 0)):
            snapshot = TableSnapshot.of(state, 1.0, fingerprint)
            found = snapshot.updated(Changes((row("leader", 8),), 8), 2.0, fingerprint)
            self.assertEqual(len(found.rows_after(3)), count)
