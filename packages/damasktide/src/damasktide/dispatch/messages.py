"""What the dispatcher is asked, what it answers, and what it is told."""

from dataclasses import dataclass
from enum import Enum

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.routing.configuration import Service
from damasktide.targets.target import TargetEntry


class NoTargetReason(Enum):
    """Why a request is not sent."""

    NONE_LISTED = "none_listed"
    NONE_IN_REGIONS = "none_in_regions"
    ALL_UNREACHABLE = "all_unreachable"
    ALL_COLD = "all_cold"
    TOO_LATE = "too_late"
    ALL_TRIED = "all_tried"
    OWNER_UNUSABLE = "owner_unusable"


@dataclass(frozen=True, slots=True)
class TargetQuery:
    """What a request needs.

    Attributes
    ----------
    service
        The service.
    route
        Name of its route, by which usual times are learned.
    objective_s
        Time within which the response has its full value.
    remaining_s
        Time left until the request is given up.
    regions
        Regions in which it may be served; empty allows all.
    rank
        Rank of its priority within the service; 0 is the most urgent.
    owner_id
        The target that holds the request's key, or None if any target will do.
    tried_ids
        Targets to which it was sent before.
    """

    service: Service
    route: str
    objective_s: float
    remaining_s: float
    regions: frozenset[str] = frozenset()
    rank: int = 0
    owner_id: str | None = None
    tried_ids: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class TargetSelection:
    """The target of one send.

    Attributes
    ----------
    entry
        The target.
    expected_s
        Expected time to the response.
    calls
        Estimated calls at the target before this one.
    load_factor
        How much longer the call takes than at an idle target.
    has_free_slot
        Whether it probably need not wait.
    """

    entry: TargetEntry
    expected_s: float
    calls: float
    load_factor: float = 1.0
    has_free_slot: bool = True


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target can serve the request now.

    Attributes
    ----------
    reason
        Why.
    retry_after_s
        Time after which another try is useful.
    """

    reason: NoTargetReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """How a send ended.

    Attributes
    ----------
    entry
        The target.
    route
        Name of the request's route.
    duration_s
        Time from the send to the response's head, or to the failure.
    has_failed
        Whether the target failed the request.
    has_no_answer
        Whether no response arrived.
    is_shed
        Whether the target turned the request away as full.
    is_misdirected
        Whether the target does not hold the key, or another server answers at its address.
    is_keyed
        Whether the service's keys are held by targets.
    is_unreachable
        Whether the target accepted no connection.
    is_abandoned
        Whether the call was ended from this side.
    load_factor
        What :class:`TargetSelection` said.
    report
        The target's load report, if the response carried one.
    """

    entry: TargetEntry
    route: str
    duration_s: float
    has_failed: bool = False
    has_no_answer: bool = False
    is_shed: bool = False
    is_misdirected: bool = False
    is_keyed: bool = False
    is_unreachable: bool = False
    is_abandoned: bool = False
    load_factor: float = 1.0
    report: LoadReport | None = None
