"""Composes datagrams and keeps them until the step ends."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from random import Random
from typing import Protocol

from damasktide.membership.claims import Claim, Health
from damasktide.membership.datagrams import Body, Datagram, Join, Page
from damasktide.membership.dissemination import GossipQueue, transmission_limit
from damasktide.membership.instances import Instance
from damasktide.membership.joining import Address
from damasktide.membership.table import MemberTable
from damasktide.membership.versions import VersionBoard


class Sizing(Protocol):
    """Sizes of encoded parts, in bytes, so that decisions need not know the encoding."""

    def free_bytes(self, datagram: Datagram) -> int:
        """Return how many bytes of claims still fit into the datagram."""

    def claim_bytes(self, claim: Claim) -> int:
        """Return what a claim adds to a datagram."""

    def version_bytes(self, name: str) -> int:
        """Return what a version adds to a datagram."""


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Effect: send a datagram to a host and port."""

    address: Address
    datagram: Datagram


class Outbox:
    """Fills datagrams with claims and versions.

    Parameters
    ----------
    table, queue, versions
        State of the protocol.
    sizing
        Sizes of encoded parts.
    random
        Source of choices.
    """

    def __init__(
        self,
        table: MemberTable,
        queue: GossipQueue,
        versions: VersionBoard,
        sizing: Sizing,
        random: Random,
    ) -> None:
        self._table = table
        self._queue = queue
        self._versions = versions
        self._sizing = sizing
        self._random = random
        self._sent: list[SendDatagram] = []

    def drain(self) -> tuple[SendDatagram, ...]:
        """Return the datagrams composed since the last call."""
        sent = tuple(self._sent)
        self._sent.clear()
        return sent

    def send(self, recipient_id: str, body: Body) -> None:
        """Send to a known peer."""
        claim = self._table.get(recipient_id)
        if claim is not None:
            self.send_to(claim.instance, body)

    def send_to(self, recipient: Instance, body: Body) -> None:
        """Send to an instance, known or not, with as many claims as fit."""
        datagram = self._new_datagram(recipient.instance_id, body)
        free_bytes = self._sizing.free_bytes(datagram)
        claims = tuple(self._fitting(self._accusations(recipient.instance_id), free_bytes))
        free_bytes -= sum(map(self._sizing.claim_bytes, claims))
        limit = transmission_limit(len(self._table.peer_ids) + 1)
        claims += tuple(self._queue.take(free_bytes, self._sizing.claim_bytes, limit))
        if not claims:
            claims = tuple(self._fitting(self._random_claims(), free_bytes))
        self._append(recipient, replace(datagram, claims=claims))

    def send_join(self, address: Address) -> None:
        """Send a join to an address."""
        datagram = Datagram(self._table.own, "", Join(), (), {})
        self._sent.append(SendDatagram(address, datagram))

    def send_page(self, recipient: Instance, after_id: str) -> None:
        """Send the members that follow ``after_id``; the order starts behind the recipient."""
        origin = recipient.instance_id
        ids = self._ids_after(origin, after_id)
        datagram = self._new_datagram(origin, Page(ids[-1] if ids else "", True))
        held = (self._table.get(peer_id) for peer_id in ids)
        candidates = (claim for claim in held if claim is not None)
        claims = tuple(self._fitting(candidates, self._sizing.free_bytes(datagram)))
        is_last = len(claims) == len(ids)
        body = Page(claims[-1].instance_id if claims else "", is_last)
        self._append(recipient, replace(datagram, body=body, claims=claims))

    def _ids_after(self, origin: str, after_id: str) -> list[str]:
        def place(instance_id: str) -> tuple[bool, str]:
            return instance_id <= origin, instance_id

        ordered = sorted(self._table.peer_ids)
        start = bisect_right(ordered, origin)
        ids = [*ordered[start:], *ordered[:start]]
        if ids and ids[-1] == origin:
            ids.pop()
        return ids[bisect_right(ids, place(after_id), key=place) :] if after_id else ids

    def _new_datagram(self, recipient_id: str, body: Body) -> Datagram:
        versions = self._versions.page(self._sizing.version_bytes)
        return Datagram(self._table.own, recipient_id, body, (), versions)

    def _append(self, recipient: Instance, datagram: Datagram) -> None:
        address = (recipient.host, recipient.gossip_port)
        self._sent.append(SendDatagram(address, datagram))

    def _accusations(self, recipient_id: str) -> Iterator[Claim]:
        # The recipient must learn of a suspicion against it in order to refute it.
        claim = self._table.get(recipient_id)
        if claim is not None and claim.health is not Health.ALIVE:
            yield claim

    def _random_claims(self) -> Iterator[Claim]:
        # One random claim repairs what was lost after all transmissions.
        if self._table.peer_ids:
            claim = self._table.get(self._random.choice(self._table.peer_ids))
            if claim is not None:
                yield claim

    def _fitting(self, claims: Iterable[Claim], free_bytes: int) -> Iterator[Claim]:
        for claim in claims:
            free_bytes -= self._sizing.claim_bytes(claim)
            if free_bytes < 0:
                return
            yield claim
