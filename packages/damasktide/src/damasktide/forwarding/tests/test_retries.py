import unittest
from random import Random
from statistics import quantiles

from damasktide.forwarding.backoff import (
    BASE_DELAY_S,
    MAX_RETRIES,
    Backoff,
    FailedCall,
    NoRetryReason,
    Retry,
)
from damasktide.forwarding.hedging import (
    CallObserved,
    HedgePlan,
    Hedging,
    HedgingTask,
    SlowTargets,
)
from damasktide.forwarding.retry_budget import (
    CountRequest,
    RetryBudget,
    RetryBudgetTask,
    SpendRetry,
)

REQUESTS_PER_S = 500


class RetryBudgetTest(unittest.TestCase):
    @staticmethod
    def calls_per_request_in_outage(budget: RetryBudget, seed: int) -> float:
        """Return calls per request in an outage of 20 s after 60 s without failures."""
        rng = Random(seed)
        now, requests, retries = 0.0, 0, 0
        while now < 80.0:
            now += rng.expovariate(REQUESTS_PER_S)
            budget.count_request(now)
            if now < 60.0:
                continue
            requests += 1
            for _ in range(MAX_RETRIES):
                retries += budget.spend(now)
        return 1.0 + retries / requests

    def test_outage_raises_calls_by_a_tenth_only(self) -> None:
        """Guards against retries that multiply the load on targets that are already failing."""
        for seed in (1, 2, 3):
            # The time before the outage leaves a reserve of a tenth of the requests of one decay
            # time (10 s).
            reserve = 0.1 * 10.0 / 20.0
            self.assertLess(self.calls_per_request_in_outage(RetryBudget(), seed), 1.1 + reserve)
        self.assertGreater(self.calls_per_request_in_outage(RetryBudget(fraction=1e9), 1), 3.9)

    def test_retries_never_exceed_a_tenth_of_all_requests(self) -> None:
        """Guards against a budget that is refilled faster than requests arrive."""
        rng = Random(4)
        budget = RetryBudget()
        now, requests, retries = 0.0, 0, 0
        for _ in range(50_000):
            now += rng.expovariate(rng.choice((1, 50, 2000)))
            if rng.random() < 0.5:
                budget.count_request(now)
                requests += 1
            retries += budget.spend(now)
        self.assertLessEqual(retries, 0.1 * requests)
        self.assertGreater(retries, 0.05 * requests)

    def test_task_allows_retries_within_the_budget(self) -> None:
        """Guards against requests that the budget task does not count."""
        task = RetryBudgetTask()
        task.start()
        self.assertFalse(task.ask(SpendRetry()))
        for _ in range(11):
            task.tell(CountRequest())
        self.assertEqual([task.ask(SpendRetry()) for _ in range(2)], [True, False])
        task.stop()


class BackoffTest(unittest.TestCase):
    def setUp(self) -> None:
        self.backoff = Backoff(Random(5))

    def test_only_calls_that_are_safe_to_repeat_are_retried(self) -> None:
        """Guards against a non-idempotent booking that runs twice."""
        unsafe = FailedCall(is_idempotent=False, is_not_run=False, retries=0)
        self.assertEqual(self.backoff.decide(unsafe, 1.0), NoRetryReason.NOT_IDEMPOTENT)
        for is_idempotent, is_not_run in ((True, False), (False, True)):
            call = FailedCall(is_idempotent, is_not_run, 0)
            self.assertIsInstance(self.backoff.decide(call, 1.0), Retry)

    def test_delay_is_spread_over_the_whole_range(self) -> None:
        """Guards against requests that failed together and are retried together."""
        for retries in range(MAX_RETRIES):
            delays = self.delays(retries)
            top_s = BASE_DELAY_S * 2**retries
            low, middle, high = quantiles(delays, n=4)
            for value, expected in ((low, 0.25), (middle, 0.5), (high, 0.75)):
                self.assertAlmostEqual(value / top_s, expected, delta=0.05)
        last = FailedCall(is_idempotent=True, is_not_run=True, retries=MAX_RETRIES)
        self.assertEqual(self.backoff.decide(last, 1.0), NoRetryReason.TOO_MANY_RETRIES)

    def delays(self, retries: int) -> list[float]:
        call = FailedCall(is_idempotent=True, is_not_run=False, retries=retries)
        delays = []
        for _ in range(2000):
            decision = self.backoff.decide(call, 1.0)
            assert isinstance(decision, Retry)
            self.assertAlmostEqual(decision.remaining_s, 1.0 - decision.delay_s)
            delays.append(decision.delay_s)
        return delays

    def test_no_retry_that_cannot_end_before_the_deadline(self) -> None:
        """Guards against retries whose response arrives after the caller's deadline."""
        call = FailedCall(is_idempotent=True, is_not_run=False, retries=0)
        self.assertEqual(
            self.backoff.decide(call, 0.02, typical_call_s=0.02), NoRetryReason.DEADLINE
        )
        self.assertIsInstance(self.backoff.decide(call, 0.02 + BASE_DELAY_S, 0.01), Retry)


class HedgingTest(unittest.TestCase):
    def test_delay_follows_the_p95_of_the_service(self) -> None:
        """Guards against hedging most requests after the service has become slower."""
        rng = Random(6)
        hedging = Hedging()
        for mean_s in (0.01, 0.03):
            samples = [rng.expovariate(1.0 / mean_s) for _ in range(4000)]
            for sample in samples:
                hedging.observe(sample)
            above = [sample > (hedging.plan().delay_s or 0.0) for sample in samples[2000:]]
            self.assertAlmostEqual(sum(above) / len(above), 0.05, delta=0.03)

    def test_hedging_is_disabled_when_it_would_do_harm(self) -> None:
        """Guards against a request that runs twice, and against hedges that add to overload."""
        hedging = Hedging()
        self.assertIsNone(hedging.plan().delay_s)
        for _ in range(100):
            hedging.observe(0.01)
        for fraction, is_on in ((0.0, True), (0.5, True), (0.52, False)):
            hedging.set_slow_fraction(fraction)
            self.assertEqual(hedging.plan().delay_s is not None, is_on)
        plan = HedgePlan(0.01)
        self.assertEqual(plan.delay_for(may_hedge=True, remaining_s=1.0), 0.01)
        self.assertIsNone(plan.delay_for(may_hedge=False, remaining_s=1.0))
        self.assertIsNone(plan.delay_for(may_hedge=True, remaining_s=0.01))

    def test_task_publishes_its_plan(self) -> None:
        """Guards against request handlers that read an outdated plan."""
        plans: list[HedgePlan] = []
        task = HedgingTask("desk", plans.append)
        task.start()
        for _ in range(60):
            task.tell(CallObserved(0.01))
        task.ask(SlowTargets(0.4))
        self.assertIsNotNone(plans[-1].delay_s)
        task.ask(SlowTargets(0.6))
        self.assertIsNone(plans[-1].delay_s)
        task.stop()


if __name__ == "__main__":
    unittest.main()
