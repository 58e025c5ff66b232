"""Retry budget of this instance, shared by retries and hedges."""

from collections.abc import Callable
from dataclasses import dataclass
from math import exp

from damasktide.runtime.clock import Clock, MonotonicClock
from damasktide.runtime.task import Task, TaskFailed, handles

RETRY_FRACTION = 0.1
BUDGET_DECAY_TIME_S = 10.0


@dataclass(frozen=True, slots=True)
class CountRequest:
    """Reports that a request has started; sent once per request, not per retry or hedge."""


@dataclass(frozen=True, slots=True)
class SpendRetry:
    """Asks for one retry or hedge; the reply is whether the budget allows it."""


class RetryBudget:
    """Allows retries and hedges up to a fraction of the requests.

    Both counts decay exponentially at the same rate. The fraction therefore holds for recent
    requests as well as in the long run, and quiet hours do not accumulate retries for an outage.

    Parameters
    ----------
    fraction
        Maximum number of retries per request.
    """

    def __init__(self, fraction: float = RETRY_FRACTION) -> None:
        self._fraction = fraction
        self._requests = 0.0
        self._retries = 0.0
        self._updated_at = 0.0

    def count_request(self, now: float) -> None:
        """Count a request that has started."""
        self._decay(now)
        self._requests += 1.0

    def spend(self, now: float) -> bool:
        """Spend one retry and return True, or return False if the budget is exhausted."""
        self._decay(now)
        if self._retries + 1.0 > self._fraction * self._requests:
            return False
        self._retries += 1.0
        return True

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s > 0.0:
            factor = exp(-elapsed_s / BUDGET_DECAY_TIME_S)
            self._requests *= factor
            self._retries *= factor
            self._updated_at = now


class RetryBudgetTask(Task):
    """Owns the retry budget of this instance.

    Parameters
    ----------
    clock
        Source of time.
    on_failure
        Called when a handler raises outside an ``ask``.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("retry-budget", on_failure)
        self._clock = clock or MonotonicClock()
        self._budget = RetryBudget()

    @handles(CountRequest)
    def _count_request(self, message: CountRequest) -> None:
        self._budget.count_request(self._clock.now())

    @handles(SpendRetry)
    def _spend(self, message: SpendRetry) -> bool:
        return self._budget.spend(self._clock.now())
