"""Messages of the limits slice."""

from collections.abc import Mapping
from dataclasses import dataclass

from gevent.event import AsyncResult

from damasktide.admission.refusals import Refusal
from damasktide.balancing.messages import BalancerStatus
from damasktide.balancing.targets import Target
from damasktide.limits.members import Member


@dataclass(frozen=True, slots=True)
class Entry:
    """A request that asks to be let in.

    Attributes
    ----------
    ticket
        Number that names the request until it has left.
    customer, service
        Who asks and for what.
    deadline
        Monotonic time in seconds at which the caller stops waiting.
    owner
        Owner of the key, or None for unkeyed work.
    counts_volume
        Whether it counts against the customer's volume here; a request that another instance
        forwards has been counted there.
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
    """Gives back the volume of a forwarded request that did not run."""

    customer: str


@dataclass(frozen=True, slots=True)
class Enter:
    """Asks for entry; ``reply`` gets a :class:`Verdict`, at the deadline at the latest."""

    entry: Entry
    reply: AsyncResult


@dataclass(frozen=True, slots=True)
class Placed:
    """An admitted request was sent to a target, whose slot it now takes."""

    ticket: int
    server_id: str


@dataclass(frozen=True, slots=True)
class Leave:
    """A request has ended, or its caller gave up while it was queued."""

    ticket: int


@dataclass(frozen=True, slots=True)
class CapacityChanged:
    """Slots of a service that this instance may use now.

    Attributes
    ----------
    service
        The service.
    slots
        Slots for all work together.
    slots_by_server
        Slots of each target for keyed work.
    """

    service: str
    slots: int
    slots_by_server: Mapping[str, int]

    @classmethod
    def from_status(cls, service: str, status: BalancerStatus) -> "CapacityChanged":
        """Return the slots that the balancer of ``service`` would give out."""
        status_by_server = status.status_by_server
        return cls(
            service,
            sum(target.limit for target in status_by_server.values()),
            {server_id: target.keyed_limit for server_id, target in status_by_server.items()},
        )


@dataclass(frozen=True, slots=True)
class VolumesChanged:
    """Requests per second that the plan of each customer allows, over all instances."""

    requests_per_s_by_customer: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class ServiceTargetsChanged:
    """The present targets of a service, whose slots are to be shared."""

    service: str
    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The present view of the membership, this instance included."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class PeerContacted:
    """A peer's message has arrived; to be sent at least twice in a second."""
