"""Targets that fail, shed, do not respond or accept no connection."""

import unittest

from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.messages import CallOutcome, NoTarget, NoTargetReason, TargetSelection
from damasktide.dispatch.tests.samples import make_dispatcher, make_query, make_target, make_view

CALL_S = 0.2


def chosen_ids(dispatcher: Dispatcher, now: float, count: int = 4) -> set[str]:
    found_ids = set()
    for _ in range(count):
        selection = dispatcher.choose(now, make_query())
        assert isinstance(selection, TargetSelection)
        found_ids.add(selection.entry.target_id)
        dispatcher.record_outcome(now, CallOutcome(selection.entry, "read", CALL_S))
    return found_ids


class TestFailingTargets(unittest.TestCase):
    def test_unreachable_target_is_excluded_temporarily(self) -> None:
        dispatcher = make_dispatcher(make_target("unreachable"), make_target("good"))
        dispatcher.record_outcome(
            0.0, CallOutcome(make_target("unreachable"), "read", 0.25, is_unreachable=True)
        )
        self.assertEqual(chosen_ids(dispatcher, 0.1), {"good"})

    def test_request_is_refused_if_all_targets_are_unreachable(self) -> None:
        dispatcher = make_dispatcher(make_target("unreachable"))
        dispatcher.record_outcome(
            0.0, CallOutcome(make_target("unreachable"), "read", 0.25, is_unreachable=True)
        )
        no_target = dispatcher.choose(0.1, make_query())
        assert isinstance(no_target, NoTarget)
        self.assertIs(no_target.reason, NoTargetReason.ALL_UNREACHABLE)

    def test_unresponsive_target_gets_no_more_calls(self) -> None:
        """A network partition leaves connections open, but calls on them get no response."""
        dispatcher = make_dispatcher(make_target("unresponsive"), make_target("good"))
        for name in ("unresponsive", "good"):
            dispatcher.record_outcome(0.0, CallOutcome(make_target(name), "read", CALL_S))
        dispatcher.choose(0.0, make_query(tried_ids=frozenset({"good"})))
        self.assertEqual(chosen_ids(dispatcher, 1.5), {"good"})

    def test_failing_target_is_avoided_although_it_is_fast(self) -> None:
        dispatcher = make_dispatcher(make_target("failing"), make_target("good"))
        for _ in range(4):
            dispatcher.record_outcome(
                0.0, CallOutcome(make_target("failing"), "read", 0.01, has_failed=True)
            )
        self.assertEqual(chosen_ids(dispatcher, 0.1), {"good"})

    def test_only_target_is_selected_despite_earlier_failures(self) -> None:
        dispatcher = make_dispatcher(make_target("failing"))
        for _ in range(4):
            dispatcher.record_outcome(
                0.0, CallOutcome(make_target("failing"), "read", 0.01, has_failed=True)
            )
        self.assertIsInstance(dispatcher.choose(20.0, make_query()), TargetSelection)

    def test_tried_targets_are_excluded(self) -> None:
        dispatcher = make_dispatcher(make_target("first"), make_target("second"))
        selection = dispatcher.choose(0.0, make_query(tried_ids=frozenset({"first"})))
        assert isinstance(selection, TargetSelection)
        self.assertEqual(selection.entry.target_id, "second")

    def test_target_replaced_by_another_server_is_excluded(self) -> None:
        """Guards against preferring a target for fast 421 responses until its entry expires."""
        dispatcher = make_dispatcher(make_target("replaced"), make_target("good"))
        dispatcher.record_outcome(
            0.0, CallOutcome(make_target("replaced"), "read", 0.002, is_misdirected=True)
        )
        self.assertEqual(chosen_ids(dispatcher, 0.1), {"good"})
        self.assertEqual(chosen_ids(dispatcher, 4.0), {"good"})
        dispatcher.set_targets(4.1, make_view(make_target("replaced", incarnation=2)))
        self.assertIsInstance(dispatcher.choose(4.1, make_query()), TargetSelection)

    def test_421_from_a_key_owner_changes_neither_its_estimate_nor_its_availability(self) -> None:
        """Guards against refusing keys whose new owner has not yet accepted its grant.

        Until then, the owner responds with 421 to requests for these keys.
        """
        dispatcher = make_dispatcher(make_target("t1"))
        before = dispatcher.typical_call_s("read", 0.8)
        outcome = CallOutcome(make_target("t1"), "read", 0.002, is_misdirected=True, is_keyed=True)
        dispatcher.record_outcome(0.0, outcome)
        self.assertEqual(dispatcher.typical_call_s("read", 0.8), before)
        self.assertIsInstance(dispatcher.choose(0.1, make_query(owner_id="t1")), TargetSelection)

    def test_new_incarnation_starts_without_history(self) -> None:
        dispatcher = make_dispatcher(make_target("t1"))
        dispatcher.record_outcome(
            0.0, CallOutcome(make_target("t1"), "read", 0.25, is_unreachable=True)
        )
        new_incarnation = make_target("t1", incarnation=2)
        dispatcher.set_targets(0.1, make_view(new_incarnation))
        self.assertIsInstance(dispatcher.choose(0.1, make_query()), TargetSelection)
