"""Learned speed and concurrency limit of the targets; a state machine without I/O."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from math import exp, log

from damasktide.capacity.messages import CallSummary
from damasktide.capacity.summary_table import SHARED_TAU_S, SummaryTable
from damasktide.loads.messages import incarnation_hash
from damasktide.targets.target import TargetEntry

# An instance that learns from its own calls only has one call to a target in some seconds, so its
# mean covers more time.
OWN_TAU_S = 30.0
OWN_MAX_WEIGHT = 20.0
# Weight of the assumption that a target has the typical speed.
PRIOR_WEIGHT = 1.0
MIN_DURATION_RATIO = 0.2
MAX_DURATION_RATIO = 6.0
# A target counts in the means of its service from this number of calls on.
MIN_MEAN_WEIGHT = 1.0
KNEE_OCCUPANCY = 0.5
# Slowdown at more than half of the slots, as a logarithm, from which the limit is reduced, and
# from which it is half of the slots. A call meets several occupancies, so that a target that takes
# twice as long when it is full shows a third of that.
MIN_KNEE_SLOWDOWN = 0.08
FULL_KNEE_SLOWDOWN = 0.25
# The slowdown is a property of the kind of target, so it may be averaged over more time than the
# speed, and over the targets of a service. Weights of these assumptions in calls: that a target is
# like the others of its service, and that a service has no such slowdown.
KNEE_TAU_S = 30.0
KNEE_TARGET_PRIOR = 30.0
KNEE_SERVICE_PRIOR = 20.0


@dataclass(frozen=True, slots=True)
class TargetCapacity:
    """What is known of an incarnation of a target.

    Attributes
    ----------
    duration_ratio
        Mean duration of calls relative to the route's typical call; above 1 for a slow target.
    limit_fraction
        Fraction of the slots that the target handles well at the same time.
    weight
        Number of calls that this is based on.
    """

    duration_ratio: float = 1.0
    limit_fraction: float = 1.0
    weight: float = 0.0


@dataclass(frozen=True, slots=True)
class _Means:
    """Mean logarithmic duration ratios of the targets of a service, by occupancy."""

    low: float = 0.0
    high: float = 0.0


@dataclass(frozen=True, slots=True)
class _Knee:
    """Slowdown of a target, or of all targets of a service, at more than half of the slots."""

    weight: float = 0.0
    total: float = 0.0

    def plus(self, other: "_Knee") -> "_Knee":
        return _Knee(self.weight + other.weight, self.total + other.total)

    def scaled(self, factor: float) -> "_Knee":
        return _Knee(factor * self.weight, factor * self.total)


class TargetLearner:
    """Derives the capacities of targets from the call summaries of all known instances.

    Parameters
    ----------
    table
        The call summaries.
    """

    def __init__(self, table: SummaryTable) -> None:
        self._table = table
        self._knee_by_incarnation: dict[tuple[str, int], _Knee] = {}
        self._updated_at: float | None = None

    def record_call(
        self, now: float, entry: TargetEntry, ratio: float, weight: float, occupancy: float
    ) -> None:
        """Record a call.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        entry
            The target.
        ratio
            Duration relative to the typical call, without the effects of load.
        weight
            Confidence in the ratio, up to 1.
        occupancy
            Fraction of the slots that were in use, including this call.
        """
        self._table.record_call(
            now,
            incarnation_hash(entry.incarnation),
            log(max(1e-3, ratio)),
            weight,
            occupancy > KNEE_OCCUPANCY,
        )

    def capacities(
        self, now: float, entries: Iterable[TargetEntry]
    ) -> Mapping[tuple[str, int], TargetCapacity]:
        """Return the capacity of each target, relative to the mean of the target's service."""
        summaries = [
            (entry, self._table.summary(now, incarnation_hash(entry.incarnation)))
            for entry in entries
        ]
        self._update_knees(now, summaries)
        means_by_service = dict(_means(summaries))
        knee_by_service: dict[str, _Knee] = {}
        for entry, _ in summaries:
            knee = self._knee_by_incarnation[entry.incarnation]
            known = knee_by_service.get(entry.service, _Knee())
            knee_by_service[entry.service] = known.plus(knee)
        return {
            entry.incarnation: TargetCapacity(
                _duration_ratio(summary, means_by_service[entry.service]),
                _limit_fraction(
                    self._knee_by_incarnation[entry.incarnation], knee_by_service[entry.service]
                ),
                summary.weight,
            )
            for entry, summary in summaries
        }

    def _update_knees(
        self, now: float, summaries: Iterable[tuple[TargetEntry, CallSummary]]
    ) -> None:
        elapsed_s = now - self._updated_at if self._updated_at is not None else 0.0
        self._updated_at = now
        decay = exp(-elapsed_s / KNEE_TAU_S)
        # A summary contains the calls of its time constant, so each call is counted about once.
        new_fraction = min(1.0, elapsed_s / self._table.tau_s)
        self._knee_by_incarnation = {
            entry.incarnation: _knee(summary, new_fraction).plus(
                self._knee_by_incarnation.get(entry.incarnation, _Knee()).scaled(decay)
            )
            for entry, summary in summaries
        }


def _duration_ratio(summary: CallSummary, means: _Means) -> float:
    """Return the mean duration of a target's calls relative to those of its service.

    The typical call times and the ratios are learned from the same calls, so only ratios between
    targets have a meaning. Calls at low and at high occupancy are compared with their like.
    """
    excess = summary.low_sum - summary.low_weight * means.low
    excess += summary.high_sum - summary.high_weight * means.high
    ratio = exp(excess / (summary.weight + PRIOR_WEIGHT))
    return min(MAX_DURATION_RATIO, max(MIN_DURATION_RATIO, ratio))


def _limit_fraction(knee: _Knee, service_knee: _Knee) -> float:
    """Return the fraction of the slots that a target handles well."""
    service_slowdown = service_knee.total / (service_knee.weight + KNEE_SERVICE_PRIOR)
    slowdown = (knee.total + KNEE_TARGET_PRIOR * service_slowdown) / (
        knee.weight + KNEE_TARGET_PRIOR
    )
    severity = (slowdown - MIN_KNEE_SLOWDOWN) / (FULL_KNEE_SLOWDOWN - MIN_KNEE_SLOWDOWN)
    return 1.0 - (1.0 - KNEE_OCCUPANCY) * min(1.0, max(0.0, severity))


def _knee(summary: CallSummary, fraction: float) -> _Knee:
    """Return the slowdown above half of the slots that a fraction of some calls shows."""
    if summary.low_weight <= 0.0 or summary.high_weight <= 0.0:
        return _Knee()
    slowdown = summary.high_sum / summary.high_weight - summary.low_sum / summary.low_weight
    weight = 2.0 * fraction / (1.0 / summary.low_weight + 1.0 / summary.high_weight)
    return _Knee(weight, weight * slowdown)


def _means(
    summaries: Iterable[tuple[TargetEntry, CallSummary]],
) -> Iterator[tuple[str, _Means]]:
    lows_by_service: dict[str, list[float]] = defaultdict(list)
    highs_by_service: dict[str, list[float]] = defaultdict(list)
    for entry, summary in summaries:
        lows, highs = lows_by_service[entry.service], highs_by_service[entry.service]
        if summary.low_weight >= MIN_MEAN_WEIGHT:
            lows.append(summary.low_sum / summary.low_weight)
        if summary.high_weight >= MIN_MEAN_WEIGHT:
            highs.append(summary.high_sum / summary.high_weight)
    for service, lows in lows_by_service.items():
        highs = highs_by_service[service]
        yield service, _Means(_mean(lows), _mean(highs))


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def make_learner(mode: str, epoch: int) -> tuple[TargetLearner | None, SummaryTable]:
    """Return the learner for a value of the setting ``target_learning``, and its table."""
    if mode == "own":
        table = SummaryTable(epoch, OWN_TAU_S, OWN_MAX_WEIGHT)
    else:
        table = SummaryTable(epoch, SHARED_TAU_S)
    return (None if mode == "off" else TargetLearner(table)), table
