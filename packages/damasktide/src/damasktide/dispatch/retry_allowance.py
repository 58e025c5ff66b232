"""The part of one instance in the budget for sending a request to a further target."""

from collections import deque
from dataclasses import dataclass

# Part of the allowance that is used: a repeat arrives some time after it is counted here, and a
# process that starts has counted nothing.
RATIO_MARGIN = 0.95
SLACK_MARGIN = 0.8
# Part of the allowance that requests of a rank may use up, the most urgent first. While targets
# shed, the rest is left to more urgent requests, which callers cannot repeat as freely.
PART_BY_RANK = (1.0, 0.35, 0.25)
_BUCKET_S = 0.5


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Bound on arrivals beyond the first of each request, over all instances.

    Attributes
    ----------
    ratio
        Further arrivals per request.
    window_s
        Length of the sliding window in seconds.
    slack
        Further arrivals in a window that are allowed besides.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    slack: float = 0.0


@dataclass(slots=True)
class _Bucket:
    started_at: float
    requests: int = 0
    repeats: int = 0


class RetryAllowance:
    """Counts requests and repeats of one service in a sliding window.

    Each instance stays within the ratio of the requests that it received itself and an equal part
    of the slack, so the sum stays within the bound without any exchange.

    Parameters
    ----------
    limits
        The bound over all instances.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._buckets: deque[_Bucket] = deque()

    def count_request(self, now: float) -> None:
        """Count a request that was received."""
        self._bucket(now).requests += 1

    def allows(self, now: float, instances: int, rank: int = 0) -> bool:
        """Return whether one more repeat of a request of ``rank`` is within this part.

        Repeats are counted over a little more than the window and requests over a little less,
        because both are kept in buckets.
        """
        self._bucket(now)
        oldest = now - self._limits.window_s
        requests = sum(item.requests for item in self._buckets if item.started_at > oldest)
        repeats = sum(item.repeats for item in self._buckets)
        part = self._limits.slack * SLACK_MARGIN / max(1, instances)
        allowed = self._limits.ratio * RATIO_MARGIN * requests + part
        return repeats + 1 <= PART_BY_RANK[min(rank, len(PART_BY_RANK) - 1)] * allowed

    def count_repeat(self, now: float) -> None:
        """Count a repeat that is sent."""
        self._bucket(now).repeats += 1

    def _bucket(self, now: float) -> _Bucket:
        oldest = now - self._limits.window_s - _BUCKET_S
        while self._buckets and self._buckets[0].started_at <= oldest:
            self._buckets.popleft()
        if not self._buckets or now - self._buckets[-1].started_at >= _BUCKET_S:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]
