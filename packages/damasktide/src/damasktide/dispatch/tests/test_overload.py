"""Offered load beyond the slots: who is queued, who is refused, and who goes first."""

import unittest

from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.load_estimate import LoadReport
from damasktide.dispatch.messages import CallOutcome, NoTarget, NoTargetReason, TargetSelection
from damasktide.dispatch.tests.samples import OBJECTIVE_S, SLOTS, dispatcher, target, wanted

CALL_S = 0.2


def learned(*names: str) -> Dispatcher:
    """Return a dispatcher that knows that a call takes ``CALL_S``."""
    made = dispatcher(*(target(name) for name in names))
    chosen = made.choose(0.0, wanted())
    assert isinstance(chosen, TargetSelection)
    made.ended(0.0, CallOutcome(chosen.entry, "read", CALL_S))
    return made


def fill(made: Dispatcher, rank: int) -> int:
    """Send until one is refused; return how many were sent."""
    sent = 0
    while isinstance(made.choose(0.0, wanted(rank=rank)), TargetSelection):
        sent += 1
        assert sent < 1_000
    return sent


class TestOverload(unittest.TestCase):
    def test_refused_at_once_when_the_queue_would_pass_the_objective(self) -> None:
        """A request that would be late takes a slot of one that could be in time."""
        made = learned("t1")
        fill(made, rank=1)
        refused = made.choose(0.0, wanted(rank=1))
        assert isinstance(refused, NoTarget)
        self.assertIs(refused.reason, NoTargetReason.TOO_LATE)
        self.assertGreater(refused.retry_after_s, 0.0)

    def test_queue_is_bounded_by_the_objective(self) -> None:
        sent = fill(learned("t1"), rank=1)
        self.assertLessEqual(sent * CALL_S / SLOTS, OBJECTIVE_S * 1.5)

    def test_urgent_requests_still_enter_when_others_are_refused(self) -> None:
        made = learned("t1")
        fill(made, rank=1)
        self.assertIsInstance(made.choose(0.0, wanted(rank=0)), TargetSelection)

    def test_free_slot_is_used_although_the_target_is_slow(self) -> None:
        """A target that was slow for a moment must be tried again, or it is never known better."""
        made = learned("t1")
        chosen = made.choose(0.0, wanted())
        assert isinstance(chosen, TargetSelection)
        made.ended(0.0, CallOutcome(chosen.entry, "read", 5.0))
        self.assertIsInstance(made.choose(1.0, wanted(remaining_s=1.0, rank=1)), TargetSelection)

    def test_less_urgent_requests_leave_slots_to_urgent_ones(self) -> None:
        """run-book may only go to one region; reads must move away before its slots are taken."""
        made = dispatcher(target("near"), target("next", "a2"))
        for now in (0.0, 0.1):
            chosen = made.choose(now, wanted())
            assert isinstance(chosen, TargetSelection)
            made.ended(now, CallOutcome(chosen.entry, "read", CALL_S))
        near = 0
        for _ in range(2 * SLOTS):
            chosen = made.choose(0.2, wanted(rank=1))
            assert isinstance(chosen, TargetSelection)
            near += chosen.entry.target_id == "near"
        self.assertLess(near, 2 * SLOTS)


class TestReports(unittest.TestCase):
    def test_calls_of_other_instances_are_seen_in_the_report(self) -> None:
        made = dispatcher(target("busy"), target("idle"))
        made.ended(0.0, CallOutcome(target("busy"), "read", CALL_S, report=LoadReport(6, 9, 6)))
        chosen = made.choose(0.05, wanted())
        assert isinstance(chosen, TargetSelection)
        self.assertEqual(chosen.entry.target_id, "idle")

    def test_old_report_loses_its_weight(self) -> None:
        made = dispatcher(target("busy"))
        made.ended(0.0, CallOutcome(target("busy"), "read", CALL_S, report=LoadReport(6, 9, 6)))
        early, late = made.choose(0.05, wanted()), made.choose(10.0, wanted())
        assert isinstance(early, TargetSelection)
        assert isinstance(late, TargetSelection)
        self.assertLess(late.expected_s, early.expected_s)

    def test_neighbours_slow_a_target_for_a_moment(self) -> None:
        made = dispatcher(target("slowed"), target("usual"))
        report = LoadReport(1, 0, 6, slowdown=3.0)
        made.ended(0.0, CallOutcome(target("slowed"), "read", CALL_S, report=report))
        chosen = made.choose(0.01, wanted())
        assert isinstance(chosen, TargetSelection)
        self.assertEqual(chosen.entry.target_id, "usual")


class TestPlaces(unittest.TestCase):
    def test_near_target_is_preferred(self) -> None:
        made = dispatcher(target("far", "b1"), target("near"), target("next", "a2"))
        chosen = made.choose(0.0, wanted())
        assert isinstance(chosen, TargetSelection)
        self.assertEqual(chosen.entry.target_id, "near")

    def test_home_regions_bind(self) -> None:
        made = dispatcher(target("near"))
        refused = made.choose(0.0, wanted(regions=frozenset({"b"})))
        assert isinstance(refused, NoTarget)
        self.assertIs(refused.reason, NoTargetReason.NONE_IN_REGIONS)

    def test_home_regions_bind_the_owner_of_a_key(self) -> None:
        made = dispatcher(target("near"))
        refused = made.choose(0.0, wanted(regions=frozenset({"b"}), owner_id="near"))
        self.assertIsInstance(refused, NoTarget)
