"""Load on the targets of a failure domain that returns to service, without a network."""

import unittest
from time import monotonic

from damasktide.dispatch.cold_start import RegisteredInstances
from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.messages import TargetQuery, TargetSelection
from damasktide.routing.configuration import Service
from damasktide.routing.task import Evacuation, RoutingTask
from damasktide.rows.follower import TableChanged, TableRead
from damasktide.rows.store import Changes, Row, TableState
from damasktide.runtime.clock import LeaseClock
from damasktide.targets.cold_start_probe import ColdStartReported
from damasktide.targets.target import TargetEntry, TargetState
from damasktide.targets.task import EvacuatedDomains, TargetTask

TABLE = "targets"
LIMIT_PER_S = 8
SERVICE = Service("desk", cold_s=3.0, cold_requests_per_s=LIMIT_PER_S)
QUERY = TargetQuery(SERVICE, "read", objective_s=0.8, remaining_s=2.0)


def decode(row: Row) -> TargetEntry:
    return TargetEntry(row.key, 1, "desk", "a1", (row.key, 80), 6, TargetState.READY)


class TestLoadAfterAReturn(unittest.TestCase):
    """An instance that reads from another one, and has noticed no outage of the store."""

    def setUp(self) -> None:
        self.targets = TargetTask(
            None,  # type: ignore[arg-type]
            TABLE,
            decode,
            lambda view: None,
            lambda: None,
        )
        self.routing = RoutingTask(
            None,  # type: ignore[arg-type]
            "op",
            lambda row: Evacuation("a1"),
            lambda configuration: None,
            lambda *evacuated: self.targets._evacuated(EvacuatedDomains(*evacuated)),
        )
        self.elapsed_s = 0.0
        self.dispatcher = Dispatcher("a1", {"a1": "a"}, "a1-0")
        state = TableState((Row("t1", b"", 1),), 1)
        self.targets._table_read(TableRead(TABLE, state, LeaseClock().now()))
        self.change_evacuation(Row("evacuate/a1", b"{}", 5))

    def change_evacuation(self, row: Row) -> None:
        self.routing._table_changed(TableChanged("op", Changes((row,), row.version), 0.0))

    def report(self, remaining_s: float) -> dict[str, float]:
        """Report the cold start of the target; return the unconfirmed targets."""
        returned_at = self.targets.view.value.unconfirmed_since_by_id["t1"]
        self.targets._cold_start_reported(ColdStartReported(("t1", 1), returned_at, remaining_s))
        return dict(self.targets.view.value.unconfirmed_since_by_id)

    def due_probes(self) -> list[str]:
        now = monotonic() + self.elapsed_s
        self.dispatcher.set_targets(now, self.targets.view.value)
        due = self.dispatcher.take_due_probes(now, {SERVICE.name: SERVICE})
        return [entry.target_id for entry, _ in due]

    def sent_at_once(self) -> int:
        """Return how many of 100 requests get a target."""
        now = monotonic() + self.elapsed_s
        self.dispatcher.set_targets(now, self.targets.view.value)
        selections = (self.dispatcher.choose(now, QUERY) for _ in range(100))
        return sum(isinstance(selection, TargetSelection) for selection in selections)

    def test_load_is_limited_until_the_target_is_known_to_be_warm(self) -> None:
        """Guards against 17 requests a second at a cold target (review/7, seed 5).

        Its entry was from before an outage that the instance had not noticed.
        """
        self.assertEqual(self.sent_at_once(), 0)
        self.change_evacuation(Row("evacuate/a1", b"", 20, is_dropped=True))
        self.assertLessEqual(self.sent_at_once(), LIMIT_PER_S)
        self.assertEqual(self.report(0.0), {})
        self.assertGreater(self.sent_at_once(), LIMIT_PER_S)

    def test_load_stays_limited_while_the_target_reports_to_be_cold(self) -> None:
        self.change_evacuation(Row("evacuate/a1", b"", 20, is_dropped=True))
        self.assertEqual(self.report(1.5), {})
        self.assertLessEqual(self.sent_at_once(), LIMIT_PER_S)

    def test_target_is_asked_once_for_each_return(self) -> None:
        """Guards against probes that are requests beyond what a cold target tolerates."""
        for version in (20, 40):
            self.change_evacuation(Row("evacuate/a1", b"", version, is_dropped=True))
            self.assertEqual(self.due_probes(), ["t1"])
            self.assertEqual(self.due_probes(), [])
            self.assertLessEqual(self.sent_at_once(), LIMIT_PER_S - 1)
            self.change_evacuation(Row("evacuate/a1", b"{}", version + 10))
            # The limit counts the requests of the last second.
            self.elapsed_s += 1.0

    def test_target_in_another_domain_is_not_asked(self) -> None:
        names_by_domain = {"a1": frozenset({"a1-1"}), "a2": frozenset({"a1-0"})}
        self.dispatcher.set_instances(RegisteredInstances(names_by_domain))
        self.change_evacuation(Row("evacuate/a1", b"", 20, is_dropped=True))
        self.assertEqual(self.due_probes(), [])
