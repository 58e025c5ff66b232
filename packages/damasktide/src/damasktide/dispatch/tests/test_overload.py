"""Overload: which requests are queued, which are refused, and how priorities apply."""

import unittest

from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.load_estimate import LoadReport
from damasktide.dispatch.messages import CallOutcome, NoTarget, NoTargetReason, TargetSelection
from damasktide.dispatch.tests.samples import (
    OBJECTIVE_S,
    SLOTS,
    make_dispatcher,
    make_query,
    make_target,
)

CALL_S = 0.2
# Time to the abort of requests in flight, of an instance that stops.
UNTIL_ABORT_S = 0.5


def make_trained_dispatcher(*names: str) -> Dispatcher:
    """Return a dispatcher that has recorded a call with a duration of ``CALL_S``."""
    dispatcher = make_dispatcher(*(make_target(name) for name in names))
    selection = dispatcher.choose(0.0, make_query())
    assert isinstance(selection, TargetSelection)
    dispatcher.record_outcome(0.0, CallOutcome(selection.entry, "read", CALL_S))
    return dispatcher


def fill(dispatcher: Dispatcher, rank: int, until_abort_s: float = float("inf")) -> int:
    """Send requests until one is refused, and return the number sent."""
    query = make_query(rank=rank, until_abort_s=until_abort_s)
    sent = 0
    while isinstance(dispatcher.choose(0.0, query), TargetSelection):
        sent += 1
        assert sent < 1_000
    return sent


class TestStopUnderLoad(unittest.TestCase):
    """An instance that stops, beside targets whose queues are longer than its remaining time.

    Guards against the connections without a response of review/6.
    """

    def test_request_that_would_wait_beyond_the_stop_is_refused(self) -> None:
        dispatcher = make_trained_dispatcher("t1")
        sent = fill(dispatcher, rank=0, until_abort_s=UNTIL_ABORT_S)
        self.assertGreaterEqual(sent, SLOTS)
        refused = dispatcher.choose(0.0, make_query(until_abort_s=UNTIL_ABORT_S))
        assert isinstance(refused, NoTarget)
        self.assertIs(refused.reason, NoTargetReason.INSTANCE_STOPPING)
        self.assertIsInstance(dispatcher.choose(0.0, make_query()), TargetSelection)

    def test_owner_of_a_key_gets_no_request_that_would_wait_beyond_the_stop(self) -> None:
        dispatcher = make_trained_dispatcher("t1")
        fill(dispatcher, rank=0, until_abort_s=UNTIL_ABORT_S)
        query = make_query(owner_id="t1", until_abort_s=UNTIL_ABORT_S)
        refused = dispatcher.choose(0.0, query)
        assert isinstance(refused, NoTarget)
        self.assertIs(refused.reason, NoTargetReason.INSTANCE_STOPPING)

    def test_call_at_an_idle_target_may_take_twice_its_expected_time(self) -> None:
        dispatcher = make_trained_dispatcher("t1")
        in_time = dispatcher.choose(0.0, make_query(until_abort_s=2.1 * CALL_S))
        self.assertIsInstance(in_time, TargetSelection)
        dispatcher = make_trained_dispatcher("t1")
        too_late = dispatcher.choose(0.0, make_query(until_abort_s=1.9 * CALL_S))
        self.assertIsInstance(too_late, NoTarget)


class TestOverload(unittest.TestCase):
    def test_request_is_refused_if_the_queue_exceeds_the_objective(self) -> None:
        """A request that would be late would occupy a slot needed by one still in time."""
        dispatcher = make_trained_dispatcher("t1")
        fill(dispatcher, rank=1)
        refused = dispatcher.choose(0.0, make_query(rank=1))
        assert isinstance(refused, NoTarget)
        self.assertIs(refused.reason, NoTargetReason.TOO_LATE)
        self.assertGreater(refused.retry_after_s, 0.0)

    def test_queue_is_bounded_by_the_objective(self) -> None:
        sent = fill(make_trained_dispatcher("t1"), rank=1)
        self.assertLessEqual(sent * CALL_S / SLOTS, OBJECTIVE_S * 1.5)

    def test_urgent_requests_are_queued_when_others_are_refused(self) -> None:
        dispatcher = make_trained_dispatcher("t1")
        fill(dispatcher, rank=1)
        self.assertIsInstance(dispatcher.choose(0.0, make_query(rank=0)), TargetSelection)

    def test_free_slot_is_used_although_the_target_is_slow(self) -> None:
        """A briefly slow target has to be tried again, or its estimate would never recover."""
        dispatcher = make_trained_dispatcher("t1")
        selection = dispatcher.choose(0.0, make_query())
        assert isinstance(selection, TargetSelection)
        dispatcher.record_outcome(0.0, CallOutcome(selection.entry, "read", 5.0))
        self.assertIsInstance(
            dispatcher.choose(1.0, make_query(remaining_s=1.0, rank=1)), TargetSelection
        )

    def test_less_urgent_requests_leave_slots_for_urgent_ones(self) -> None:
        """Guards against less urgent requests taking the slots that region-bound requests need."""
        dispatcher = make_dispatcher(make_target("near"), make_target("next", "a2"))
        for now in (0.0, 0.1):
            selection = dispatcher.choose(now, make_query())
            assert isinstance(selection, TargetSelection)
            dispatcher.record_outcome(now, CallOutcome(selection.entry, "read", CALL_S))
        near = 0
        for _ in range(2 * SLOTS):
            selection = dispatcher.choose(0.2, make_query(rank=1))
            assert isinstance(selection, TargetSelection)
            near += selection.entry.target_id == "near"
        self.assertLess(near, 2 * SLOTS)


class TestReports(unittest.TestCase):
    def test_report_includes_the_calls_of_other_instances(self) -> None:
        dispatcher = make_dispatcher(make_target("busy"), make_target("idle"))
        dispatcher.record_outcome(
            0.0, CallOutcome(make_target("busy"), "read", CALL_S, report=LoadReport(6, 9, 6))
        )
        selection = dispatcher.choose(0.05, make_query())
        assert isinstance(selection, TargetSelection)
        self.assertEqual(selection.entry.target_id, "idle")

    def test_weight_of_a_report_decays(self) -> None:
        dispatcher = make_dispatcher(make_target("busy"))
        dispatcher.record_outcome(
            0.0, CallOutcome(make_target("busy"), "read", CALL_S, report=LoadReport(6, 9, 6))
        )
        early, late = dispatcher.choose(0.05, make_query()), dispatcher.choose(10.0, make_query())
        assert isinstance(early, TargetSelection)
        assert isinstance(late, TargetSelection)
        self.assertLess(late.expected_s, early.expected_s)

    def test_reported_slowdown_is_applied(self) -> None:
        dispatcher = make_dispatcher(make_target("slowed"), make_target("normal"))
        report = LoadReport(1, 0, 6, slowdown=3.0)
        dispatcher.record_outcome(
            0.0, CallOutcome(make_target("slowed"), "read", CALL_S, report=report)
        )
        selection = dispatcher.choose(0.01, make_query())
        assert isinstance(selection, TargetSelection)
        self.assertEqual(selection.entry.target_id, "normal")


class TestLocality(unittest.TestCase):
    def test_nearby_target_is_preferred(self) -> None:
        dispatcher = make_dispatcher(
            make_target("far", "b1"), make_target("near"), make_target("next", "a2")
        )
        selection = dispatcher.choose(0.0, make_query())
        assert isinstance(selection, TargetSelection)
        self.assertEqual(selection.entry.target_id, "near")

    def test_request_is_refused_outside_its_home_regions(self) -> None:
        dispatcher = make_dispatcher(make_target("near"))
        refused = dispatcher.choose(0.0, make_query(regions=frozenset({"b"})))
        assert isinstance(refused, NoTarget)
        self.assertIs(refused.reason, NoTargetReason.NONE_IN_REGIONS)

    def test_owner_outside_the_home_regions_is_refused(self) -> None:
        dispatcher = make_dispatcher(make_target("near"))
        refused = dispatcher.choose(0.0, make_query(regions=frozenset({"b"}), owner_id="near"))
        self.assertIsInstance(refused, NoTarget)
