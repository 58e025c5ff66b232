"""Tests of the reports for operators, with prepared tables instead of a store."""

import unittest
from collections.abc import Sequence
from dataclasses import dataclass, replace

from damasktide.inspection.key_report import UnknownKeyError, explain_key
from damasktide.inspection.system_report import describe_system
from damasktide.inspection.tables import SystemTables, read_tables
from damasktide.keyspace.codec import encode_instance, encode_leader, encode_map
from damasktide.keyspace.key_map import KEY_COUNT, KeyMap, KeyRange
from damasktide.keyspace.leadership import LeaderRecord
from damasktide.keyspace.table import (
    LEADER_KEY,
    LEADER_TABLE,
    TABLE,
    InstanceRecord,
    instance_key,
    map_key,
)
from damasktide.routing.configuration import RoutingConfiguration, Service
from damasktide.routing.task import ConfigurationRecord, Evacuation, MalformedRecordError
from damasktide.rows.store import Changes, ExpectedRow, Row, RowWrite, TableState
from damasktide.targets.target import TargetEntry, TargetState
from damasktide.targets.task import MalformedEntryError

HELD = KeyRange(0, 99, ("t1", 7), fence=20)
MOVING = KeyRange(100, 199, ("t2", 7), fence=30, previous=("t1", 7))


def target(name: str, state: TargetState = TargetState.READY, started: int = 7) -> TargetEntry:
    return TargetEntry(name, started, "vault", "a1", ("10.0.0.1", 80), 4, state)


TABLES = SystemTables(
    targets=(target("t1"), target("t2", TargetState.DRAINING)),
    configuration=RoutingConfiguration(
        9, service_by_name={"vault": Service("vault", is_keyed=True), "desk": Service("desk")}
    ),
    leader=LeaderRecord("front-1", "b1", 3),
    domain_by_instance={"front-1": "a1", "front-2": "b1", "front-3": "a1"},
    map_by_service={"vault": KeyMap("vault", 5, 30, (HELD, MOVING))},
)


class TestKeyReport(unittest.TestCase):
    def notes(self, tables: SystemTables, key: int) -> str:
        return " / ".join(explain_key(tables, "vault", key).notes)

    def test_held_key_names_the_holder(self) -> None:
        report = explain_key(TABLES, "vault", 99)
        self.assertEqual((report.holder, report.address, report.fence), ("t1", "10.0.0.1:80", 20))
        self.assertEqual(report.notes, ("the holder may serve it",))

    def test_report_of_a_moving_key_names_the_target_that_may_still_hold_it(self) -> None:
        """Guards against mistaking the next holder for the current one."""
        report = explain_key(TABLES, "vault", 100)
        self.assertEqual((report.holder, report.previous), ("t2", "t1"))
        self.assertIn("t1 has not given it back", self.notes(TABLES, 100))
        self.assertIn("leaving", self.notes(TABLES, 100))

    def test_lost_and_restarted_holders_get_different_notes(self) -> None:
        self.assertIn("not listed", self.notes(replace(TABLES, targets=()), 0))
        restarted = replace(TABLES, targets=(target("t1", started=8),))
        self.assertIn("started anew", self.notes(restarted, 0))

    def test_missing_leader_and_evacuation_are_reported(self) -> None:
        tables = replace(TABLES, leader=LeaderRecord(), evacuated_domains=frozenset({"a1"}))
        self.assertIn("no leader", self.notes(tables, 0))
        self.assertIn("a1 is evacuated", self.notes(tables, 0))

    def test_key_without_holder_or_map(self) -> None:
        self.assertIn("no target has the key yet", self.notes(TABLES, 200))
        self.assertIn("no target has", self.notes(replace(TABLES, map_by_service={}), 0))

    def test_service_without_keys(self) -> None:
        self.assertIn("not keyed", explain_key(TABLES, "desk", 0).notes[0])

    def test_unknown_service_and_key_are_refused(self) -> None:
        for service, key in (("none", 0), ("vault", KEY_COUNT), ("vault", -1)):
            with self.assertRaises(UnknownKeyError):
                explain_key(TABLES, service, key)


class TestSystemReport(unittest.TestCase):
    def test_sections_describe_the_complete_state(self) -> None:
        report = describe_system(TABLES)
        self.assertEqual(report["leader"], ("front-1 (boot b1)",))
        self.assertEqual(report["instances"], ("a1: 2 (front-1, front-3)", "b1: 1 (front-2)"))
        self.assertEqual(
            report["targets"],
            ("desk: 0 ready with 0 slots, 0 leaving", "vault: 1 ready with 4 slots, 1 leaving"),
        )
        self.assertEqual(
            report["keys"],
            ("vault: 100 of 65536 held (holders: 2), 100 on the move, 65336 without a holder",),
        )
        self.assertNotIn("evacuated", report)

    def test_empty_system(self) -> None:
        report = describe_system(SystemTables())
        self.assertEqual(report["leader"], ("none",))
        self.assertEqual(report["configuration"], ("none that can be read",))


class FakeStore:
    """A store with prepared tables."""

    def __init__(self, rows_by_table: dict[str, tuple[Row, ...]]) -> None:
        self._rows_by_table = rows_by_table

    def read_table(self, table: str) -> TableState:
        return TableState(self._rows_by_table.get(table, ()), 9)

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        raise AssertionError("inspection waits for no changes")

    def interrupt(self) -> None:
        raise AssertionError("inspection interrupts no call")

    def write(self, writes: Sequence[RowWrite], expected: Sequence[ExpectedRow] = ()) -> int:
        raise AssertionError("inspection writes nothing")

    def round_trip_s(self) -> float | None:
        raise AssertionError("inspection does not measure the round trip")


def decode_target(row: Row) -> TargetEntry:
    if row.value == b"broken":
        raise MalformedEntryError("broken")
    return target(row.key)


def decode_record(row: Row) -> ConfigurationRecord:
    if row.value == b"broken":
        raise MalformedRecordError("broken")
    return Evacuation(row.key) if row.value == b"out" else RoutingConfiguration(row.version)


@dataclass(frozen=True)
class Layout:
    target_table: str = "targets"
    decode_target = staticmethod(decode_target)
    operator_table: str = "operators"
    decode_record = staticmethod(decode_record)


class TestReadTables(unittest.TestCase):
    def test_rows_of_all_tables_are_read(self) -> None:
        key_map = KeyMap("vault", 5, 30, (HELD, MOVING))
        instance = InstanceRecord("front-1", "b1", "a1")
        store = FakeStore(
            {
                "targets": (Row("t2", b"", 1), Row("t1", b"", 2), Row("t3", b"", 3, True)),
                "operators": (Row("a1", b"out", 1), Row("config", b"", 4)),
                LEADER_TABLE: (Row(LEADER_KEY, encode_leader(TABLES.leader), 3),),
                TABLE: (
                    Row(map_key("vault"), encode_map(key_map), 5),
                    Row(instance_key("front-1"), encode_instance(instance), 6),
                    Row("link-key", b"secret", 7),
                ),
            }
        )
        tables = read_tables(store, Layout())
        self.assertEqual([entry.target_id for entry in tables.targets], ["t1", "t2"])
        self.assertEqual(tables.evacuated_domains, frozenset({"a1"}))
        self.assertEqual(tables.leader, TABLES.leader)
        self.assertEqual(tables.domain_by_instance, {"front-1": "a1"})
        self.assertEqual(tables.map_by_service, {"vault": key_map})
        assert tables.configuration is not None
        self.assertEqual(tables.configuration.version, 4)
        self.assertEqual(tables.unreadable, ())

    def test_rows_that_cannot_be_decoded_are_listed(self) -> None:
        """Guards against one malformed row that prevents the whole report."""
        store = FakeStore(
            {
                "targets": (Row("t1", b"broken", 1), Row("t2", b"", 1)),
                "operators": (Row("config", b"broken", 1),),
                TABLE: (Row(map_key("vault"), b"broken", 5),),
            }
        )
        tables = read_tables(store, Layout())
        self.assertEqual([entry.target_id for entry in tables.targets], ["t2"])
        self.assertEqual(len(tables.unreadable), 3)
