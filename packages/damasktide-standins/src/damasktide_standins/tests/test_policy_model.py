import unittest
from random import Random

from damasktide_standins.class_matching import match_two_classes
from damasktide_standins.measure_policies import measure
from damasktide_standins.policy_scenarios import CANDIDATES, Scenario

STEPS = 50


def grid_search(alpha: tuple[float, float], rate: list[tuple[float, float]]) -> float:
    """Return the largest lambda on a grid of deltas for two kinds of targets."""
    best = 0.0
    for first in range(STEPS + 1):
        for second in range(STEPS + 1):
            fractions = first / STEPS, second / STEPS
            served_0 = sum(
                fraction * rates[0] for fraction, rates in zip(fractions, rate, strict=True)
            )
            served_1 = sum(
                (1 - fraction) * rates[1] for fraction, rates in zip(fractions, rate, strict=True)
            )
            best = max(best, min(served_0 / alpha[0], served_1 / alpha[1]))
    return best


class ClassMatchingTest(unittest.TestCase):
    def test_solution_is_as_good_as_a_grid_search(self) -> None:
        """Guards against comparing policies with a wrong solution of the linear program."""
        rng = Random(1)
        for _ in range(10):
            share = rng.uniform(0.1, 0.9)
            alpha = share, 1.0 - share
            rate = [(rng.uniform(1, 10), rng.uniform(1, 10)) for _ in range(2)]
            matching = match_two_classes(alpha, rate)
            self.assertGreaterEqual(matching.capacity_per_s, grid_search(alpha, rate) - 1e-9)
            for index in (0, 1):
                served = sum(
                    delta * rates[index]
                    for delta, rates in zip(matching.delta[index], rate, strict=True)
                )
                required = matching.capacity_per_s * alpha[index]
                self.assertGreaterEqual(served, required - 1e-9)


class PolicyModelTest(unittest.TestCase):
    def test_stragglers_raise_and_hedging_lowers_tail_latency(self) -> None:
        """Guards against a model in which stragglers or hedging have no effect."""
        candidate_by_name = {candidate.name: candidate for candidate in CANDIDATES}
        p999_ms = []
        for stragglers, name in ((0, "random"), (1, "random"), (1, "random, hedged")):
            scenario = Scenario("test", stragglers=stragglers)
            (statistics,) = measure(scenario, candidate_by_name[name], 1, 12.0)
            p999_ms.append(statistics.p999_ms)
        self.assertGreater(p999_ms[1], 2.0 * p999_ms[0])
        self.assertLess(p999_ms[2], 0.6 * p999_ms[1])


if __name__ == "__main__":
    unittest.main()
