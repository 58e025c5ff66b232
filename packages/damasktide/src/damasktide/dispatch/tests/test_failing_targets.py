"""Targets that fail, shed, go silent or accept no connection."""

import unittest

from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.messages import CallOutcome, NoTarget, NoTargetReason, TargetSelection
from damasktide.dispatch.tests.samples import dispatcher, target, view, wanted

CALL_S = 0.2


def choices(made: Dispatcher, now: float, count: int = 4) -> set[str]:
    found = set()
    for _ in range(count):
        chosen = made.choose(now, wanted())
        assert isinstance(chosen, TargetSelection)
        found.add(chosen.entry.target_id)
        made.ended(now, CallOutcome(chosen.entry, "read", CALL_S))
    return found


class TestFailingTargets(unittest.TestCase):
    def test_target_without_connection_is_left_out_for_a_while(self) -> None:
        made = dispatcher(target("dark"), target("good"))
        made.ended(0.0, CallOutcome(target("dark"), "read", 0.25, is_unreachable=True))
        self.assertEqual(choices(made, 0.1), {"good"})

    def test_only_unreachable_targets_is_a_refusal_at_once(self) -> None:
        made = dispatcher(target("dark"))
        made.ended(0.0, CallOutcome(target("dark"), "read", 0.25, is_unreachable=True))
        refused = made.choose(0.1, wanted())
        assert isinstance(refused, NoTarget)
        self.assertIs(refused.reason, NoTargetReason.ALL_UNREACHABLE)

    def test_silent_target_gets_no_more_calls(self) -> None:
        """A partition keeps connections open; the calls on them get no answer."""
        made = dispatcher(target("silent"), target("good"))
        for name in ("silent", "good"):
            made.ended(0.0, CallOutcome(target(name), "read", CALL_S))
        made.choose(0.0, wanted(tried_ids=frozenset({"good"})))
        self.assertEqual(choices(made, 1.5), {"good"})

    def test_failing_target_is_avoided_although_it_is_fast(self) -> None:
        made = dispatcher(target("grey"), target("good"))
        for _ in range(4):
            made.ended(0.0, CallOutcome(target("grey"), "read", 0.01, has_failed=True))
        self.assertEqual(choices(made, 0.1), {"good"})

    def test_failures_are_forgotten(self) -> None:
        made = dispatcher(target("grey"))
        for _ in range(4):
            made.ended(0.0, CallOutcome(target("grey"), "read", 0.01, has_failed=True))
        self.assertIsInstance(made.choose(20.0, wanted()), TargetSelection)

    def test_tried_targets_are_left_out(self) -> None:
        made = dispatcher(target("first"), target("second"))
        chosen = made.choose(0.0, wanted(tried_ids=frozenset({"first"})))
        assert isinstance(chosen, TargetSelection)
        self.assertEqual(chosen.entry.target_id, "second")

    def test_target_whose_address_leads_to_another_server_is_left_out(self) -> None:
        """Guards against 421 in no time taken for a fast answer, until the entry lapses."""
        made = dispatcher(target("ended"), target("good"))
        made.ended(0.0, CallOutcome(target("ended"), "read", 0.002, is_misdirected=True))
        self.assertEqual(choices(made, 0.1), {"good"})
        self.assertEqual(choices(made, 4.0), {"good"})
        made.set_targets(4.1, view(target("ended", incarnation=2)))
        self.assertIsInstance(made.choose(4.1, wanted()), TargetSelection)

    def test_holder_without_the_key_is_neither_fast_nor_lost(self) -> None:
        """Guards against keys refused because a new holder had not taken its grant yet."""
        made = dispatcher(target("t1"))
        before = made.typical_s("read", 0.8)
        outcome = CallOutcome(target("t1"), "read", 0.002, is_misdirected=True, is_keyed=True)
        made.ended(0.0, outcome)
        self.assertEqual(made.typical_s("read", 0.8), before)
        self.assertIsInstance(made.choose(0.1, wanted(owner_id="t1")), TargetSelection)

    def test_new_life_of_a_target_starts_without_history(self) -> None:
        made = dispatcher(target("t1"))
        made.ended(0.0, CallOutcome(target("t1"), "read", 0.25, is_unreachable=True))
        from_new_life = target("t1", incarnation=2)
        made.set_targets(0.1, view(from_new_life))
        self.assertIsInstance(made.choose(0.1, wanted()), TargetSelection)
