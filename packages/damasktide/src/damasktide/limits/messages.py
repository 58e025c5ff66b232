"""Messages of the limits package."""

from collections.abc import Mapping
from dataclasses import dataclass

from gevent.event import AsyncResult

from damasktide.admission.refusals import Refusal
from damasktide.balancing.messages import BalancerStatus
from damasktide.balancing.targets import Target
from damasktide.limits.members import Member


@dataclass(frozen=True, slots=True)
class Entry:
    """A request that asks for admission.

    Attributes
    ----------
    ticket
        Number that identifies the request until it leaves.
    customer, service
        Customer that sent the request, and service that it calls.
    deadline
        Monotonic time in seconds at which the caller stops waiting.
    owner
        Owner of the key, or None for unkeyed work.
    counts_volume
        Whether this instance counts the request against the customer's volume; a forwarded
        request was counted by the instance that received it.
    """

    ticket: int
    customer: str
    service: str
    deadline: float
    owner: str | None = None
    counts_volume: bool = True


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run now."""

    ticket: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was refused and did not run."""

    ticket: int
    refusal: Refusal


Verdict = Admitted | Refused


@dataclass(frozen=True, slots=True)
class TakeVolume:
    """Counts a request that is forwarded to a peer; the reply is a refusal or None."""

    customer: str


@dataclass(frozen=True, slots=True)
class RefundVolume:
    """Refunds the volume of a forwarded request that did not run."""

    customer: str


@dataclass(frozen=True, slots=True)
class Enter:
    """Asks for admission; ``reply`` gets a :class:`Verdict` by the deadline at the latest."""

    entry: Entry
    reply: AsyncResult


@dataclass(frozen=True, slots=True)
class Placed:
    """An admitted request was sent to a target and now uses one of its slots."""

    ticket: int
    server_id: str


@dataclass(frozen=True, slots=True)
class Leave:
    """A request has ended, or its caller gave up while it was queued."""

    ticket: int


@dataclass(frozen=True, slots=True)
class CapacityChanged:
    """Slots of a service that this instance may currently use.

    Attributes
    ----------
    service
        The service.
    slots
        Total slots for keyed and unkeyed work.
    slots_by_server
        Slots of each target for keyed work.
    """

    service: str
    slots: int
    slots_by_server: Mapping[str, int]

    @classmethod
    def from_status(cls, service: str, status: BalancerStatus) -> "CapacityChanged":
        """Return the slots that the balancer of ``service`` can assign."""
        status_by_server = status.status_by_server
        return cls(
            service,
            sum(target.limit for target in status_by_server.values()),
            {server_id: target.keyed_limit for server_id, target in status_by_server.items()},
        )


@dataclass(frozen=True, slots=True)
class VolumesChanged:
    """Requests per second that each customer's plan allows on all instances together."""

    requests_per_s_by_customer: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class ServiceTargetsChanged:
    """Current targets of a service, whose slots are shared."""

    service: str
    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Current membership view, including this instance."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class PeerContacted:
    """A message from a peer was received; send this at least twice a second."""
