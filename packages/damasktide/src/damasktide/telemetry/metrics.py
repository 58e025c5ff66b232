"""Registry of all metrics; only metrics declared here can be sent."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from damasktide.admission.refusals import RefusalCode
from damasktide.forwarding.failures import FailureKind
from damasktide.runtime.registry import Registry

PREFIX = "damasktide"


class MetricKind(Enum):
    """Type of a metric in the statsd protocol."""

    COUNTER = "counter"
    TIMER = "timer"


@dataclass(frozen=True, slots=True)
class Metric:
    """A declared metric.

    Attributes
    ----------
    name
        Name without the prefix; never contains data of a request.
    kind
        Type; timers are in milliseconds.
    description
        What the metric counts or measures.
    """

    name: str
    kind: MetricKind
    description: str


REQUESTS_RECEIVED = "request.received"
REQUESTS_ANSWERED = "request.answered"
HEDGE_REASON = "hedge"
REQUEST_DURATION = "request.duration"
TASKS_FAILED = "task.failed"
UNDECLARED = "telemetry.undeclared"
LOG_LINES_DROPPED = "telemetry.log_lines_dropped"
MetricFamily = Callable[[], Iterator[Metric]]
FAMILIES: Registry[str, MetricFamily] = Registry("metric family")


def refusal_metric(code: RefusalCode) -> str:
    """Return the name of the counter for a refusal code."""
    return f"refusal.{code.value}"


def retry_metric(reason: str) -> str:
    """Return the name of the counter for a retry reason."""
    return f"retry.{reason}"


@FAMILIES.register("Requests")
def _requests() -> Iterator[Metric]:
    yield Metric(REQUESTS_RECEIVED, MetricKind.COUNTER, "Requests of callers received.")
    yield Metric(
        REQUESTS_ANSWERED,
        MetricKind.COUNTER,
        "Requests whose caller got the response of a backend server.",
    )
    yield Metric(
        REQUEST_DURATION, MetricKind.TIMER, "Time from the request to the response, refusals too."
    )


@FAMILIES.register("Refusals")
def _refusals() -> Iterator[Metric]:
    for code in RefusalCode:
        outcome = code.outcome.value.replace("_", " ")
        description = f"Refusals with `{code.value}` (status {code.status}, outcome {outcome})."
        yield Metric(refusal_metric(code), MetricKind.COUNTER, description)


@FAMILIES.register("Retries")
def _retries() -> Iterator[Metric]:
    for kind in FailureKind:
        description = f"Calls sent again after `{kind.value}`."
        yield Metric(retry_metric(kind.value), MetricKind.COUNTER, description)
    yield Metric(
        retry_metric(HEDGE_REASON),
        MetricKind.COUNTER,
        "Second calls sent while the first one ran.",
    )


@FAMILIES.register("Process")
def _process() -> Iterator[Metric]:
    yield Metric(TASKS_FAILED, MetricKind.COUNTER, "Tasks that ended because a handler raised.")
    yield Metric(UNDECLARED, MetricKind.COUNTER, "Values dropped because their name is unknown.")
    yield Metric(
        LOG_LINES_DROPPED,
        MetricKind.COUNTER,
        "Log lines dropped because the log was written too slowly.",
    )


def metric_by_name() -> dict[str, Metric]:
    """Return all declared metrics by name.

    Raises
    ------
    ValueError
        If a name is declared twice.
    """
    metrics: dict[str, Metric] = {}
    for family in FAMILIES:
        for metric in FAMILIES.get(family)():
            if metric.name in metrics:
                raise ValueError(f"metric {metric.name!r} is declared twice")
            metrics[metric.name] = metric
    return metrics
