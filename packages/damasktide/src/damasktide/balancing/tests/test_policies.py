import time
import unittest
from heapq import heappop, heappush
from random import Random

from damasktide.balancing.messages import (
    CallOutcome,
    Done,
    LoadReported,
    Pick,
)
from damasktide.balancing.task import REFRESH_S
from damasktide.balancing.tests.balancers import (
    balancer,
    near_targets,
    picked,
)

PICK_BUDGET_S = 20e-6
SERVICE_S = 0.02


class LoadReportTest(unittest.TestCase):
    def test_fresh_report_steers_and_old_report_does_not(self) -> None:
        """Guards against blindness to other instances, and against trust in an old report."""
        for seed in range(20):
            subject = balancer(near_targets(2), seed=seed)
            subject.report_load(0.0, LoadReported("s0", 6, "boot-1"))
            self.assertEqual(picked(subject.pick(0.0, Pick())), "s1")
            # Now s1 has a call, and a report from 5 s ago must not hold s0 back.
            subject.report_load(0.0, LoadReported("s0", 6, "boot-1", age_s=5.0))
            self.assertEqual(picked(subject.pick(0.0, Pick())), "s0")


class ImbalanceTest(unittest.TestCase):
    def imbalance(self, policy: str, seed: int) -> float:
        """Return max/mean of the busy time of 25 targets, as the mean over 0.5 s windows."""
        rng = Random(seed)
        targets = near_targets(25)
        names = [item.server_id for item in targets]
        subject = balancer(targets, policy, seed=seed)
        busy_by_window: dict[int, dict[str, float]] = {}
        ends: list[tuple[float, str, float]] = []
        now = next_refresh = 0.0
        while now < 4.0:
            now += rng.expovariate(0.5 * 25 * 6 / SERVICE_S)
            while ends and ends[0][0] <= now:
                end, name, seconds = heappop(ends)
                subject.finish(end, Done(name, seconds, CallOutcome.OK))
            if now >= next_refresh:
                next_refresh = now + REFRESH_S
                subject.refresh(now)
            name = picked(subject.pick(now, Pick()))
            seconds = rng.gammavariate(4.0, SERVICE_S / 4.0)
            heappush(ends, (now + seconds, name, seconds))
            busy = busy_by_window.setdefault(int(now * 2), dict.fromkeys(names, 0.0))
            busy[name] += seconds
        ratios = [25 * max(busy.values()) / sum(busy.values()) for busy in busy_by_window.values()]
        return sum(ratios[:8]) / 8

    def test_load_is_even_over_25_targets(self) -> None:
        """Guards against targets that get more than their part of the load."""
        for seed in (1, 2, 3):
            self.assertLessEqual(self.imbalance("power_of_two", seed), 1.15)
            self.assertGreater(self.imbalance("random", seed), 1.15)


class HotPathTest(unittest.TestCase):
    def test_pick_among_25_targets_is_cheap(self) -> None:
        """Guards against a pick that costs a visible part of a request."""
        subject = balancer(near_targets(25))
        request = Pick()
        best = float("inf")
        for _ in range(20):
            started = time.perf_counter()
            names = [picked(subject.pick(0.0, request)) for _ in range(100)]
            best = min(best, (time.perf_counter() - started) / 100)
            for name in names:
                subject.finish(0.0, Done(name, 0.01, CallOutcome.OK))
        self.assertLess(best, PICK_BUDGET_S)


if __name__ == "__main__":
    unittest.main()
