"""Registrations and the link key when the store returns from an older copy, without a network."""

import unittest
from collections.abc import Sequence
from unittest.mock import patch

from damasktide.keyspace.assignment_task import AssignmentTask
from damasktide.keyspace.codec import encode_instance
from damasktide.keyspace.messages import RegisterInstance, WriteLinkKey
from damasktide.keyspace.table import LINK_KEY, TABLE, InstanceRecord, instance_key
from damasktide.rows.follower import TableChanged, TableRead
from damasktide.rows.store import Changes, Row, TableState, version_of

OWN = InstanceRecord("this", "boot-2", "a1")
KEY, OTHER_KEY = b"k" * 32, b"o" * 32


class TestOwnRows(unittest.TestCase):
    def setUp(self) -> None:
        self.task = AssignmentTask(
            OWN,
            lambda reads_from_peer: None,  # type: ignore[arg-type,return-value]
            None,  # type: ignore[arg-type]
            lambda: 0.0,
        )
        self.told: list[object] = []
        patcher = patch.object(self.task._writer, "tell", self.told.append)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.read(1, self.registration(OWN, 5), (LINK_KEY, KEY, 4))
        self.told.clear()

    @staticmethod
    def registration(record: InstanceRecord, number: int) -> tuple[str, bytes, int]:
        return instance_key(record.name), encode_instance(record), number

    @staticmethod
    def rows(era: int, rows: Sequence[tuple[str, bytes, int]]) -> tuple[Row, ...]:
        return tuple(Row(key, value, version_of(era, number)) for key, value, number in rows)

    def read(self, era: int, *rows: tuple[str, bytes, int]) -> None:
        state = TableState(self.rows(era, rows), version_of(era, 20))
        self.task._table_read(TableRead(TABLE, state, 0.0))

    def change(self, era: int, *rows: tuple[str, bytes, int], is_dropped: bool = False) -> None:
        changed = tuple(
            Row(row.key, b"" if is_dropped else row.value, row.version, is_dropped)
            for row in self.rows(era, rows)
        )
        self.task._table_changed(TableChanged(TABLE, Changes(changed, changed[-1].version), 0.0))

    def test_missing_or_older_registration_is_written_again(self) -> None:
        earlier = InstanceRecord("this", "boot-1", "a1")
        for rows in ((), (self.registration(earlier, 2),)):
            self.setUp()
            self.read(2, *rows)
            self.assertEqual(self.told, [RegisterInstance()])

    def test_registration_that_the_copy_has_is_left(self) -> None:
        """Guards against a write of each instance after every restore."""
        self.read(2, self.registration(OWN, 5), (LINK_KEY, KEY, 4))
        self.task._provide_link_key()
        self.assertEqual(self.told, [])

    def test_instance_that_leaves_does_not_register_again(self) -> None:
        self.task._has_resigned = True
        self.read(2)
        self.assertEqual(self.told, [])

    def test_registration_of_a_process_that_has_ended_is_ignored(self) -> None:
        other = InstanceRecord("other", "boot-1", "a1")
        self.change(1, self.registration(other, 6))
        self.change(1, self.registration(other, 7), is_dropped=True)
        self.read(2, self.registration(OWN, 5), self.registration(other, 6))
        self.assertEqual(set(self.task._members.record_by_name), {"this"})

    def test_restart_that_the_copy_lacks_is_remembered(self) -> None:
        first, second = (InstanceRecord("other", f"boot-{n}", "a1") for n in (1, 2))
        self.change(1, self.registration(first, 6))
        self.change(1, self.registration(second, 7))
        self.read(2, self.registration(OWN, 5), self.registration(first, 6))
        self.assertEqual(self.task._members.record_by_name["other"], second)

    def test_restored_process_does_not_end_a_later_one(self) -> None:
        """Guards against an instance that is ignored for good once it has registered again."""
        first, second = (InstanceRecord("other", f"boot-{n}", "a1") for n in (1, 2))
        self.change(1, self.registration(second, 7))
        self.read(2, self.registration(OWN, 5), self.registration(first, 6))
        self.change(2, self.registration(second, 21))
        self.assertEqual(self.task._members.record_by_name["other"], second)

    def test_link_key_that_the_copy_lacks_is_written_again(self) -> None:
        self.read(2, self.registration(OWN, 5))
        self.task._provide_link_key()
        self.assertEqual(self.told, [WriteLinkKey(KEY)])
        self.assertEqual(self.task._members.link_key, KEY)

    def test_link_key_of_an_instance_that_has_just_started_is_replaced(self) -> None:
        """Guards against two groups of instances that do not accept each other's messages."""
        self.read(2, self.registration(OWN, 5))
        self.change(2, (LINK_KEY, OTHER_KEY, 21))
        self.task._provide_link_key()
        self.assertEqual(self.told, [WriteLinkKey(KEY, version_of(2, 21))])

    def test_key_that_another_instance_has_restored_is_taken(self) -> None:
        self.read(2, self.registration(OWN, 5), (LINK_KEY, OTHER_KEY, 3))
        self.change(2, (LINK_KEY, OTHER_KEY, 21))
        self.assertEqual(self.task._members.link_key, OTHER_KEY)
