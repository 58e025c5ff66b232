"""Answers to the probes of the platform."""

from dataclasses import dataclass

from damasktide.lifecycle.state import LifecycleSnapshot

OK = 200
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Answer to a probe.

    Attributes
    ----------
    status
        HTTP status.
    phase
        Present phase.
    failed_task
        Name of the first task that failed, or an empty string.
    """

    status: int
    phase: str
    failed_task: str


def readyz(snapshot: LifecycleSnapshot, is_out_of_service: bool = False) -> ProbeAnswer:
    """Return whether the load balancer should send new connections."""
    return _answer(snapshot, snapshot.is_ready and not is_out_of_service)


def healthz(snapshot: LifecycleSnapshot) -> ProbeAnswer:
    """Return whether all tasks work; a planned drain is healthy."""
    return _answer(snapshot, not snapshot.failed_task)


def _answer(snapshot: LifecycleSnapshot, is_good: bool) -> ProbeAnswer:
    status = OK if is_good else UNAVAILABLE
    return ProbeAnswer(status, snapshot.phase.value, snapshot.failed_task)
