import time
import unittest
from heapq import heappop, heappush
from random import Random
from statistics import fmean

from damasktide.balancing.messages import (
    CallOutcome,
    Done,
    LoadReported,
    Pick,
)
from damasktide.balancing.task import REFRESH_INTERVAL_S
from damasktide.balancing.tests.balancers import (
    balancer,
    near_targets,
    picked_server_id,
)

PICK_BUDGET_S = 20e-6
MEAN_CALL_S = 0.02
FAILED_CALL_S = 0.001
WINDOW_S = 0.5


class LoadReportTest(unittest.TestCase):
    def test_fresh_report_affects_the_choice_and_old_report_does_not(self) -> None:
        """Guards against ignoring the load of other instances, and against using old reports."""
        for seed in range(20):
            subject = balancer(near_targets(2), seed=seed)
            subject.record_load_report(0.0, LoadReported("s0", 6, "boot-1"))
            self.assertEqual(picked_server_id(subject.pick(0.0, Pick())), "s1")
            # Now s1 has a call, and a report from 5 s ago must not keep calls from s0.
            subject.record_load_report(0.0, LoadReported("s0", 6, "boot-1", age_s=5.0))
            self.assertEqual(picked_server_id(subject.pick(0.0, Pick())), "s0")


class PolicyModel:
    """Runs half load on 25 targets of 6 slots, the first ``failing`` of which fail at once."""

    def __init__(self, policy: str, seed: int, failing: int = 0) -> None:
        self._rng = Random(seed)
        self._names = [target.server_id for target in near_targets(25)]
        self._failing = frozenset(self._names[:failing])
        self._subject = balancer(near_targets(25), policy, seed=seed)
        self._ends: list[tuple[float, str, float]] = []
        self.failed_fraction = 0.0
        self.imbalances: list[float] = []

    def run(self, seconds: float) -> "PolicyModel":
        now = next_refresh = 0.0
        calls = failed = 0
        busy_by_window: dict[int, dict[str, float]] = {}
        while now < seconds:
            now += self._rng.expovariate(0.5 * 25 * 6 / MEAN_CALL_S)
            self._end_calls(now)
            if now >= next_refresh:
                next_refresh = now + REFRESH_INTERVAL_S
                self._subject.refresh(now)
            name = picked_server_id(self._subject.pick(now, Pick()))
            busy_s = (
                FAILED_CALL_S
                if name in self._failing
                else self._rng.gammavariate(4.0, MEAN_CALL_S / 4)
            )
            heappush(self._ends, (now + busy_s, name, busy_s))
            calls += 1
            failed += name in self._failing
            window = int(now / WINDOW_S)
            busy = busy_by_window.setdefault(window, dict.fromkeys(self._names, 0.0))
            busy[name] += busy_s
        del busy_by_window[int(now / WINDOW_S)]
        self.failed_fraction = failed / calls
        self.imbalances = [max(b.values()) / fmean(b.values()) for b in busy_by_window.values()]
        return self

    def _end_calls(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            end, name, busy_s = heappop(self._ends)
            outcome = CallOutcome.FAILED if name in self._failing else CallOutcome.OK
            self._subject.finish(end, Done(name, busy_s, outcome))


class PolicyTest(unittest.TestCase):
    def test_load_is_even_over_25_targets(self) -> None:
        """Guards against targets that get more than their share of the load."""
        for seed in (1, 2, 3):
            power_of_two_imbalance, random_imbalance = (
                fmean(PolicyModel(policy, seed).run(4.0).imbalances)
                for policy in ("power_of_two", "random")
            )
            self.assertLessEqual(power_of_two_imbalance, 1.15)
            self.assertGreater(random_imbalance, 1.15)

    def test_targets_that_fail_at_once_do_not_attract_work(self) -> None:
        """Guards against failing targets that look idle, if too many fail to eject them all."""
        for seed in (1, 2, 3):
            power_of_two_failed, random_failed, least_in_flight_failed = (
                PolicyModel(policy, seed, failing=10).run(2.0).failed_fraction
                for policy in ("power_of_two", "random", "least_in_flight")
            )
            self.assertLess(power_of_two_failed, 0.5 * random_failed)
            # Control: a policy that considers only calls in flight.
            self.assertGreater(least_in_flight_failed, 2.0 * random_failed)


class HotPathTest(unittest.TestCase):
    def test_pick_among_25_targets_is_cheap(self) -> None:
        """Guards against a pick that takes a noticeable part of the time of a request."""
        subject = balancer(near_targets(25))
        request = Pick()
        best = float("inf")
        for _ in range(20):
            started = time.perf_counter()
            names = [picked_server_id(subject.pick(0.0, request)) for _ in range(100)]
            best = min(best, (time.perf_counter() - started) / 100)
            for name in names:
                subject.finish(0.0, Done(name, 0.01, CallOutcome.OK))
        self.assertLess(best, PICK_BUDGET_S)


if __name__ == "__main__":
    unittest.main()
