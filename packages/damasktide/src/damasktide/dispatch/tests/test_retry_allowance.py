"""The retry budget holds over all instances without communication between them."""

import unittest
from random import Random

from damasktide.dispatch.retry_allowance import RetryAllowance, RetryLimits

LIMITS = RetryLimits(ratio=0.2, window_s=10.0, slack=58.0)
INSTANCES = 9
STEP_S = 0.05


class TestRetryAllowance(unittest.TestCase):
    def test_total_stays_within_the_limit_in_every_window(self) -> None:
        rng = Random(1)
        allowances = [RetryAllowance(LIMITS) for _ in range(INSTANCES)]
        requests: list[int] = []
        retries: list[int] = []
        for step in range(1_000):
            now = step * STEP_S
            requests.append(0)
            retries.append(0)
            for allowance in allowances:
                for _ in range(rng.randrange(4 if step % 300 < 200 else 2)):
                    allowance.count_request(now)
                    requests[-1] += 1
                    while allowance.allows(now, INSTANCES) and rng.random() < 0.7:
                        allowance.count_retry(now)
                        retries[-1] += 1
        window = int(LIMITS.window_s / STEP_S)
        for start in range(len(retries) - window):
            sent = sum(retries[start : start + window])
            bound = LIMITS.ratio * sum(requests[start : start + window]) + LIMITS.slack
            self.assertLessEqual(sent, bound)

    def test_unused_budget_does_not_accumulate(self) -> None:
        allowance = RetryAllowance(LIMITS)
        for second in range(100):
            allowance.count_request(float(second))
        sent = 0
        while allowance.allows(200.0, INSTANCES):
            allowance.count_retry(200.0)
            sent += 1
        self.assertLessEqual(sent, LIMITS.slack / INSTANCES)

    def test_part_of_the_budget_is_reserved_for_urgent_requests(self) -> None:
        """Guards against reads using up the budget of bookings if targets shed half the load."""
        allowance = RetryAllowance(LIMITS)
        for _ in range(500):
            allowance.count_request(1.0)
        while allowance.allows(1.0, INSTANCES, rank=1):
            allowance.count_retry(1.0)
        urgent = 0
        while allowance.allows(1.0, INSTANCES, rank=0):
            allowance.count_retry(1.0)
            urgent += 1
        self.assertGreater(urgent, 0.5 * LIMITS.ratio * 500)
