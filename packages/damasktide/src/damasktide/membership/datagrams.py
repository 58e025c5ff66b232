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
    """Answers a :class:`Ping` or a :class:`PingRequest`."""

    probe_id: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the recipient to ping ``target_id`` and to pass on its ack."""

    probe_id: int
    target_id: str


@dataclass(frozen=True, slots=True)
class Join:
    """Asks an instance whose id is not known for a :class:`Welcome`."""


@dataclass(frozen=True, slots=True)
class Welcome:
    """Answers a :class:`Join`."""


@dataclass(frozen=True, slots=True)
class Pull:
    """Asks for the members that follow ``after_id``; empty for the first page."""

    after_id: str


@dataclass(frozen=True, slots=True)
class Page:
    """Answers a :class:`Pull`; the members are the claims of the datagram.

    Attributes
    ----------
    last_id
        Id from which the next pull continues.
    is_last
        Whether no members follow.
    """

    last_id: str
    is_last: bool


@dataclass(frozen=True, slots=True)
class Gossip:
    """Carries nothing but claims and versions."""


Body = Ping | Ack | PingRequest | Join | Welcome | Pull | Page | Gossip


@dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram.

    Attributes
    ----------
    sender
        The sender's claim about itself.
    recipient_id
        Id of the recipient with its incarnation; empty only in a :class:`Join`. A datagram
        that was recorded on its way to another process is not accepted.
    body
        Purpose of the datagram.
    claims
        Claims about other instances.
    version_by_name
        Versions that the sender holds.
    """

    sender: Claim
    recipient_id: str
    body: Body
    claims: tuple[Claim, ...]
    version_by_name: Mapping[str, int]
