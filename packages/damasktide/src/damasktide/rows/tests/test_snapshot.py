"""Snapshots of tables: what a reader behind them is told, without network."""

import unittest

from damasktide.rows.snapshot import (
    MAX_KEPT_DROPS,
    TableSnapshot,
    value_fingerprint,
    version_fingerprint,
)
from damasktide.rows.store import Changes, Row, TableState


def row(key: str, version: int, value: bytes = b"x") -> Row:
    return Row(key, value, version)


def drop(key: str, version: int) -> Row:
    return Row(key, b"", version, is_dropped=True)


def first_letter(found: Row) -> bytes:
    return found.value[:1]


class TestSnapshot(unittest.TestCase):
    def setUp(self) -> None:
        state = TableState((row("a", 3), row("b", 5)), 7)
        self.snapshot = TableSnapshot.of(state, 1.0, first_letter)

    def updated(self, *rows: Row, version: int) -> TableSnapshot:
        return self.snapshot.updated(Changes(rows, version), 2.0, first_letter)

    def test_change_of_the_essence_is_news(self) -> None:
        found = self.updated(row("a", 9, b"y1"), version=9)
        self.assertEqual([item.version for item in found.rows_after(7)], [9])

    def test_check_ins_are_no_news(self) -> None:
        """Guards against passing on each check-in of each target."""
        found = self.updated(row("a", 9, b"x1"), row("a", 12, b"x2"), version=12)
        self.assertEqual(found.rows_after(7), ())
        self.assertEqual(found.version, 12)
        self.assertEqual([item.version for item in found.rows_after(2)], [12, 5])

    def test_drop_is_news_until_the_row_is_back(self) -> None:
        """Guards against a target that is gone for one reader and there for another."""
        found = self.updated(drop("a", 9), version=9)
        self.assertTrue(found.rows_after(7)[0].is_dropped)
        back = found.updated(Changes((row("a", 11),), 11), 3.0, first_letter)
        self.assertEqual([item.is_dropped for item in back.rows_after(7)], [False])

    def test_older_row_changes_nothing(self) -> None:
        """Guards against a late answer of the store taking a change back."""
        newer = self.updated(row("a", 9, b"y"), version=9)
        found = newer.updated(Changes((drop("a", 8),), 8), 3.0, first_letter)
        self.assertEqual([item.version for item in found.rows_after(7)], [9])
        self.assertEqual(found.version, 9)

    def test_complete_read_tells_what_was_dropped_meanwhile(self) -> None:
        """Guards against readers that miss a drop when the store has dropped its history."""
        state = TableState((row("a", 3), row("c", 20)), 22)
        found = self.snapshot.reread(state, 4.0, first_letter)
        self.assertEqual(
            {(item.key, item.is_dropped) for item in found.rows_after(7)},
            {("b", True), ("c", False)},
        )
        self.assertEqual(found.complete_since, 7)

    def test_stale_complete_read_drops_nothing_newer(self) -> None:
        newer = self.updated(row("d", 30), version=30)
        found = newer.reread(TableState((row("a", 3), row("b", 5)), 20), 4.0, first_letter)
        self.assertEqual([item.key for item in found.rows_after(7)], ["d"])
        self.assertEqual(found.version, 30)

    def test_forgotten_drops_are_not_claimed_to_be_known(self) -> None:
        drops = tuple(drop(f"t{number}", 10 + number) for number in range(MAX_KEPT_DROPS + 3))
        found = self.updated(*drops, version=9_999)
        self.assertEqual(len(found.drops), MAX_KEPT_DROPS)
        self.assertEqual(found.complete_since, 12)

    def test_each_write_of_a_lease_is_news(self) -> None:
        """Guards against a leader that renews its row and seems lost to others."""
        state = TableState((row("leader", 3),), 3)
        for fingerprint, count in ((version_fingerprint, 1), (value_fingerprint, 0)):
            snapshot = TableSnapshot.of(state, 1.0, fingerprint)
            found = snapshot.updated(Changes((row("leader", 8),), 8), 2.0, fingerprint)
            self.assertEqual(len(found.rows_after(3)), count)
