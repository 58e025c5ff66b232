"""Learned speed and concurrency limit of the targets; a state machine without I/O."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from math import exp, log, sqrt

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
# A target counts in the mean of its service from this number of calls on.
MIN_MEAN_WEIGHT = 1.0
# Spread of the logarithm of the durations of calls at one target.
LOG_SPREAD = 0.5
# Slowdown above half of the slots from which the limit is reduced, and from which it is half of
# the slots: at three quarters of the slots, throughput is then no higher than at half of them.
MIN_KNEE_SLOWDOWN = 1.2
FULL_KNEE_SLOWDOWN = 1.5
KNEE_OCCUPANCY = 0.5


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


class TargetLearner:
    """Derives the capacities of targets from the call summaries of all known instances.

    Parameters
    ----------
    table
        The call summaries.
    """

    def __init__(self, table: SummaryTable) -> None:
        self._table = table

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
        mean_by_service = dict(_mean_log_ratios(summaries))
        return {
            entry.incarnation: target_capacity(summary, mean_by_service.get(entry.service, 0.0))
            for entry, summary in summaries
        }


def target_capacity(summary: CallSummary, mean_log_ratio: float = 0.0) -> TargetCapacity:
    """Return the capacity of a target by the summary of its calls.

    Parameters
    ----------
    summary
        The calls.
    mean_log_ratio
        Mean logarithmic duration ratio of the service's targets. The typical call times and the
        ratios are learned from the same calls, so only ratios between targets have a meaning.
    """
    severity = _knee_severity(summary)
    total = summary.low_sum + summary.high_sum
    if severity > 0.0:
        # The slowdown above the limit is no property of the calls below it.
        low_mean = summary.low_sum / summary.low_weight
        total -= severity * (summary.high_sum - summary.high_weight * low_mean)
    log_ratio = (total - mean_log_ratio * summary.weight) / (summary.weight + PRIOR_WEIGHT)
    ratio = min(MAX_DURATION_RATIO, max(MIN_DURATION_RATIO, exp(log_ratio)))
    return TargetCapacity(ratio, 1.0 - (1.0 - KNEE_OCCUPANCY) * severity, summary.weight)


def _knee_severity(summary: CallSummary) -> float:
    """Return how certainly and how much the target slows down above half of its slots, 0 to 1."""
    if summary.low_weight < 1.0 or summary.high_weight < 1.0:
        return 0.0
    high_mean = summary.high_sum / summary.high_weight
    low_mean = summary.low_sum / summary.low_weight
    error = LOG_SPREAD * sqrt(1.0 / summary.low_weight + 1.0 / summary.high_weight)
    least, full = log(MIN_KNEE_SLOWDOWN), log(FULL_KNEE_SLOWDOWN)
    return min(1.0, max(0.0, (high_mean - low_mean - error - least) / (full - least)))


def _mean_log_ratios(
    summaries: Iterable[tuple[TargetEntry, CallSummary]],
) -> Iterator[tuple[str, float]]:
    means_by_service: dict[str, list[float]] = {}
    for entry, summary in summaries:
        if summary.weight >= MIN_MEAN_WEIGHT:
            mean = (summary.low_sum + summary.high_sum) / summary.weight
            means_by_service.setdefault(entry.service, []).append(mean)
    for service, means in means_by_service.items():
        yield service, sum(means) / len(means)


def make_learner(mode: str, epoch: int) -> tuple[TargetLearner | None, SummaryTable]:
    """Return the learner for a value of the setting ``target_learning``, and its table."""
    if mode == "own":
        table = SummaryTable(epoch, OWN_TAU_S, OWN_MAX_WEIGHT)
    else:
        table = SummaryTable(epoch, SHARED_TAU_S)
    return (None if mode == "off" else TargetLearner(table)), table
