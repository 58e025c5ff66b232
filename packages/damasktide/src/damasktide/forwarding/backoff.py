"""Whether and when a failed call is retried."""

from dataclasses import dataclass
from enum import Enum
from random import Random

BASE_DELAY_S = 0.01
MAX_DELAY_S = 0.5
MAX_RETRIES = 3


class NoRetryReason(Enum):
    """Why a failed call is not retried; each has a counter."""

    NOT_IDEMPOTENT = "not_idempotent"
    TOO_MANY_RETRIES = "too_many_retries"
    DEADLINE = "deadline"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True)
class FailedCall:
    """A call that failed.

    Attributes
    ----------
    idempotent
        Whether the operation is idempotent.
    not_run
        Whether it is certain that the call did not run.
    retries
        Retries of the request so far.
    """

    idempotent: bool
    not_run: bool
    retries: int


@dataclass(frozen=True, slots=True)
class Retry:
    """The call is to be repeated.

    Attributes
    ----------
    delay_s
        Seconds to wait before.
    remaining_s
        Seconds that the repeated call may take, to be passed on as its deadline.
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
        self, call: FailedCall, remaining_s: float, call_s: float = 0.0
    ) -> Retry | NoRetryReason:
        """Decide on a retry; the budget is the caller's next check.

        Parameters
        ----------
        call
            The call that failed.
        remaining_s
            Seconds to the deadline of the request.
        call_s
            Seconds that a call usually takes; with less left, a retry would be wasted.
        """
        if not (call.idempotent or call.not_run):
            return NoRetryReason.NOT_IDEMPOTENT
        if call.retries >= MAX_RETRIES:
            return NoRetryReason.TOO_MANY_RETRIES
        delay_s = self._rng.uniform(0.0, min(MAX_DELAY_S, BASE_DELAY_S * 2.0**call.retries))
        left_s = remaining_s - delay_s
        if left_s <= call_s:
            return NoRetryReason.DEADLINE
        return Retry(delay_s, left_s)
