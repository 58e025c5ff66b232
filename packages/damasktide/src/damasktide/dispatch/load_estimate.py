"""Estimate of the load and speed of one target."""

from dataclasses import dataclass
from math import exp

from damasktide.targets.target import TargetEntry

# Decay time constant of a load report. It describes the calls of other instances, which change
# within the duration of a call.
REPORT_TAU_S = 1.0
# Decay time constant of a reported slowdown. Co-located workloads change it several times per
# second.
SLOWDOWN_TAU_S = 0.4
# Weight of a new call in the moving average of a target's duration ratio.
DURATION_RATIO_WEIGHT = 0.1
# Bounds of a call's duration relative to the typical duration of its route.
MIN_DURATION_RATIO = 0.3
MAX_DURATION_RATIO = 5.0
# Weight of a new call in the moving average of a target's failures, and its decay time constant.
FAILURE_WEIGHT = 0.25
FAILURE_TAU_S = 3.0
# A target that accepts no connection is excluded for this time, doubled by each further failure.
MIN_UNREACHABLE_BACKOFF_S = 0.5
MAX_UNREACHABLE_BACKOFF_S = 4.0
# If another server responds at the target's address, this incarnation has ended, but its entry may
# stay listed for some seconds.
REPLACED_EXCLUSION_S = 10.0
# After a failed connection the target may have restarted and be cold before its new entry arrives.
SUSPECTED_COLD_S = 2.0
# Fraction by which a target with all slots taken is slower than an idle one.
FULL_OCCUPANCY_SLOWDOWN = 0.25
# A target that has responded to none of its calls for this many times the expected duration of one
# may be unresponsive. Each further second without a response is added to its expected finish time.
OVERDUE_FACTOR = 2.5
# A target that has responded to none of its calls for this many times the expected duration counts
# as full. Few calls take as long: the longest 1 to 3% take 5 to 7 times as long as the others.
UNRESPONSIVE_FACTOR = 5.0
# The same for the owner of a key, whose requests no other target can serve meanwhile.
UNRESPONSIVE_OWNER_FACTOR = 8.0
# So does a target of which this many calls in succession ended without a response after more than
# OVERDUE_FACTOR times the expected duration. Calls whose hedge has responded end early.
UNRESPONSIVE_CALLS = 2
# Time until one more call is made to a target that counts as full for lack of a response, doubled
# by each further call without one.
MIN_UNRESPONSIVE_BACKOFF_S = 1.0
MAX_UNRESPONSIVE_BACKOFF_S = 8.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a target reports.

    Attributes
    ----------
    running, waiting
        Number of requests that are running, and that are waiting for a slot.
    slots
        Number of requests that can run concurrently.
    slowdown
        Present duration of work relative to the normal duration; 1 is normal.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class LoadEstimate:
    """Load, speed and health of one incarnation of a target; owned by a dispatcher.

    Parameters
    ----------
    entry
        The target's entry in the target list.
    """

    __slots__ = (
        "_failure_at",
        "_failure_ratio",
        "_no_response_since",
        "_other_calls",
        "_pending_call_s",
        "_reported_at",
        "_silent_calls",
        "_slowdown",
        "_unresponsive_count",
        "_unresponsive_since",
        "_unresponsive_until",
        "cold_until",
        "duration_ratio",
        "duration_ratio_count",
        "entry",
        "in_flight",
        "is_unconfirmed",
        "limit_fraction",
        "probed_for_return_at",
        "suspected_cold_until",
        "unreachable_count",
        "unreachable_until",
    )

    def __init__(self, entry: TargetEntry) -> None:
        self.entry = entry
        self.in_flight = 0
        self.duration_ratio = 1.0
        self.duration_ratio_count = 0
        self.limit_fraction = 1.0
        self.cold_until = float("-inf")
        self.suspected_cold_until = float("-inf")
        self.is_unconfirmed = False
        self.probed_for_return_at = float("-inf")
        self.unreachable_until = float("-inf")
        self.unreachable_count = 0
        self._other_calls = 0.0
        self._slowdown = 1.0
        self._reported_at = float("-inf")
        self._no_response_since = 0.0
        self._failure_ratio = 0.0
        self._failure_at = 0.0
        self._pending_call_s = 0.0
        self._silent_calls = 0
        self._unresponsive_count = 0
        self._unresponsive_since = 0.0
        self._unresponsive_until = float("-inf")

    @property
    def capacity(self) -> float:
        """Number of concurrent calls that the target handles well."""
        return max(1, self.entry.slots) * self.limit_fraction

    def record_call_start(self, now: float, typical_call_s: float) -> None:
        """Record the start of a call."""
        if self.in_flight == 0:
            self._no_response_since = now
            self._pending_call_s = 0.0
        self._pending_call_s = max(self._pending_call_s, typical_call_s)
        self.in_flight += 1

    def record_call_end(self, now: float, has_response: bool) -> None:
        """Record the end of a call."""
        self.in_flight = max(0, self.in_flight - 1)
        if has_response:
            self._no_response_since = now
            self._silent_calls = 0
            self._unresponsive_count = 0
            self._unresponsive_until = float("-inf")

    def record_no_response(self, now: float, duration_s: float, typical_call_s: float) -> None:
        """Record that a call ended without a response after ``duration_s`` seconds."""
        expected_s = self.call_s(now, typical_call_s) * self.load_factor(now)
        if duration_s < OVERDUE_FACTOR * expected_s:
            return
        self._silent_calls += 1
        is_certain = duration_s >= UNRESPONSIVE_FACTOR * expected_s
        if is_certain or self._silent_calls >= UNRESPONSIVE_CALLS:
            backoff_s = MIN_UNRESPONSIVE_BACKOFF_S * 2.0 ** min(self._unresponsive_count, 8)
            self._unresponsive_count += 1
            self._unresponsive_since = now
            self._unresponsive_until = now + min(MAX_UNRESPONSIVE_BACKOFF_S, backoff_s)

    def is_unresponsive(self, now: float, typical_call_s: float, factor: float) -> bool:
        """Return whether the target counts as full because it does not respond.

        ``factor`` is the multiple of the expected duration of a call that is waited for it.
        """
        if now < self._unresponsive_until:
            return True
        if self.in_flight == 0:
            return False
        expected_s = self.call_s(now, typical_call_s) * self.load_factor(now)
        return now - self._no_response_since > factor * expected_s

    def overdue_ratio(self, now: float) -> float:
        """Return the least duration ratio that the lack of a response shows, or 0."""
        if self.in_flight == 0 or self._pending_call_s <= 0.0:
            return 0.0
        expected_s = self._pending_call_s * self.slowdown(now) * self.load_factor(now)
        ratio = (now - self._no_response_since) / expected_s
        return ratio if ratio > max(OVERDUE_FACTOR, self.duration_ratio) else 0.0

    def record_report(self, now: float, report: LoadReport) -> None:
        """Record a report that arrived with a response; its call still counts as in flight."""
        # The target makes the report after the call has left its slot.
        self._apply_report(report, max(0, self.in_flight - 1), now)

    def record_peer_report(self, now: float, report: LoadReport, age_s: float) -> None:
        """Record a report that another instance received ``age_s`` seconds ago."""
        reported_at = now - age_s
        if reported_at > self._reported_at:
            self._apply_report(report, self.in_flight, reported_at)
        if reported_at > self._unresponsive_since and report.running < report.slots:
            self._unresponsive_until = float("-inf")

    def record_shed(self, now: float, queue_calls: int) -> None:
        """Record that the target refused a request because it is overloaded."""
        self._other_calls = max(self._other_calls, self.entry.slots + queue_calls - self.in_flight)
        self._reported_at = now

    def record_duration_ratio(self, ratio: float) -> None:
        """Record the duration of a call relative to the typical duration."""
        bounded = min(MAX_DURATION_RATIO, max(MIN_DURATION_RATIO, ratio))
        self.duration_ratio += DURATION_RATIO_WEIGHT * (bounded - self.duration_ratio)
        self.duration_ratio_count += 1

    def record_result(self, now: float, has_failed: bool) -> None:
        """Record whether a call failed."""
        ratio = self.failure_ratio(now)
        self._failure_ratio = ratio + FAILURE_WEIGHT * (float(has_failed) - ratio)
        self._failure_at = now

    def record_connected(self) -> None:
        """Record that the target responded on a connection."""
        self.unreachable_count = 0

    def record_unreachable(self, now: float) -> None:
        """Record that the target accepted no connection."""
        backoff_s = MIN_UNREACHABLE_BACKOFF_S * 2.0 ** min(self.unreachable_count, 8)
        self.unreachable_count += 1
        self.unreachable_until = now + min(MAX_UNREACHABLE_BACKOFF_S, backoff_s)
        self.suspected_cold_until = self.unreachable_until + SUSPECTED_COLD_S

    def record_replaced(self, now: float) -> None:
        """Record that another server responds at the target's address."""
        self.unreachable_until = max(self.unreachable_until, now + REPLACED_EXCLUSION_S)

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold or may be."""
        return self.is_unconfirmed or now < max(self.cold_until, self.suspected_cold_until)

    def failure_ratio(self, now: float) -> float:
        """Return the fraction of recent calls that failed; it decays without new calls."""
        return self._failure_ratio * exp((self._failure_at - now) / FAILURE_TAU_S)

    def calls(self, now: float) -> float:
        """Return the estimated number of calls at the target from all instances."""
        return self.in_flight + self._other_calls * exp((self._reported_at - now) / REPORT_TAU_S)

    def calls_around(self, now: float, mean_calls: float) -> float:
        """Return the estimated number of calls, which without a report is the mean of targets."""
        known_fraction = exp((self._reported_at - now) / REPORT_TAU_S)
        return self.calls(now) + (1.0 - known_fraction) * mean_calls

    @property
    def last_reported_calls(self) -> float:
        """Number of other calls in the last report, regardless of its age."""
        return self._other_calls

    def slowdown(self, now: float) -> float:
        """Return the estimated slowdown caused by co-located workloads."""
        age_s = now - self._reported_at
        return 1.0 + (self._slowdown - 1.0) * exp(-age_s / SLOWDOWN_TAU_S)

    def call_s(self, now: float, typical_call_s: float) -> float:
        """Return the expected duration of a call without other calls, in seconds.

        ``typical_call_s`` is that at a target of normal speed.
        """
        return typical_call_s * self.duration_ratio * self.slowdown(now)

    def finish_s(self, now: float, typical_call_s: float) -> float:
        """Return the expected time to the end of one more call, in seconds.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        typical_call_s
            Typical duration of such a call at a target of normal speed, in seconds.
        """
        return self.call_s(now, typical_call_s) * self.load_factor(now)

    def load_factor(self, now: float) -> float:
        """Return the duration of one more call relative to one at an idle target."""
        return _load_factor(self.calls(now), self.capacity)

    def load_factor_of(self, report: LoadReport) -> float:
        """Return the load factor of a call with whose response the target made a report.

        The learned limit is not applied, because it is derived from durations without this factor.
        """
        return _load_factor(report.running + report.waiting, max(1, self.entry.slots))

    def has_free_slot(self, now: float) -> bool:
        """Return whether one more call would probably start without waiting."""
        return self.calls(now) + 1.0 <= self.entry.slots * self.limit_fraction

    def overdue_s(self, now: float, typical_call_s: float) -> float:
        """Return how long the next response of the target is overdue, in seconds."""
        if self.in_flight == 0:
            return 0.0
        expected_s = OVERDUE_FACTOR * self.call_s(now, typical_call_s)
        return max(0.0, now - self._no_response_since - expected_s)

    def _apply_report(self, report: LoadReport, own_calls: int, reported_at: float) -> None:
        self._other_calls = max(0.0, report.running + report.waiting - own_calls)
        self._slowdown = max(0.1, report.slowdown)
        self._reported_at = reported_at


def _load_factor(calls: float, slots: float) -> float:
    occupancy = min(1.0, calls / slots)
    busy_slowdown = 1.0 + FULL_OCCUPANCY_SLOWDOWN * occupancy * occupancy
    return busy_slowdown * (1.0 + max(0.0, calls + 1.0 - slots) / slots)
