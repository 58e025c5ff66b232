"""What a balancer knows of one target."""

from math import exp

from damasktide.balancing.ramp import ColdStartRamp
from damasktide.balancing.targets import Target
from damasktide.limits.slot_share import WHOLE, SlotShare

LATENCY_TAU_S = 1.0
MIN_SAMPLE_WEIGHT = 0.1
REPORT_TAU_S = 1.0
# A late report must not outweigh what this instance sees itself, so it counts as one call.
FULL_REPORT_CALLS = 1.0
UNREACHABLE_AFTER = 2
UNREACHABLE_S = 0.5


class TargetState:
    """Counts and decayed figures of one target, owned by one balancer.

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
        Calls that this instance may have in flight before unkeyed work is turned away; 0 when
        the target is ejected or leaving.
    keyed_limit
        The same for keyed work, which ignores ejection.
    consecutive_failures, consecutive_slow
        Failures, and responses far above the median, since the last good response.
    refused_connections
        Connections in a row that the target did not accept.
    ejected_until
        End of the ejection in monotonic seconds, or None.
    ejections
        Ejections since the target was last healthy for long.
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
        self.share: SlotShare = WHOLE
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
        """Decayed latency at the last sample in seconds, or None without any."""
        return None if self._latency_at is None else self._latency_s

    def refresh_limit(self, now: float) -> bool:
        """Set the limits from share, ramp, ejection and leaving; return whether they changed."""
        before = self.limit, self.keyed_limit
        if self.target.leaving:
            self.keyed_limit = 0
        else:
            self.keyed_limit = self.share.of(self.ramp.limit(now, self.target.slots))
        is_usable = self.ejected_until is None and now >= self.unreachable_until
        self.limit = self.keyed_limit if is_usable else 0
        return before != (self.limit, self.keyed_limit)

    def add_refused_connection(self, now: float) -> None:
        """Take in a connection that was not accepted.

        Unlike a slow or failing target, one that accepts no connection carries no load at all,
        so the bound on ejections does not apply. One call per period tries it again.
        """
        self.refused_connections += 1
        if self.refused_connections >= UNREACHABLE_AFTER:
            self.unreachable_until = now + UNREACHABLE_S
            self.refresh_limit(now)

    def add_latency(self, now: float, latency_s: float) -> None:
        """Take in a measured latency, weighted by the time since the one before."""
        if self._latency_at is None:
            self._latency_s = latency_s
        else:
            decay = exp((self._latency_at - now) / LATENCY_TAU_S)
            weight = max(MIN_SAMPLE_WEIGHT, 1.0 - decay)
            self._latency_s += weight * (latency_s - self._latency_s)
        self._latency_at = now

    def latency_s(self, now: float, median_s: float) -> float:
        """Return the decayed latency in seconds.

        Without new samples it moves back to the median, so that a target that was slow
        for a moment is tried again.
        """
        if self._latency_at is None:
            return median_s
        decay = exp((self._latency_at - now) / LATENCY_TAU_S)
        return median_s + (self._latency_s - median_s) * decay

    def add_report(self, now: float, in_flight: int, age_s: float) -> None:
        """Take in the target's own count of running requests.

        Only a report that all slots are taken counts. Lower counts change within a call, so
        that a report of them is noise by the time it arrives.
        """
        self._reported_full = in_flight >= self.target.slots
        self._reported_at = now - age_s

    def load(self, now: float) -> float:
        """Return own calls, plus a penalty for a full report, discounted by its age."""
        if not self._reported_full:
            return self.in_flight
        age_s = now - self._reported_at
        return self.in_flight + FULL_REPORT_CALLS * exp(-age_s / REPORT_TAU_S)
