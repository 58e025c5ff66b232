"""Evacuations and their ends, and the return of the store from an older copy; no network."""

import unittest
from collections.abc import Mapping
from unittest.mock import patch

from damasktide.routing.configuration import RoutingConfiguration
from damasktide.routing.task import (
    EVACUATION_GRACE_S,
    ConfigurationRecord,
    Evacuation,
    RoutingTask,
    _EvacuationGraceEnded,
)
from damasktide.rows.follower import TableChanged, TableRead
from damasktide.rows.store import Changes, Row, TableState, version_of

TABLE = "op"
EVACUATION = "evacuate/a1"


def decode(row: Row) -> ConfigurationRecord:
    if row.key == EVACUATION:
        return Evacuation("a1")
    return RoutingConfiguration(int(row.value), (), {}) if row.value else None


class TestEvacuation(unittest.TestCase):
    def setUp(self) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self.ended_at_version_by_domain: Mapping[str, int] = {}
        self.task = RoutingTask(
            None,  # type: ignore[arg-type]
            TABLE,
            decode,
            lambda configuration: None,
            self.set_evacuated,
        )
        self.delayed: list[tuple[object, float]] = []
        patcher = patch.object(
            self.task,
            "tell_later",
            lambda message, delay_s: self.delayed.append((message, delay_s)),
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.read(1, 9, Row("config", b"7", version_of(1, 8)), self.evacuation(1, 9))

    def set_evacuated(
        self, domains: frozenset[str], ended_at_version_by_domain: Mapping[str, int]
    ) -> None:
        self.evacuated = domains
        self.ended_at_version_by_domain = ended_at_version_by_domain

    @staticmethod
    def evacuation(era: int, number: int, is_dropped: bool = False) -> Row:
        return Row(EVACUATION, b"", version_of(era, number), is_dropped)

    def read(self, era: int, number: int, *rows: Row) -> None:
        state = TableState(rows, version_of(era, number))
        self.task._table_read(TableRead(TABLE, state, 0.0))

    def change(self, row: Row) -> None:
        self.task._table_changed(TableChanged(TABLE, Changes((row,), row.version), 0.0))

    def end_grace(self) -> None:
        for message, delay_s in self.delayed:
            assert isinstance(message, _EvacuationGraceEnded)
            self.assertEqual(delay_s, EVACUATION_GRACE_S)
            self.task._evacuation_grace_ended(message)

    def test_end_is_the_deletion_of_the_row(self) -> None:
        self.change(self.evacuation(1, 12, is_dropped=True))
        self.assertEqual(self.evacuated, frozenset())
        self.assertEqual(self.ended_at_version_by_domain, {"a1": version_of(1, 12)})

    def test_end_that_is_found_by_a_complete_read(self) -> None:
        """Guards against a return without a limit on cold targets if the changes were missed."""
        self.read(1, 15, Row("config", b"7", version_of(1, 8)))
        self.assertEqual(self.evacuated, frozenset())
        self.assertEqual(self.ended_at_version_by_domain, {"a1": version_of(1, 15)})

    def test_end_of_an_evacuation_that_was_missed(self) -> None:
        self.change(self.evacuation(1, 12, is_dropped=True))
        self.change(self.evacuation(1, 20, is_dropped=True))
        self.assertEqual(self.ended_at_version_by_domain, {"a1": version_of(1, 20)})

    def test_older_configuration_does_not_take_effect(self) -> None:
        self.read(2, 5, Row("config", b"6", version_of(2, 4)))
        in_force = self.task.in_force.value
        assert in_force is not None
        self.assertEqual(in_force.configuration.version, 7)

    def test_missing_evacuation_stays_for_the_grace_period(self) -> None:
        """Guards against requests to an evacuated domain because the store lost the evacuation."""
        self.read(2, 5)
        self.read(2, 6)
        self.assertEqual(self.evacuated, {"a1"})
        self.end_grace()
        self.assertEqual(self.evacuated, frozenset())
        self.assertEqual(self.ended_at_version_by_domain, {"a1": version_of(2, 5)})

    def test_evacuation_that_is_withdrawn_in_the_grace_period_ends(self) -> None:
        self.read(2, 5)
        self.change(self.evacuation(2, 6, is_dropped=True))
        self.assertEqual(self.evacuated, frozenset())

    def test_second_restore_does_not_extend_the_grace_period(self) -> None:
        self.read(2, 5)
        self.read(3, 5)
        self.assertEqual(len(self.delayed), 1)

    def test_end_of_an_earlier_grace_period_does_not_end_a_later_one(self) -> None:
        self.read(2, 5)
        self.change(self.evacuation(2, 6))
        self.read(3, 5)
        self.delayed = self.delayed[:1]
        self.end_grace()
        self.assertEqual(self.evacuated, {"a1"})

    def test_withdrawn_evacuation_does_not_return_with_the_copy(self) -> None:
        self.change(self.evacuation(1, 10, is_dropped=True))
        self.read(2, 9, self.evacuation(2, 9))
        self.assertEqual(self.evacuated, frozenset())
        self.change(self.evacuation(2, 10))
        self.assertEqual(self.evacuated, {"a1"})
