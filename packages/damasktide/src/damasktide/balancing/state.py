"""State that a balancer keeps for one target."""

from math import exp

from damasktide.balancing.ramp import ColdStartRamp
from damasktide.balancing.targets import Target
from damasktide.limits.slot_share import FULL_SHARE, SlotShare

LATENCY_TAU_S = 1.0
MIN_SAMPLE_WEIGHT = 0.1
REPORT_TAU_S = 1.0
# A delayed report must not outweigh this instance's own measurements, so it counts as one call.
FULL_REPORT_CALLS = 1.0
UNREACHABLE_AFTER_REFUSED_CONNECTIONS = 2
UNREACHABLE_S = 0.5


class TargetStats:
    """Counters and decayed measurements of one target, owned by one balancer.

    Attributes
    ----------
    target
        The target.
    level
        0 in the same failure domain, 1 in the same region, 2 in another region.
    share
        This instance's share of the target's slots.
    ramp
        Cold-start ramp of the target.
    in_flight
        Calls of this instance that have not ended.
    limit
        Calls of this instance in flight at which it sends no more unkeyed work; 0 if the target
        is ejected, unreachable or leaving.
    keyed_limit
        The same for keyed work, which ignores ejection and unreachability.
    consecutive_failures, consecutive_slow
        Failures since the last successful call, and calls far slower than the median since the
        last successful call that was not.
    refused_connections
        Consecutive connections that the target did not accept.
    unreachable_until
        Monotonic time in seconds until which unkeyed work avoids the target because it accepts
        no connections.
    ejected_until
        End of the ejection in monotonic seconds, or None.
    ejections
        Ejections since the target last went ``outliers.MAX_EJECTION_S`` without one, at most 10.
    readmitted_at
        End of the last ejection in monotonic seconds.
    """

    __slots__ = (
        "_latency_at",
        "_latency_s",
        "_reported_at",
        "_reported_full",
        "consecutive_failures",
        "consecutive_slow",
        "ejected_until",
        "ejections",
        "in_flight",
        "keyed_limit",
        "level",
        "limit",
        "ramp",
        "readmitted_at",
        "refused_connections",
        "share",
        "target",
        "unreachable_until",
    )

    def __init__(self, target: Target, level: int) -> None:
        self.target = target
        self.level = level
        self.share: SlotShare = FULL_SHARE
        self.ramp = ColdStartRamp()
        self.in_flight = 0
        self.limit = target.slots
        self.keyed_limit = target.slots
        self.consecutive_failures = 0
        self.consecutive_slow = 0
        self.refused_connections = 0
        self.unreachable_until = float("-inf")
        self.ejected_until: float | None = None
        self.ejections = 0
        self.readmitted_at = 0.0
        self._latency_s = 0.0
        self._latency_at: float | None = None
        self._reported_full = False
        self._reported_at = 0.0

    @property
    def measured_latency_s(self) -> float | None:
        """Decayed latency in seconds at the last sample, or None before the first sample."""
        return None if self._latency_at is None else self._latency_s

    def refresh_limit(self, now: float) -> bool:
        """Recompute the limits and return whether they changed."""
        before = self.limit, self.keyed_limit
        if self.target.leaving:
            self.keyed_limit = 0
        else:
            self.keyed_limit = self.share.of(self.ramp.limit(now, self.target.slots))
        is_usable = self.ejected_until is None and now >= self.unreachable_until
        self.limit = self.keyed_limit if is_usable else 0
        return before != (self.limit, self.keyed_limit)

    def add_refused_connection(self, now: float) -> None:
        """Record a connection that the target did not accept.

        Unlike a slow or failing target, one that accepts no connections carries no load at all,
        so the bound on ejections does not apply. Trying it again costs about one call per
        ``UNREACHABLE_S``.
        """
        self.refused_connections += 1
        if self.refused_connections >= UNREACHABLE_AFTER_REFUSED_CONNECTIONS:
            self.unreachable_until = now + UNREACHABLE_S
            self.refresh_limit(now)

    def add_latency(self, now: float, latency_s: float) -> None:
        """Record a measured latency, weighted by the time since the previous sample."""
        if self._latency_at is None:
            self._latency_s = latency_s
        else:
            decay = exp((self._latency_at - now) / LATENCY_TAU_S)
            weight = max(MIN_SAMPLE_WEIGHT, 1.0 - decay)
            self._latency_s += weight * (latency_s - self._latency_s)
        self._latency_at = now

    def latency_s(self, now: float, median_s: float) -> float:
        """Return the decayed latency in seconds.

        Without new samples it returns to the median, so that a target that was briefly slow is
        tried again.
        """
        if self._latency_at is None:
            return median_s
        decay = exp((self._latency_at - now) / LATENCY_TAU_S)
        return median_s + (self._latency_s - median_s) * decay

    def add_report(self, now: float, in_flight: int, age_s: float) -> None:
        """Record the target's own count of running requests.

        Only a report that all slots are taken matters. Lower counts change within the duration
        of a call, so they are noise by the time the report arrives.
        """
        self._reported_full = in_flight >= self.target.slots
        self._reported_at = now - age_s

    def load(self, now: float) -> float:
        """Return this instance's calls, plus a decaying penalty after a report of no free slot."""
        if not self._reported_full:
            return self.in_flight
        age_s = now - self._reported_at
        return self.in_flight + FULL_REPORT_CALLS * exp(-age_s / REPORT_TAU_S)
