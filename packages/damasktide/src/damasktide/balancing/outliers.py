"""Ejection of targets that fail or are far slower than their peers."""

from collections.abc import Iterable, Sequence
from statistics import median

from damasktide.balancing.messages import CallOutcome
from damasktide.balancing.state import TargetStats

# Consecutive failures, or consecutive slow calls, at which a target is ejected.
EJECT_AFTER_FAILURES = 5
EJECT_AFTER_SLOW_CALLS = 3
# Multiple of the median latency above which a call counts as slow.
EJECT_LATENCY_FACTOR = 5.0
# Multiple of the median latency above which a target, or a cancelled call, counts as slow.
SLOW_LATENCY_FACTOR = 2.0
MAX_EJECTED_FRACTION = 0.25
BASE_EJECTION_S = 1.0
# Longest ejection; after this time without an ejection, the next one is short again.
MAX_EJECTION_S = 30.0


def median_latency_s(states: Iterable[TargetStats]) -> float:
    """Return the median of the measured decayed latencies in seconds, 0 if there are none."""
    measured = (state.measured_latency_s for state in states)
    latencies = [latency_s for latency_s in measured if latency_s is not None]
    return median(latencies) if latencies else 0.0


def is_slow(state: TargetStats, now: float, median_s: float) -> bool:
    """Return whether the decayed latency of the target is more than twice the median."""
    return median_s > 0.0 and state.latency_s(now, median_s) > SLOW_LATENCY_FACTOR * median_s


def is_slow_call(latency_s: float, median_s: float, outcome: CallOutcome) -> bool:
    """Return whether one call was so much slower than the median that it counts towards ejection.

    A cancelled call would have taken longer than its measured latency, so a lower factor
    applies to it. Otherwise, winning hedges would hide a straggler, because they cancel its
    slow calls, and the freed slots would attract more work.
    """
    is_cancelled = outcome is CallOutcome.CANCELLED
    factor = SLOW_LATENCY_FACTOR if is_cancelled else EJECT_LATENCY_FACTOR
    return median_s > 0.0 and latency_s > factor * median_s


class OutlierDetector:
    """Ejects outliers for a time that doubles with each ejection.

    By default, no more than a quarter of the targets is ejected at a time: if most targets look
    bad, the cause is rarely the targets themselves, and the rest could not handle the load.

    Parameters
    ----------
    max_fraction
        Largest fraction of the targets that may be ejected at a time.
    """

    def __init__(self, max_fraction: float = MAX_EJECTED_FRACTION) -> None:
        self._max_fraction = max_fraction

    def update_ejections(self, states: Sequence[TargetStats], now: float, median_s: float) -> None:
        """Re-admit targets whose ejection has ended, then eject outliers, worst first."""
        self._readmit(states, now)
        available_ejections = int(len(states) * self._max_fraction)
        available_ejections -= sum(state.ejected_until is not None for state in states)
        if available_ejections <= 0:
            return
        outliers = [state for state in states if self._is_outlier(state)]
        outliers.sort(key=lambda state: _severity(state, now, median_s), reverse=True)
        for state in outliers[:available_ejections]:
            self._eject(state, now)

    @staticmethod
    def _readmit(states: Iterable[TargetStats], now: float) -> None:
        for state in states:
            if state.ejected_until is None and now - state.readmitted_at > MAX_EJECTION_S:
                state.ejections = 0
            if state.ejected_until is not None and now >= state.ejected_until:
                state.ejected_until = None
                state.readmitted_at = now
                state.consecutive_slow = 0
                # One more failure ejects again, so a dead target costs one call per ejection.
                state.consecutive_failures = min(
                    state.consecutive_failures, EJECT_AFTER_FAILURES - 1
                )

    @staticmethod
    def _is_outlier(state: TargetStats) -> bool:
        if state.ejected_until is not None:
            return False
        return (
            state.consecutive_failures >= EJECT_AFTER_FAILURES
            or state.consecutive_slow >= EJECT_AFTER_SLOW_CALLS
        )

    @staticmethod
    def _eject(state: TargetStats, now: float) -> None:
        state.ejected_until = now + min(MAX_EJECTION_S, BASE_EJECTION_S * 2.0**state.ejections)
        # From the sixth ejection on, MAX_EJECTION_S applies, so the count need not grow further.
        state.ejections = min(state.ejections + 1, 10)


def _severity(state: TargetStats, now: float, median_s: float) -> tuple[int, float]:
    return state.consecutive_failures, state.latency_s(now, median_s)
