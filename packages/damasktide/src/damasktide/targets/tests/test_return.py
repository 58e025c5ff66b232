"""Load and check-ins when a failure domain returns to service, without a network."""

import unittest
from time import monotonic

from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.messages import TargetQuery, TargetSelection
from damasktide.routing.configuration import Service
from damasktide.routing.task import Evacuation, RoutingTask
from damasktide.rows.follower import TableChanged, TableRead
from damasktide.rows.snapshot import TableSnapshot
from damasktide.rows.store import Changes, Row, TableState
from damasktide.runtime.clock import LeaseClock
from damasktide.targets.target import TargetEntry, TargetState
from damasktide.targets.task import EvacuatedDomains, TargetTask

TABLE = "targets"
LIMIT_PER_S = 8
SERVICE = Service("desk", cold_s=3.0, cold_requests_per_s=LIMIT_PER_S)
QUERY = TargetQuery(SERVICE, "read", objective_s=0.8, remaining_s=2.0)


def decode(row: Row) -> TargetEntry:
    return TargetEntry(row.key, 1, "desk", "a1", (row.key, 80), 6, TargetState.READY)


def make_task() -> TargetTask:
    return TargetTask(
        None,  # type: ignore[arg-type]
        TABLE,
        decode,
        lambda view: None,
        lambda: None,
    )


class TestLoadAfterAReturn(unittest.TestCase):
    """An instance that reads from another one, and has noticed no outage of the store."""

    def setUp(self) -> None:
        self.targets = make_task()
        self.routing = RoutingTask(
            None,  # type: ignore[arg-type]
            "op",
            lambda row: Evacuation("a1"),
            lambda configuration: None,
            lambda *evacuated: self.targets._evacuated(EvacuatedDomains(*evacuated)),
        )
        self.dispatcher = Dispatcher("a1", {"a1": "a"}, "a1-0")
        state = TableState((Row("t1", b"", 1),), 1)
        self.targets._table_read(TableRead(TABLE, state, LeaseClock().now()))
        self.change_evacuation(Row("evacuate/a1", b"{}", 5))

    def change_evacuation(self, row: Row) -> None:
        self.routing._table_changed(TableChanged("op", Changes((row,), row.version), 0.0))

    def sent_at_once(self) -> int:
        """Return how many of 100 requests get a target."""
        now = monotonic()
        self.dispatcher.set_targets(now, self.targets.view.value)
        selections = (self.dispatcher.choose(now, QUERY) for _ in range(100))
        return sum(isinstance(selection, TargetSelection) for selection in selections)

    def test_load_is_limited_until_the_first_check_in(self) -> None:
        """Guards against 17 requests a second at a cold target (review/7, seed 5).

        Its entry was from before an outage that the instance had not noticed.
        """
        self.assertEqual(self.sent_at_once(), 0)
        self.change_evacuation(Row("evacuate/a1", b"", 20, is_dropped=True))
        self.assertLessEqual(self.sent_at_once(), LIMIT_PER_S)
        rows = (Row("t1", b"", 21),)
        self.targets._table_changed(TableChanged(TABLE, Changes(rows, 21), 0.0))
        self.assertGreater(self.sent_at_once(), LIMIT_PER_S)


class TestRelayedCheckIns(unittest.TestCase):
    def setUp(self) -> None:
        self.task = make_task()
        state = TableState((Row("t1", b"", 1),), 1)
        self.task._table_read(TableRead(TABLE, state, LeaseClock().now()))
        self.snapshot = TableSnapshot.of(state, 0.0, self.task._fingerprint)
        self.task._evacuated(EvacuatedDomains(frozenset({"a1"})))

    def relayed_at(self, version: int) -> list[int]:
        """Return the versions that other instances get after a check-in at ``version``."""
        known_version = self.snapshot.version
        changes = Changes((Row("t1", b"", version),), version)
        self.snapshot = self.snapshot.updated(changes, 0.0, self.task._fingerprint)
        return [row.version for row in self.snapshot.rows_after(known_version)]

    def end_evacuation(self, version: int) -> None:
        self.task._evacuated(EvacuatedDomains(frozenset(), {"a1": version}))

    def test_first_check_in_after_a_return_is_relayed(self) -> None:
        """Guards against a limit that outlasts the cold start at instances that read from others.

        A check-in of a warm target changes nothing but its number, and is not relayed otherwise.
        """
        self.assertEqual(self.relayed_at(5), [])
        self.end_evacuation(10)
        self.assertEqual(self.relayed_at(9), [])
        self.assertEqual(self.relayed_at(12), [12])
        self.assertEqual(self.relayed_at(14), [])

    def test_first_check_in_after_each_return_is_relayed(self) -> None:
        self.end_evacuation(10)
        self.assertEqual(self.relayed_at(12), [12])
        self.end_evacuation(20)
        self.assertEqual(self.relayed_at(22), [22])
