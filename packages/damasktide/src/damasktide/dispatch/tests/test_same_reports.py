"""Many instances with the same load reports must not all choose the same targets."""

import unittest
from collections import Counter
from random import Random

from damasktide.dispatch.dispatcher import SAMPLED_TARGETS_PER_DISTANCE, Dispatcher
from damasktide.dispatch.load_estimate import LoadReport
from damasktide.dispatch.messages import TargetSelection
from damasktide.dispatch.tests.samples import (
    REGION_BY_DOMAIN,
    SLOTS,
    make_query,
    make_target,
    make_view,
)

INSTANCES = 18
TARGETS = 34
FULL = LoadReport(SLOTS, 12, SLOTS)
PARTLY_FULL = LoadReport(2, 0, SLOTS)


class TestSameReports(unittest.TestCase):
    def setUp(self) -> None:
        self.entries = [make_target(f"t{number}") for number in range(TARGETS)]
        self.dispatchers = [
            Dispatcher("a1", REGION_BY_DOMAIN, f"a1-{number}", Random(number))
            for number in range(INSTANCES)
        ]
        for dispatcher in self.dispatchers:
            dispatcher.set_targets(0.0, make_view(*self.entries))

    def record_report(self, name: str, report: LoadReport) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.record_peer_report(1.0, (name, 1), report, 0.1)

    def choose_once_each(self) -> Counter[str]:
        count_by_target: Counter[str] = Counter()
        for dispatcher in self.dispatchers:
            selection = dispatcher.choose(1.0, make_query())
            assert isinstance(selection, TargetSelection)
            count_by_target[selection.entry.target_id] += 1
        return count_by_target

    def test_idle_target_is_not_overrun(self) -> None:
        """Guards against all instances sending to the one target that has just become idle."""
        for entry in self.entries[1:]:
            self.record_report(entry.target_id, PARTLY_FULL)
        # If every instance compared all targets, each request would go to the idle one.
        self.assertLessEqual(self.choose_once_each()["t0"], INSTANCES // 2)

    def test_full_targets_are_avoided(self) -> None:
        for entry in self.entries[: TARGETS // 2]:
            self.record_report(entry.target_id, FULL)
        full = {entry.target_id for entry in self.entries[: TARGETS // 2]}
        self.assertEqual(full & set(self.choose_once_each()), set())

    def test_all_targets_are_compared_if_the_sampled_ones_are_full(self) -> None:
        """Guards against refusals while a target outside the sample has free slots."""
        for entry in self.entries[1:]:
            self.record_report(entry.target_id, FULL)
        self.assertGreater(TARGETS, SAMPLED_TARGETS_PER_DISTANCE)
        self.assertEqual(set(self.choose_once_each()), {"t0"})
