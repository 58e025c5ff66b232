"""Decides whether and when a failed call is retried."""

from dataclasses import dataclass
from enum import Enum
from random import Random

BASE_DELAY_S = 0.01
MAX_DELAY_S = 0.5
MAX_RETRIES = 3


class NoRetryReason(Enum):
    """Why a failed call is not retried."""

    NOT_IDEMPOTENT = "not_idempotent"
    TOO_MANY_RETRIES = "too_many_retries"
    DEADLINE = "deadline"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True)
class FailedCall:
    """A call that failed.

    Attributes
    ----------
    is_idempotent
        Whether the operation is idempotent.
    is_not_run
        Whether the call certainly did not run.
    retries
        Number of retries of the request so far.
    """

    is_idempotent: bool
    is_not_run: bool
    retries: int


@dataclass(frozen=True, slots=True)
class Retry:
    """Decision to retry the call.

    Attributes
    ----------
    delay_s
        Seconds to wait before the retry.
    remaining_s
        Seconds left for the retry until the deadline of the request.
    """

    delay_s: float
    remaining_s: float


class Backoff:
    """Exponential backoff with full jitter.

    Full jitter spreads the retries of many callers that failed together. See Brooker,
    "Exponential Backoff And Jitter", AWS Architecture Blog (2015).

    Parameters
    ----------
    rng
        Source of randomness.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def decide(
        self, call: FailedCall, remaining_s: float, typical_call_s: float = 0.0
    ) -> Retry | NoRetryReason:
        """Decide whether to retry; the caller still has to check the retry budget.

        Parameters
        ----------
        call
            The call that failed.
        remaining_s
            Seconds until the deadline of the request.
        typical_call_s
            Seconds that a call typically takes; there is no retry unless more time than this
            is left after the delay.
        """
        if not (call.is_idempotent or call.is_not_run):
            return NoRetryReason.NOT_IDEMPOTENT
        if call.retries >= MAX_RETRIES:
            return NoRetryReason.TOO_MANY_RETRIES
        delay_s = self._rng.uniform(0.0, min(MAX_DELAY_S, BASE_DELAY_S * 2.0**call.retries))
        remaining_after_delay_s = remaining_s - delay_s
        if remaining_after_delay_s <= typical_call_s:
            return NoRetryReason.DEADLINE
        return Retry(delay_s, remaining_after_delay_s)
