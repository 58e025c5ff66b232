"""Dispatcher with learned capacities."""

import unittest

from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest

from damasktide.capacity.learner import make_learner
from damasktide.capacity.metrics import CapacityCollector
from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.load_estimate import LoadReport
from damasktide.dispatch.messages import CallOutcome, NoTarget, TargetSelection
from damasktide.dispatch.tests.samples import (
    REGION_BY_DOMAIN,
    SERVICE,
    SLOTS,
    make_query,
    make_target,
    make_view,
)

CALL_S = 0.2
ENTRIES = tuple(make_target(f"t{number}") for number in range(4))
SLOW = ENTRIES[0]
SILENT_S = 3.0


def make_learning_dispatcher() -> Dispatcher:
    learner, _ = make_learner("own", 1)
    dispatcher = Dispatcher("a1", REGION_BY_DOMAIN, policy="spare_throughput", learner=learner)
    dispatcher.set_targets(0.0, make_view(*ENTRIES))
    return dispatcher


class TestLearning(unittest.TestCase):
    def setUp(self) -> None:
        self.dispatcher = make_learning_dispatcher()

    def record_calls(
        self, slow_factor: float, report: LoadReport | None = None, end: float = 5.0
    ) -> None:
        """Record calls of all targets, of which the first one is slower."""
        for step in range(80):
            now = 0.1 + step * (end - 0.1) / 80
            entry = ENTRIES[step % len(ENTRIES)]
            factor = slow_factor if entry is SLOW else 1.0
            stated = report if entry is SLOW else None
            outcome = CallOutcome(entry, "read", CALL_S * factor, report=stated)
            self.dispatcher.record_outcome(now, outcome)
        self.dispatcher.refresh_capacities(end)

    def ratio(self) -> float:
        ratios = [estimate.duration_ratio for estimate in self.dispatcher.estimates()]
        return ratios[0] / (sum(ratios[1:]) / 3)

    def fail_to_respond(self, now: float, duration_s: float = SILENT_S) -> None:
        self.dispatcher.record_outcome(
            now, CallOutcome(SLOW, "read", duration_s, has_no_response=True)
        )

    def chosen(self, now: float) -> set[str]:
        names = set()
        for _ in range(60):
            selection = self.dispatcher.choose(now, make_query())
            assert isinstance(selection, TargetSelection)
            names.add(selection.entry.target_id)
            self.dispatcher.record_outcome(now, CallOutcome(selection.entry, "read", CALL_S))
        return names

    def test_slow_target_is_learned_and_published(self) -> None:
        self.record_calls(2.0)
        self.assertAlmostEqual(self.ratio(), 2.0, delta=0.3)
        services = frozenset({SERVICE.name})
        learned = {item[0]: item[1] for item in self.dispatcher.learned_speeds(services)}
        estimate = next(iter(self.dispatcher.estimates()))
        self.assertEqual(learned[SLOW.incarnation], estimate.duration_ratio)
        registry = CollectorRegistry()
        registry.register(CapacityCollector(self.dispatcher.estimates))
        text = generate_latest(registry).decode()
        self.assertIn('damasktide_target_limit{service="desk",target="t0"} 6.0', text)

    def test_stated_slowdown_and_queue_are_not_counted_again(self) -> None:
        self.record_calls(3.0, LoadReport(0, 0, SLOTS, 3.0))
        self.assertAlmostEqual(self.ratio(), 1.0, delta=0.15)
        self.dispatcher = make_learning_dispatcher()
        self.record_calls(1.25 * 1.5, LoadReport(SLOTS, 2, SLOTS))
        self.assertAlmostEqual(self.ratio(), 1.0, delta=0.15)

    def test_new_incarnation_starts_anew(self) -> None:
        self.record_calls(3.0)
        restarted = make_target(SLOW.target_id, incarnation=2)
        self.dispatcher.set_targets(5.0, make_view(restarted, *ENTRIES[1:]))
        self.dispatcher.refresh_capacities(5.0)
        self.assertAlmostEqual(next(iter(self.dispatcher.estimates())).duration_ratio, 1.0)

    def test_target_without_response_is_excluded_until_it_responds(self) -> None:
        self.record_calls(1.0)
        self.fail_to_respond(6.0)
        self.assertNotIn(SLOW.target_id, self.chosen(6.1))
        self.dispatcher.record_outcome(6.2, CallOutcome(SLOW, "read", CALL_S))
        self.assertIn(SLOW.target_id, self.chosen(6.3))

    def test_response_to_another_instance_ends_the_exclusion(self) -> None:
        self.record_calls(1.0)
        self.fail_to_respond(6.0)
        full = LoadReport(SLOTS, 12, SLOTS)
        self.dispatcher.record_peer_report(6.3, SLOW.incarnation, full, 0.1)
        self.assertNotIn(SLOW.target_id, self.chosen(6.4))
        idle = LoadReport(1, 0, SLOTS)
        self.dispatcher.record_peer_report(6.6, SLOW.incarnation, idle, 0.1)
        self.assertIn(SLOW.target_id, self.chosen(6.6))

    def test_call_in_flight_without_response_excludes_the_target(self) -> None:
        self.record_calls(1.0)
        tried = frozenset(entry.target_id for entry in ENTRIES[1:])
        self.assertIsInstance(
            self.dispatcher.choose(6.0, make_query(tried_ids=tried)), TargetSelection
        )
        self.assertIsInstance(self.dispatcher.choose(8.0, make_query(tried_ids=tried)), NoTarget)
        owned = make_query(owner_id=SLOW.target_id)
        self.assertIsInstance(self.dispatcher.choose(8.0, owned), NoTarget)

    def test_one_long_request_is_no_sign_of_an_unresponsive_target(self) -> None:
        """Guards against the exclusion of a target for a call whose hedge responded first."""
        self.record_calls(1.0)
        self.fail_to_respond(6.0, 3.0 * CALL_S)
        self.assertIn(SLOW.target_id, self.chosen(6.1))
