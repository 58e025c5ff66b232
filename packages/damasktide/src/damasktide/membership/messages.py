"""Messages that membership exchanges with the other tasks of its process."""

from collections.abc import Mapping
from dataclasses import dataclass

from damasktide.membership.instances import Instance, InstanceState


@dataclass(frozen=True, slots=True)
class MembershipView:
    """States of all known instances, including this one, as recorded by this instance.

    Attributes
    ----------
    instance_by_id
        All known instances; a failed one is listed for 30 s.
    state_by_id
        Their states.
    last_contact
        Monotonic time of the last datagram from any peer, in seconds; -inf if there was none.
    """

    instance_by_id: Mapping[str, Instance]
    state_by_id: Mapping[str, InstanceState]
    last_contact: float


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """Notifies subscribers that the view has changed."""

    view: MembershipView


@dataclass(frozen=True, slots=True)
class VersionObserved:
    """Notifies subscribers that a peer holds a higher version than this instance.

    Attributes
    ----------
    name
        Name of the versioned data, such as ``configuration`` or ``ownership/batch-desk``.
    version
        The version that the peer holds.
    instance_id
        Id of the peer.
    """

    name: str
    version: int
    instance_id: str


@dataclass(frozen=True, slots=True)
class AnnounceVersion:
    """Tells membership which version this instance holds; lower versions are ignored."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Tells membership that this instance begins a graceful stop."""


@dataclass(frozen=True, slots=True)
class Depart:
    """Tells membership that this instance has finished its work and is about to exit."""


@dataclass(frozen=True, slots=True)
class GetView:
    """Asks membership for the current view."""


@dataclass(frozen=True, slots=True)
class GetLastContact:
    """Asks membership for the monotonic time of the last datagram from any peer."""
