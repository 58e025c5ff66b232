"""Requests to a stand-in backend server, their admission and the results of their runs."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Settings of a stand-in backend server.

    Attributes
    ----------
    server_id, service
        Identity of the server.
    slots
        Number of requests that may run concurrently.
    connections
        Number of TCP connections that the server accepts.
    service_time_ms
        Time for which a request occupies a slot.
    checks_grants
        Whether keyed requests need a current grant.
    """

    server_id: str
    service: str
    slots: int = 6
    connections: int = 110
    service_time_ms: float = 5.0
    checks_grants: bool = True


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A forwarded request.

    Attributes
    ----------
    request_id
        Idempotency key of the request.
    key
        Key of a keyed operation, or an empty string.
    shard
        Shard that the sender named, or None.
    deadline
        Monotonic time in seconds after which the request must not start, or None.
    """

    request_id: str
    key: str
    shard: int | None
    deadline: float | None


class AdmissionDecision(Enum):
    """Whether a request runs, or why it does not."""

    RUN = "run"
    NOT_OWNER = "not_owner"
    SHED = "shed"
    DEADLINE_PASSED = "deadline_passed"
    CANCELLED = "cancelled"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class Admission:
    """Decision on a request and how long it runs.

    Attributes
    ----------
    run_id
        Number that identifies the request on this server.
    decision
        Whether it runs, or why not.
    service_time_s
        Seconds for which it occupies a slot.
    """

    run_id: int
    decision: AdmissionDecision
    service_time_s: float = 0.0


class Ending(Enum):
    """How a run ended.

    A run is rolled back if its term ended or the server restarted during it.
    """

    COMPLETED = "completed"
    ROLLED_BACK = "cut"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of a run.

    Attributes
    ----------
    ending
        How the run ended; only a completed run has an effect.
    term_ended_at
        Monotonic time at which the term of a rolled-back run ended; None if the run was not
        rolled back or had no shard.
    reset, truncate, cross
        Whether the connection is reset instead of a response, the response is truncated, or it
        names another request.
    """

    ending: Ending
    term_ended_at: float | None = None
    reset: bool = False
    truncate: bool = False
    cross: bool = False


@dataclass(frozen=True, slots=True)
class Load:
    """Load that ``GET /damasktide/load`` reports; queued requests count as in flight."""

    in_flight: int
    slots: int
    boot_id: str
