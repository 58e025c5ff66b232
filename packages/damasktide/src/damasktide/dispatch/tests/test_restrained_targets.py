"""Targets that announce their end, or ask for no requests for some time."""

import unittest
from dataclasses import replace

from damasktide.dispatch.dispatcher import LEAVING_OWNER_MARGIN_S, Dispatcher
from damasktide.dispatch.messages import CallOutcome, NoTarget, NoTargetReason, TargetSelection
from damasktide.dispatch.pauses import MAX_PAUSE_S, PauseRegister
from damasktide.dispatch.tests.samples import (
    REGION_BY_DOMAIN,
    SERVICE,
    make_dispatcher,
    make_query,
    make_target,
    make_view,
)
from damasktide.targets.target import TargetState, TargetView

DRAIN_S = 4.0


def shed(dispatcher: Dispatcher, now: float, name: str, pause_s: float) -> None:
    outcome = CallOutcome(make_target(name), "read", 0.01, is_shed=True, pause_s=pause_s)
    dispatcher.record_outcome(now, outcome)


def sent_to(dispatcher: Dispatcher, name: str, start: float, end: float) -> int:
    """Return how many of 100 requests between two times reach a target."""
    count = 0
    for step in range(100):
        now = start + (end - start) * step / 100
        selection = dispatcher.choose(now, make_query())
        if isinstance(selection, TargetSelection):
            count += selection.entry.target_id == name
            dispatcher.record_outcome(now, CallOutcome(selection.entry, "read", 0.1))
    return count


class TestPauses(unittest.TestCase):
    """A target that sheds with a time after which to return, while requests keep coming."""

    def test_paused_target_gets_no_request_until_the_pause_ends(self) -> None:
        dispatcher = make_dispatcher(make_target("paused"), make_target("good"))
        shed(dispatcher, 0.0, "paused", 3.0)
        self.assertEqual(sent_to(dispatcher, "paused", 0.0, 2.99), 0)

    def test_target_gets_requests_once_its_pause_has_ended(self) -> None:
        dispatcher = make_dispatcher(make_target("paused"))
        shed(dispatcher, 0.0, "paused", 3.0)
        self.assertIsInstance(dispatcher.choose(2.99, make_query()), NoTarget)
        self.assertIsInstance(dispatcher.choose(3.0, make_query()), TargetSelection)

    def test_request_is_refused_until_the_first_pause_ends(self) -> None:
        dispatcher = make_dispatcher(make_target("a"), make_target("b"))
        shed(dispatcher, 0.0, "a", 3.0)
        shed(dispatcher, 0.0, "b", 2.0)
        no_target = dispatcher.choose(0.5, make_query())
        assert isinstance(no_target, NoTarget)
        self.assertIs(no_target.reason, NoTargetReason.PAUSED)
        self.assertAlmostEqual(no_target.retry_after_s, 1.5)

    def test_pause_of_an_owner_holds_for_its_keys(self) -> None:
        dispatcher = make_dispatcher(make_target("owner"))
        shed(dispatcher, 0.0, "owner", 2.0)
        no_target = dispatcher.choose(1.5, make_query(owner_id="owner"))
        assert isinstance(no_target, NoTarget)
        self.assertIs(no_target.reason, NoTargetReason.PAUSED)
        selection = dispatcher.choose(2.0, make_query(owner_id="owner"))
        self.assertIsInstance(selection, TargetSelection)

    def test_pause_outlasts_the_entry_but_not_the_incarnation(self) -> None:
        dispatcher = make_dispatcher(make_target("paused"))
        shed(dispatcher, 0.0, "paused", 9.0)
        dispatcher.set_targets(1.0, TargetView())
        dispatcher.set_targets(2.0, make_view(make_target("paused")))
        self.assertIsInstance(dispatcher.choose(3.0, make_query()), NoTarget)
        dispatcher.set_targets(4.0, make_view(make_target("paused", incarnation=2)))
        self.assertIsInstance(dispatcher.choose(5.0, make_query()), TargetSelection)

    def test_shorter_pause_does_not_end_a_longer_one(self) -> None:
        pauses = PauseRegister()
        pauses.record(0.0, ("t", 1), 5.0)
        pauses.record(1.0, ("t", 1), 0.5)
        self.assertEqual(pauses.remaining_s(2.0, ("t", 1)), 3.0)

    def test_pause_is_limited(self) -> None:
        """Guards against a target that is lost for good because of one absurd value."""
        pauses = PauseRegister()
        for pause_s in (1e300, 86_400.0):
            pauses.record(0.0, ("t", 1), pause_s)
        self.assertEqual(pauses.remaining_s(0.0, ("t", 1)), MAX_PAUSE_S)
        self.assertEqual(pauses.remaining_s(MAX_PAUSE_S, ("t", 1)), 0.0)


class TestLeavingTargets(unittest.TestCase):
    """Targets that announce their end in responses, while the list still says they are ready."""

    def view(self, since: float = 0.0) -> TargetView:
        leaving = replace(make_target("leaving"), state=TargetState.LEAVING)
        entries = {"leaving": leaving, "good": make_target("good")}
        return TargetView(
            entries, {SERVICE.name: (entries["good"],)}, frozenset(), {"leaving": since}
        )

    def dispatcher(self, drain_s: float = DRAIN_S) -> Dispatcher:
        dispatcher = Dispatcher("a1", REGION_BY_DOMAIN, "a1-0", drain_s=drain_s)
        dispatcher.set_targets(0.0, self.view())
        return dispatcher

    def test_leaving_target_gets_no_request_without_a_key(self) -> None:
        self.assertEqual(sent_to(self.dispatcher(), "leaving", 0.0, 3.0), 0)

    def test_leaving_owner_serves_its_keys_until_it_stops(self) -> None:
        """Guards against keys that nobody serves while the store is away and they cannot move."""
        query = make_query(owner_id="leaving")
        ends_at = DRAIN_S - LEAVING_OWNER_MARGIN_S
        self.assertIsInstance(self.dispatcher().choose(ends_at - 0.1, query), TargetSelection)
        self.assertIsInstance(self.dispatcher().choose(ends_at, query), NoTarget)

    def test_leaving_owner_gets_nothing_if_its_time_is_unknown(self) -> None:
        query = make_query(owner_id="leaving")
        self.assertIsInstance(self.dispatcher(drain_s=0.0).choose(0.1, query), NoTarget)
