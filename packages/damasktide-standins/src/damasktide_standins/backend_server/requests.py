"""Data of requests and their runs on a backend server."""

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
        Requests that run at once.
    connections
        TCP connections that the server accepts.
    service_time_ms
        Milliseconds that a request occupies a slot.
    checked
        Whether keyed requests need a current grant.
    """

    server_id: str
    service: str
    slots: int = 6
    connections: int = 110
    service_time_ms: float = 5.0
    checked: bool = True


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as it arrives.

    Attributes
    ----------
    request_id
        Idempotency key of the request.
    key
        Key of a keyed operation, or an empty string.
    shard
        Shard named by the sender, or None.
    deadline
        Monotonic time in seconds after which the request must not start, or None.
    """

    request_id: str
    key: str
    shard: int | None
    deadline: float | None


class Verdict(Enum):
    """What happens to a request before it runs."""

    RUN = "run"
    NOT_OWNER = "not_owner"
    SHED = "shed"
    DEADLINE_PASSED = "deadline_passed"
    CANCELLED = "cancelled"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class Start:
    """Decision on a request: whether it runs and for how long.

    Attributes
    ----------
    run_id
        Number of the request on this server.
    verdict
        Whether it runs.
    service_time_s
        Seconds for which it occupies a slot.
    """

    run_id: int
    verdict: Verdict
    service_time_s: float = 0.0


class Ending(Enum):
    """How a run ended."""

    COMPLETED = "completed"
    CUT = "cut"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Finish:
    """End of a run.

    Attributes
    ----------
    ending
        Whether the request had its effect.
    ended_at
        Monotonic time at which a cut run ended, or None.
    reset, truncate, cross
        Faults that apply to the response.
    """

    ending: Ending
    ended_at: float | None = None
    reset: bool = False
    truncate: bool = False
    cross: bool = False


@dataclass(frozen=True, slots=True)
class Load:
    """What ``GET /damasktide/load`` reports."""

    in_flight: int
    slots: int
    boot_id: str
