"""Share of one instance in the budget for sending requests to further targets."""

from collections import deque
from dataclasses import dataclass

# Fractions of the budget that are used. A retry arrives some time after it is counted here, and a
# process that has just started does not know the retries of its predecessor.
RATIO_SAFETY_FACTOR = 0.95
SLACK_SAFETY_FACTOR = 0.8
# Fraction of the budget that requests of a rank may use up, the most urgent rank first. While
# targets shed, the rest is reserved for more urgent requests, which callers cannot repeat as
# freely.
FRACTION_BY_RANK = (1.0, 0.35, 0.25)
_BUCKET_S = 0.5


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limit on the arrivals beyond the first of each request, over all instances.

    Attributes
    ----------
    ratio
        Number of further arrivals allowed per request.
    window_s
        Length of the sliding window in seconds.
    slack
        Number of further arrivals allowed per window in addition to the ratio.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    slack: float = 0.0


@dataclass(slots=True)
class _Bucket:
    started_at: float
    requests: int = 0
    retries: int = 0


class RetryAllowance:
    """Counts requests and retries of one service in a sliding window.

    Each instance stays within the ratio of the requests that it received itself plus an equal
    share of the slack, so the total stays within the limit without communication between
    instances. Hedged sends count as retries.

    Parameters
    ----------
    limits
        The limit over all instances.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._buckets: deque[_Bucket] = deque()

    def count_request(self, now: float) -> None:
        """Count a request received from a caller."""
        self._bucket(now).requests += 1

    def allows(self, now: float, instances: int, rank: int = 0) -> bool:
        """Return whether the budget allows one more retry of a request of ``rank``.

        Counts are kept in buckets, so retries are counted over slightly more than the window and
        requests over slightly less.
        """
        self._bucket(now)
        oldest = now - self._limits.window_s
        requests = sum(bucket.requests for bucket in self._buckets if bucket.started_at > oldest)
        retries = sum(bucket.retries for bucket in self._buckets)
        slack_share = self._limits.slack * SLACK_SAFETY_FACTOR / max(1, instances)
        allowed = self._limits.ratio * RATIO_SAFETY_FACTOR * requests + slack_share
        return retries + 1 <= FRACTION_BY_RANK[min(rank, len(FRACTION_BY_RANK) - 1)] * allowed

    def count_retry(self, now: float) -> None:
        """Count a retry that is sent."""
        self._bucket(now).retries += 1

    def _bucket(self, now: float) -> _Bucket:
        oldest = now - self._limits.window_s - _BUCKET_S
        while self._buckets and self._buckets[0].started_at <= oldest:
            self._buckets.popleft()
        if not self._buckets or now - self._buckets[-1].started_at >= _BUCKET_S:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]
