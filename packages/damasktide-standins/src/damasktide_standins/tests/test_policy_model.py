import unittest
from random import Random

from damasktide_standins.class_matching import match_two_classes
from damasktide_standins.measure_policies import measure
from damasktide_standins.policy_scenarios import CANDIDATES, Scenario

STEPS = 50


def search(alpha: tuple[float, float], rate: list[tuple[float, float]]) -> float:
    """Return the largest lambda over a grid of deltas of two kinds."""
    best = 0.0
    for first in range(STEPS + 1):
        for second in range(STEPS + 1):
            parts = first / STEPS, second / STEPS
            served_0 = sum(part * rates[0] for part, rates in zip(parts, rate, strict=True))
            served_1 = sum((1 - part) * rates[1] for part, rates in zip(parts, rate, strict=True))
            best = max(best, min(served_0 / alpha[0], served_1 / alpha[1]))
    return best


class ClassMatchingTest(unittest.TestCase):
    def test_closed_form_is_as_good_as_a_search(self) -> None:
        """Guards against an experiment that compares with a wrong solution of the program."""
        rng = Random(1)
        for _ in range(10):
            share = rng.uniform(0.1, 0.9)
            alpha = share, 1.0 - share
            rate = [(rng.uniform(1, 10), rng.uniform(1, 10)) for _ in range(2)]
            matching = match_two_classes(alpha, rate)
            self.assertGreaterEqual(matching.capacity_per_s, search(alpha, rate) - 1e-9)
            for index in (0, 1):
                served = sum(
                    delta * rates[index]
                    for delta, rates in zip(matching.delta[index], rate, strict=True)
                )
                floor = matching.capacity_per_s * alpha[index]
                self.assertGreaterEqual(served, floor - 1e-9)


class PolicyModelTest(unittest.TestCase):
    def test_stragglers_and_hedges_show_in_the_figures(self) -> None:
        """Guards against a model in which the stragglers or the hedges do nothing."""
        candidate_by_name = {candidate.name: candidate for candidate in CANDIDATES}
        p999_ms = []
        for stragglers, name in ((0, "random"), (1, "random"), (1, "random, hedged")):
            scenario = Scenario("test", stragglers=stragglers)
            (figures,) = measure(scenario, candidate_by_name[name], 1, 12.0)
            p999_ms.append(figures.p999_ms)
        self.assertGreater(p999_ms[1], 2.0 * p999_ms[0])
        self.assertLess(p999_ms[2], 0.6 * p999_ms[1])


if __name__ == "__main__":
    unittest.main()
