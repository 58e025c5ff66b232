import json
import time
import unittest
from dataclasses import replace

import gevent

from damasktide.store import table_codec
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.messages import ReadObject, ReadRow, WriteObject, WriteRows
from damasktide.store.object_client import object_name
from damasktide.store.rows import MAX_ROW_CHANGES, RowRead, StoreErrorKind, WriteRow
from damasktide.store.store_task import StoreTask
from damasktide.store.table_client import TableClient
from damasktide_standins.platform.server import PlatformServer


class StoreCase(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = PlatformServer()
        self.platform.start()
        self.addCleanup(self.platform.stop)
        self.endpoints = StoreEndpoints(self.platform.url, self.platform.url, timeout_s=0.5)
        self.client = TableClient(self.endpoints)
        self.other_client = TableClient(self.endpoints)

    def drop_responses(self, count: int) -> None:
        self.platform.app.change_faults({"drop_answers": count})


class TableClientTest(StoreCase):
    def test_lost_response_of_a_write_that_took_effect(self) -> None:
        """Guards against a second version, or a failure, when only the response was lost."""
        self.drop_responses(1)
        written = self.client.write("row", "{}", 0, "c1").unwrap()
        self.assertEqual(written.version, 1)
        self.assertEqual(self.other_client.read("row").unwrap().row.version, 1)

    def test_lost_response_and_later_write_by_another_writer(self) -> None:
        """Guards against a false conflict when another write arrives before the read-back."""
        self.client.write("row", '"start"', 0, "c0").unwrap()
        self.drop_responses(1)
        self.platform.app.change_faults({"slow_ms": 60})
        writer = gevent.spawn(self.client.write, "row", '"ours"', 1, "c1")
        while self.platform.app.faults.current.drop_answers:
            gevent.sleep(0.005)
        self.platform.app.change_faults({"slow_ms": 0})
        self.other_client.write("row", '"other"', 2, "c2").unwrap()
        written = writer.get(timeout=5).unwrap()
        self.assertEqual((written.version, written.body), (2, '"ours"'))
        self.assertEqual(self.client.read("row").unwrap().row.body, '"other"')

    def test_one_of_two_racing_writers_wins_and_the_other_gets_the_current_row(self) -> None:
        """Guards against both writers of one version reporting success."""
        results = [
            job.get(timeout=5)
            for job in [
                gevent.spawn(self.client.write, "row", "1", 0, "c1"),
                gevent.spawn(self.other_client.write, "row", "2", 0, "c2"),
            ]
        ]
        errors = [r.failure() for r in results if r.value_or(None) is None]
        self.assertEqual([error.kind for error in errors], [StoreErrorKind.CONFLICT])
        winner = next(r.unwrap() for r in results if r.value_or(None) is not None)
        self.assertEqual(errors[0].current, winner)

    def test_repeat_with_the_same_change_id_writes_once(self) -> None:
        """Guards against a restarted writer that applies the same change twice."""
        self.client.write("row", "1", 0, "c1").unwrap()
        for client, based_on in ((self.client, 1), (self.other_client, 1), (self.other_client, 0)):
            self.assertEqual(client.write("row", "1", based_on, "c1").unwrap().version, 1)
        self.assertEqual(self.other_client.read("row").unwrap().row.version, 1)

    def test_version_is_read_without_the_body(self) -> None:
        """Guards against transferring a large row between regions at each read."""
        self.assertEqual(self.client.read_version("row").unwrap().version, 0)
        self.client.write("row", "x" * 50_000, 0, "c1").unwrap()
        self.assertEqual(self.client.read_version("row").unwrap().version, 1)
        request = table_codec.encode_get_version("damasktide", "row")
        item = self.platform.app.table.call("GetItem", json.loads(request))
        self.assertLess(len(json.dumps(item)), 100)

    def test_history_of_a_row_is_bounded(self) -> None:
        """Guards against rows that grow without limit."""
        for version in range(MAX_ROW_CHANGES + 4):
            self.client.write("row", "{}", version, f"c{version}").unwrap()
        changes = self.other_client.read("row").unwrap().row.changes
        self.assertEqual([changes[0].version, changes[-1].version], [5, 20])

    def test_store_that_is_down_or_refuses_connections(self) -> None:
        """Guards against reporting 'unavailable' for a write that may have taken effect."""
        self.client.write("row", "1", 0, "c1").unwrap()
        self.platform.app.change_faults({"down": True})
        error = self.client.write("row", "2", 1, "c2").failure()
        self.assertIs(error.kind, StoreErrorKind.UNRESOLVED)
        self.platform.stop()
        error = self.client.write("row", "2", 1, "c2").failure()
        self.assertIs(error.kind, StoreErrorKind.UNAVAILABLE)

    def test_call_to_a_slow_store_times_out(self) -> None:
        """Guards against readers that hang on a slow store."""
        self.platform.app.change_faults({"slow_ms": 2000})
        start = time.monotonic()
        error = self.client.read("row").failure()
        self.assertLess(time.monotonic() - start, 1.0)
        self.assertIs(error.kind, StoreErrorKind.UNAVAILABLE)

    def test_rows_of_a_transaction_take_effect_together(self) -> None:
        """Guards against a partly applied batch after a lost response or a conflict."""
        batch = (WriteRow("a", "1", 0, "c1"), WriteRow("b", "1", 0, "c1"))
        self.drop_responses(1)
        rows = self.client.write_rows(batch).unwrap()
        self.assertEqual([row.version for row in rows], [1, 1])
        stale = tuple(replace(write, change_id="c2") for write in batch)
        mixed = (replace(stale[0], based_on=1), stale[1])
        error = self.client.write_rows(mixed).failure()
        self.assertIs(error.kind, StoreErrorKind.CONFLICT)
        self.assertEqual(self.other_client.read("a").unwrap().row.version, 1)


class StoreTaskTest(StoreCase):
    def setUp(self) -> None:
        super().setUp()
        self.task = StoreTask(self.endpoints)
        self.task.start()
        self.addCleanup(self.task.stop)

    def test_read_carries_the_time_of_its_request(self) -> None:
        """Guards against a renewal lease that is counted from the response to a slow read."""
        self.platform.app.change_faults({"slow_ms": 100})
        before = time.monotonic()
        read = self.task.ask(ReadRow("row")).unwrap()
        self.assertIsInstance(read, RowRead)
        self.assertTrue(0 <= read.requested_at - before < 0.05, read.requested_at - before)
        self.assertGreater(time.monotonic() - read.requested_at, 0.09)

    def test_objects_are_checked_against_their_name(self) -> None:
        """Guards against a configuration whose object was damaged or is missing."""
        name = object_name(b"list")
        self.assertEqual(self.task.ask(WriteObject(name, b"list")).unwrap(), name)
        self.assertEqual(self.task.ask(ReadObject(name)).unwrap(), b"list")
        self.platform.app.object_by_path[f"damasktide/{name}"] = b"other"
        kinds = [
            self.task.ask(ReadObject(name)).failure().kind,
            self.task.ask(ReadObject("0" * 64)).failure().kind,
        ]
        self.assertEqual(kinds, [StoreErrorKind.CORRUPT, StoreErrorKind.NOT_FOUND])

    def test_task_writes_rows(self) -> None:
        """Guards against a write message that has no handler."""
        self.assertEqual(self.task.ask(WriteRow("row", "1", 0, "c1")).unwrap().version, 1)
        rows = self.task.ask(WriteRows((WriteRow("row", "2", 1, "c2"),))).unwrap()
        self.assertEqual(rows[0].version, 2)


if __name__ == "__main__":
    unittest.main()
