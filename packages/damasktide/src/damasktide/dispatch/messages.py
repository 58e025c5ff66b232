"""Messages to and from the dispatcher: target queries, selections and call outcomes."""

from dataclasses import dataclass
from enum import Enum

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.routing.configuration import Service
from damasktide.targets.target import TargetEntry


class NoTargetReason(Enum):
    """Why no target was selected for a request."""

    NONE_LISTED = "none_listed"
    NONE_IN_REGIONS = "none_in_regions"
    ALL_UNREACHABLE = "all_unreachable"
    ALL_COLD = "all_cold"
    TOO_LATE = "too_late"
    ALL_TRIED = "all_tried"
    OWNER_UNUSABLE = "owner_unusable"
    PAUSED = "paused"
    INSTANCE_STOPPING = "instance_stopping"


@dataclass(frozen=True, slots=True)
class TargetQuery:
    """Requirements of a request for its target.

    Attributes
    ----------
    service
        The service.
    route
        Name of the request's route; typical call times are tracked per route.
    objective_s
        Time within which the response has its full value, in seconds.
    remaining_s
        Time until the request is abandoned, in seconds.
    regions
        Regions in which the request may be served; empty allows all.
    rank
        Rank of its priority within the service; 0 is the most urgent.
    owner_id
        Id of the target that owns the request's key, or None if any target may serve it.
    tried_ids
        Ids of the targets to which the request was already sent.
    until_abort_s
        Time until this instance aborts its requests in flight because it stops, in seconds.
    """

    service: Service
    route: str
    objective_s: float
    remaining_s: float
    regions: frozenset[str] = frozenset()
    rank: int = 0
    owner_id: str | None = None
    tried_ids: frozenset[str] = frozenset()
    until_abort_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class TargetSelection:
    """The target selected for one send of a request.

    Attributes
    ----------
    entry
        The target.
    expected_s
        Expected time to the response, in seconds.
    calls
        Estimated number of calls at the target before this one.
    load_factor
        Expected duration of the call relative to one at an idle target.
    has_free_slot
        Whether the call will probably start without waiting for a slot.
    """

    entry: TargetEntry
    expected_s: float
    calls: float
    load_factor: float = 1.0
    has_free_slot: bool = True


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target can serve the request at present.

    Attributes
    ----------
    reason
        Why no target was selected.
    retry_after_s
        Time after which a retry may succeed, in seconds.
    """

    reason: NoTargetReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The outcome of one send of a request.

    Attributes
    ----------
    entry
        The target.
    route
        Name of the request's route.
    duration_s
        Time from the send to the response's head, or to the failure, in seconds.
    has_failed
        Whether the call failed at the target.
    has_no_response
        Whether no response arrived.
    is_shed
        Whether the target refused the request because it is overloaded.
    is_misdirected
        Whether the target does not own the key, or another server responds at its address.
    is_keyed
        Whether the service assigns each key to one target.
    is_unreachable
        Whether the target accepted no connection.
    is_abandoned
        Whether this instance ended the call.
    load_factor
        Load factor of the :class:`TargetSelection` that the call was made for.
    report
        The target's load report, if the response carried one.
    pause_s
        Seconds for which the target wants no requests of this instance.
    """

    entry: TargetEntry
    route: str
    duration_s: float
    has_failed: bool = False
    has_no_response: bool = False
    is_shed: bool = False
    is_misdirected: bool = False
    is_keyed: bool = False
    is_unreachable: bool = False
    is_abandoned: bool = False
    load_factor: float = 1.0
    report: LoadReport | None = None
    pause_s: float = 0.0
