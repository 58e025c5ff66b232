"""What an instance estimates of one target's load and speed."""

from dataclasses import dataclass
from math import exp

from damasktide.targets.target import TargetEntry

# A report of the load is about other instances' calls, which change within a call's length.
REPORT_TAU_S = 1.0
# The slowdown by neighbours changes several times a second.
SLOWDOWN_TAU_S = 0.4
SPEED_WEIGHT = 0.1
MIN_SPEED = 0.3
MAX_SPEED = 5.0
FAILURE_WEIGHT = 0.25
FAILURE_TAU_S = 3.0
# A target that accepts no connection is left out for this time, doubled by each further failure.
UNREACHABLE_FIRST_S = 0.5
UNREACHABLE_LONGEST_S = 4.0
# A life whose address leads to another server has ended; its entry may be listed for some seconds.
REPLACED_S = 10.0
# After a failed connection the target may have started anew and be cold before it is listed.
SUSPECTED_COLD_S = 2.0
# Part by which a target with all slots taken is slower than an idle one.
FULL_SLOWDOWN = 0.25
# A target with calls that has answered none for this many times the expected time of one may have
# gone silent; each further second of silence counts as a second of waiting.
SILENCE_FACTOR = 2.5


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a target says of its load.

    Attributes
    ----------
    running, waiting
        Requests that run, and that wait for a slot.
    slots
        Requests that can run at once.
    slowdown
        How long work takes at this moment; 1 is as usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class LoadEstimate:
    """Load, speed and health of one life of a target; owned by a dispatcher.

    Parameters
    ----------
    entry
        The target as it is listed.
    """

    __slots__ = (
        "_failure_at",
        "_failure_ratio",
        "_other_calls",
        "_reported_at",
        "_slowdown",
        "_waiting_since",
        "cold_until",
        "entry",
        "in_flight",
        "speed",
        "suspected_cold_until",
        "unreachable_count",
        "unreachable_until",
    )

    def __init__(self, entry: TargetEntry) -> None:
        self.entry = entry
        self.in_flight = 0
        self.speed = 1.0
        self.cold_until = float("-inf")
        self.suspected_cold_until = float("-inf")
        self.unreachable_until = float("-inf")
        self.unreachable_count = 0
        self._other_calls = 0.0
        self._slowdown = 1.0
        self._reported_at = float("-inf")
        self._waiting_since = 0.0
        self._failure_ratio = 0.0
        self._failure_at = 0.0

    def call_starts(self, now: float) -> None:
        """Count a call that is sent."""
        if self.in_flight == 0:
            self._waiting_since = now
        self.in_flight += 1

    def call_ends(self, now: float, is_answered: bool) -> None:
        """Count a call that has ended."""
        self.in_flight = max(0, self.in_flight - 1)
        if is_answered:
            self._waiting_since = now

    def take_report(self, now: float, report: LoadReport) -> None:
        """Take in a report that arrived with a response, whose call still counts as own."""
        # The report was made when the answered call had left its slot.
        self._take(report, max(0, self.in_flight - 1), now)

    def take_peer_reports(self, now: float, report: LoadReport, age_s: float) -> None:
        """Take in a report that another instance was given ``age_s`` seconds ago."""
        if now - age_s > self._reported_at:
            self._take(report, self.in_flight, now - age_s)

    def take_shed(self, now: float, queue_calls: int) -> None:
        """Take in that the target turned a request away because it is full."""
        self._other_calls = max(self._other_calls, self.entry.slots + queue_calls - self.in_flight)
        self._reported_at = now

    def take_speed(self, ratio: float) -> None:
        """Take in how long a call took, relative to what was expected of a usual target."""
        bounded = min(MAX_SPEED, max(MIN_SPEED, ratio))
        self.speed += SPEED_WEIGHT * (bounded - self.speed)

    def take_outcome(self, now: float, has_failed: bool) -> None:
        """Take in whether a call failed."""
        ratio = self.failure_ratio(now)
        self._failure_ratio = ratio + FAILURE_WEIGHT * (float(has_failed) - ratio)
        self._failure_at = now

    def take_connected(self) -> None:
        """Take in that the target answered on a connection."""
        self.unreachable_count = 0

    def take_unreachable(self, now: float) -> None:
        """Take in that the target accepted no connection."""
        pause_s = UNREACHABLE_FIRST_S * 2.0 ** min(self.unreachable_count, 8)
        self.unreachable_count += 1
        self.unreachable_until = now + min(UNREACHABLE_LONGEST_S, pause_s)
        self.suspected_cold_until = self.unreachable_until + SUSPECTED_COLD_S

    def take_replaced(self, now: float) -> None:
        """Take in that another server answers at the target's address."""
        self.unreachable_until = max(self.unreachable_until, now + REPLACED_S)

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold, or may be."""
        return now < self.cold_until or now < self.suspected_cold_until

    def failure_ratio(self, now: float) -> float:
        """Return the part of recent calls that failed; it decays without new ones."""
        return self._failure_ratio * exp((self._failure_at - now) / FAILURE_TAU_S)

    def calls(self, now: float) -> float:
        """Return the estimated calls at the target, those of other instances included."""
        return self.in_flight + self._other_calls * exp((self._reported_at - now) / REPORT_TAU_S)

    def slowdown(self, now: float) -> float:
        """Return the estimated slowdown by neighbours."""
        age_s = now - self._reported_at
        return 1.0 + (self._slowdown - 1.0) * exp(-age_s / SLOWDOWN_TAU_S)

    def finish_s(self, now: float, typical_s: float) -> float:
        """Return the expected time to the end of one more call.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        typical_s
            Time that such a call usually takes at a target of usual speed.
        """
        return self._call_s(now, typical_s) * self.load_factor(now)

    def load_factor(self, now: float) -> float:
        """Return how much longer one more call takes than at an idle target."""
        slots = max(1, self.entry.slots)
        calls = self.calls(now)
        fullness = min(1.0, calls / slots)
        busy = 1.0 + FULL_SLOWDOWN * fullness * fullness
        return busy * (1.0 + max(0.0, calls + 1.0 - slots) / slots)

    def has_free_slot(self, now: float) -> bool:
        """Return whether one more call would probably not wait."""
        return self.calls(now) + 1.0 <= self.entry.slots

    def silence_s(self, now: float, typical_s: float) -> float:
        """Return for how much longer than expected the target has answered no call."""
        if self.in_flight == 0:
            return 0.0
        expected_s = SILENCE_FACTOR * self._call_s(now, typical_s)
        return max(0.0, now - self._waiting_since - expected_s)

    def _take(self, report: LoadReport, own_calls: int, made_at: float) -> None:
        self._other_calls = max(0.0, report.running + report.waiting - own_calls)
        self._slowdown = max(0.1, report.slowdown)
        self._reported_at = made_at

    def _call_s(self, now: float, typical_s: float) -> float:
        return typical_s * self.speed * self.slowdown(now)
