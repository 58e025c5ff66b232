"""Messages of the balancing package."""

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
    """Current targets of the service; a target that is not listed gets no new work."""

    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class SharesChanged:
    """Shares of this instance, computed by the limits package.

    Attributes
    ----------
    share_by_server
        Share of the slots of each target; zero for a target that is not listed.
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
        Owner of the key, the only candidate for keyed work; None for unkeyed work.
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
    """The chosen target; one of its slots is taken until :class:`Done`."""

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
        How the call ended.
    link_bytes
        Bytes of the response, counted if it crossed the link between regions.
    """

    server_id: str
    latency_s: float
    outcome: CallOutcome
    link_bytes: int = 0


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A target's own load report, which arrives with a delay.

    Attributes
    ----------
    server_id
        Target that reports.
    in_flight
        Requests from all instances that the target reported to be running.
    boot_id
        Boot id that the target reported; a new one starts the cold-start ramp.
    age_s
        Estimated seconds since the target counted its requests.
    """

    server_id: str
    in_flight: int
    boot_id: str
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class BootObserved:
    """A boot id from a source other than a load report, such as a grant response."""

    server_id: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class AskStatus:
    """Asks for the current :class:`BalancerStatus`."""


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Snapshot of one target.

    Attributes
    ----------
    in_flight, limit
        Running calls of this instance, and the most it may run.
    keyed_limit
        The most calls it may run for keyed work, which ignores ejection.
    latency_s
        Decayed latency in seconds.
    is_ejected, is_ramping, is_slow
        Whether the target is ejected, in its cold-start ramp, or slower than its peers.
    """

    in_flight: int
    limit: int
    keyed_limit: int
    latency_s: float
    is_ejected: bool
    is_ramping: bool
    is_slow: bool


@dataclass(frozen=True, slots=True)
class BalancerStatus:
    """Snapshot of a balancer for the limits package, hedging and operators.

    Attributes
    ----------
    status_by_server
        Status of each current target.
    link_bytes
        Bytes counted on the link between regions since the balancer was created.
    """

    status_by_server: Mapping[str, TargetStatus] = field(default_factory=dict)
    link_bytes: int = 0

    @property
    def slow_fraction(self) -> float:
        """Fraction of the targets that are slow or ejected."""
        statuses = self.status_by_server.values()
        slow = sum(status.is_slow or status.is_ejected for status in statuses)
        return slow / len(statuses) if statuses else 0.0
