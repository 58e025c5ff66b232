"""Messages of the balancing slice."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from damasktide.balancing.targets import Target
from damasktide.limits.slot_share import SlotShare


class CallOutcome(Enum):
    """How a call to a target ended."""

    OK = "ok"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    RESET = "reset"
    NOT_CONNECTED = "not_connected"
    SHED = "shed"
    CANCELLED = "cancelled"

    @property
    def is_failure(self) -> bool:
        """Whether the outcome counts towards ejection."""
        return self in _FAILURES


_FAILURES = frozenset(
    {
        CallOutcome.FAILED,
        CallOutcome.TIMED_OUT,
        CallOutcome.RESET,
        CallOutcome.NOT_CONNECTED,
    }
)


class NoPickReason(Enum):
    """Why no target was chosen."""

    NO_TARGETS = "no_targets"
    UNKNOWN_OWNER = "unknown_owner"
    LEAVING = "leaving"
    REGION_NOT_ALLOWED = "region_not_allowed"
    LINK_BUDGET = "link_budget"
    NO_FREE_SLOT = "no_free_slot"


@dataclass(frozen=True, slots=True)
class TargetsChanged:
    """The present targets of the service; a target that is absent gets no new work."""

    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class SharesChanged:
    """Shares of this instance, as the limits slice computed them.

    Attributes
    ----------
    share_by_server
        Share of the slots of each target; a target that is absent has none.
    link_bytes_per_s
        Share of the byte rate of the link between regions.
    """

    share_by_server: Mapping[str, SlotShare]
    link_bytes_per_s: float


@dataclass(frozen=True, slots=True)
class Pick:
    """Asks for a target; the reply is :class:`Picked` or :class:`NoPick`.

    Attributes
    ----------
    owner
        Owner of the key, which is then the only candidate, or None for unkeyed work.
    exclude
        Targets that this request has already tried, for retries and hedges.
    allowed_regions
        Regions that plan and home regions allow, or None for all.
    link_bytes
        Bytes of the request, counted if it crosses the link between regions.
    """

    owner: str | None = None
    exclude: tuple[str, ...] = ()
    allowed_regions: frozenset[str] | None = None
    link_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Picked:
    """The chosen target, whose slot is taken until :class:`Done`."""

    target: Target


@dataclass(frozen=True, slots=True)
class NoPick:
    """No target was chosen and no slot is taken."""

    reason: NoPickReason


@dataclass(frozen=True, slots=True)
class Done:
    """A call ended and its slot is free.

    Attributes
    ----------
    server_id
        Target of the call.
    latency_s
        Seconds from sending to the last byte of the response, or to the failure.
    outcome
        How it ended.
    link_bytes
        Bytes of the response, counted if it crossed the link between regions.
    """

    server_id: str
    latency_s: float
    outcome: CallOutcome
    link_bytes: int = 0


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A target's own load report, which lags.

    Attributes
    ----------
    server_id
        Target that reports.
    in_flight
        Requests that it said it was running, from all instances.
    boot_id
        Boot that it reported; a new one starts the cold-start ramp.
    age_s
        Seconds since the report was true, as far as known.
    """

    server_id: str
    in_flight: int
    boot_id: str
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class BootObserved:
    """A boot id learned by other means than a load report, such as a grant response."""

    server_id: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class AskStatus:
    """Asks for the present :class:`BalancerStatus`."""


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """What the balancer knows of one target.

    Attributes
    ----------
    in_flight, limit
        Calls of this instance and how many it may have.
    keyed_limit
        How many it may have for keyed work, which ignores ejection.
    latency_s
        Decayed latency in seconds.
    ejected, ramping, slow
        Whether it is ejected, in its cold-start ramp, or slower than its peers.
    """

    in_flight: int
    limit: int
    keyed_limit: int
    latency_s: float
    ejected: bool
    ramping: bool
    slow: bool


@dataclass(frozen=True, slots=True)
class BalancerStatus:
    """Snapshot of a balancer for the limits slice, hedging and operators.

    Attributes
    ----------
    status_by_server
        Status of each present target.
    link_bytes
        Bytes counted on the link between regions since the start.
    """

    status_by_server: Mapping[str, TargetStatus] = field(default_factory=dict)
    link_bytes: int = 0

    @property
    def slow_fraction(self) -> float:
        """Fraction of the targets that are slow or ejected."""
        statuses = self.status_by_server.values()
        slow = sum(status.slow or status.ejected for status in statuses)
        return slow / len(statuses) if statuses else 0.0
