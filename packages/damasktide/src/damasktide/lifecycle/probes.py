"""Responses to the platform's health and readiness probes."""

from dataclasses import dataclass

from damasktide.lifecycle.state import LifecycleSnapshot

OK = 200
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class ProbeResponse:
    """Response to a probe.

    Attributes
    ----------
    status
        HTTP status.
    phase
        Current phase.
    failed_task
        Name of the first task that failed, or an empty string.
    """

    status: int
    phase: str
    failed_task: str


def readyz(snapshot: LifecycleSnapshot, is_out_of_service: bool = False) -> ProbeResponse:
    """Return 200 if the load balancer should send new connections, else 503."""
    return _response(snapshot, snapshot.is_ready and not is_out_of_service)


def healthz(snapshot: LifecycleSnapshot) -> ProbeResponse:
    """Return 200 if no task has failed, else 503; a planned drain counts as healthy."""
    return _response(snapshot, not snapshot.failed_task)


def _response(snapshot: LifecycleSnapshot, is_ok: bool) -> ProbeResponse:
    status = OK if is_ok else UNAVAILABLE
    return ProbeResponse(status, snapshot.phase.value, snapshot.failed_task)
