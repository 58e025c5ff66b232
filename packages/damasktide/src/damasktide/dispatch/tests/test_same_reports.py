"""Many instances that hear the same reports: they must not all choose the same targets."""

import unittest
from collections import Counter
from random import Random

from damasktide.dispatch.dispatcher import COMPARED_TARGETS, Dispatcher
from damasktide.dispatch.load_estimate import LoadReport
from damasktide.dispatch.messages import TargetSelection
from damasktide.dispatch.tests.samples import REGION_BY_DOMAIN, SLOTS, target, view, wanted

INSTANCES = 18
TARGETS = 34
FULL = LoadReport(SLOTS, 12, SLOTS)
PARTLY = LoadReport(2, 0, SLOTS)


class TestSameReports(unittest.TestCase):
    def setUp(self) -> None:
        self.entries = [target(f"t{number}") for number in range(TARGETS)]
        self.dispatchers = [
            Dispatcher("a1", REGION_BY_DOMAIN, f"a1-{number}", Random(number))
            for number in range(INSTANCES)
        ]
        for made in self.dispatchers:
            made.set_targets(0.0, view(*self.entries))

    def tell(self, name: str, report: LoadReport) -> None:
        for made in self.dispatchers:
            made.take_peer_reports(1.0, (name, 1), report, 0.1)

    def choose_once_each(self) -> Counter[str]:
        chosen: Counter[str] = Counter()
        for made in self.dispatchers:
            found = made.choose(1.0, wanted())
            assert isinstance(found, TargetSelection)
            chosen[found.entry.target_id] += 1
        return chosen

    def test_an_idle_target_is_not_run_over(self) -> None:
        """Guards against all instances sending to the one target that just became idle."""
        for entry in self.entries[1:]:
            self.tell(entry.target_id, PARTLY)
        # A full comparison would send every request to the idle target.
        self.assertLessEqual(self.choose_once_each()["t0"], INSTANCES // 2)

    def test_full_targets_are_avoided(self) -> None:
        for entry in self.entries[: TARGETS // 2]:
            self.tell(entry.target_id, FULL)
        full = {entry.target_id for entry in self.entries[: TARGETS // 2]}
        self.assertEqual(full & set(self.choose_once_each()), set())

    def test_all_targets_are_compared_when_the_few_are_full(self) -> None:
        """Guards against refusals while a target outside the sample has free slots."""
        for entry in self.entries[1:]:
            self.tell(entry.target_id, FULL)
        self.assertGreater(TARGETS, COMPARED_TARGETS)
        self.assertEqual(set(self.choose_once_each()), {"t0"})
