"""Datagrams of the membership protocol."""

from collections.abc import Mapping
from dataclasses import dataclass

from damasktide.membership.claims import Claim


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks the recipient for an :class:`Ack`."""

    probe_id: int


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledges a :class:`Ping` or a :class:`PingRequest`."""

    probe_id: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the recipient to ping ``target_id`` and to forward its ack."""

    probe_id: int
    target_id: str


@dataclass(frozen=True, slots=True)
class Join:
    """Asks the instance at an address, whose id is not known, for a :class:`Welcome`."""


@dataclass(frozen=True, slots=True)
class Welcome:
    """Replies to a :class:`Join`."""


@dataclass(frozen=True, slots=True)
class Pull:
    """Requests the members that follow ``after_id``; empty for the first page."""

    after_id: str


@dataclass(frozen=True, slots=True)
class Page:
    """Replies to a :class:`Pull`; the members are the claims of the datagram.

    Attributes
    ----------
    last_id
        Id after which the next pull continues.
    is_last
        Whether this is the last page.
    """

    last_id: str
    is_last: bool


@dataclass(frozen=True, slots=True)
class Gossip:
    """Carries only claims and versions."""


Body = Ping | Ack | PingRequest | Join | Welcome | Pull | Page | Gossip


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram of the membership protocol.

    Attributes
    ----------
    sender
        The sender's claim about itself.
    recipient_id
        Id of the recipient, including its incarnation; empty only in a :class:`Join`. It prevents
        a datagram to one process from being replayed to another.
    body
        Purpose of the datagram and its parameters.
    claims
        Claims about other instances.
    version_by_name
        Versions held by the sender.
    """

    sender: Claim
    recipient_id: str
    body: Body
    claims: tuple[Claim, ...]
    version_by_name: Mapping[str, int]
