"""Composes datagrams and collects them until the end of a step."""

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
from damasktide.membership.versions import VersionTracker


class Sizing(Protocol):
    """Encoded sizes in bytes; keeps the state machine independent of the encoding."""

    def free_bytes(self, datagram: Datagram) -> int:
        """Return how many more bytes of claims fit into the datagram."""

    def claim_bytes(self, claim: Claim) -> int:
        """Return how many bytes a claim adds to a datagram."""

    def version_bytes(self, name: str) -> int:
        """Return how many bytes a version adds to a datagram."""


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Effect: send a datagram to a host and port."""

    address: Address
    datagram: Datagram


class Outbox:
    """Composes datagrams and fills them with claims and versions.

    Parameters
    ----------
    table, queue, versions
        State of the protocol.
    sizing
        Computes the encoded sizes.
    random
        Random number generator.
    """

    def __init__(
        self,
        table: MemberTable,
        queue: GossipQueue,
        versions: VersionTracker,
        sizing: Sizing,
        random: Random,
    ) -> None:
        self._table = table
        self._queue = queue
        self._versions = versions
        self._sizing = sizing
        self._random = random
        self._pending: list[SendDatagram] = []

    def drain(self) -> tuple[SendDatagram, ...]:
        """Return the datagrams composed since the last call."""
        pending = tuple(self._pending)
        self._pending.clear()
        return pending

    def send(self, recipient_id: str, body: Body) -> None:
        """Send to a peer if it is known."""
        claim = self._table.get(recipient_id)
        if claim is not None:
            self.send_to(claim.instance, body)

    def send_to(self, recipient: Instance, body: Body) -> None:
        """Send to an instance, known or unknown, with as many claims as fit."""
        datagram = self._new_datagram(recipient.instance_id, body)
        free_bytes = self._sizing.free_bytes(datagram)
        claims = tuple(
            self._claims_that_fit(self._refutable_claims(recipient.instance_id), free_bytes)
        )
        free_bytes -= sum(map(self._sizing.claim_bytes, claims))
        limit = transmission_limit(len(self._table.peer_ids) + 1)
        claims += tuple(self._queue.take(free_bytes, self._sizing.claim_bytes, limit))
        if not claims:
            claims = tuple(self._claims_that_fit(self._random_claims(), free_bytes))
        self._append(recipient, replace(datagram, claims=claims))

    def send_join(self, address: Address) -> None:
        """Send a join to an address."""
        datagram = Datagram(self._table.own_claim, "", Join(), (), {})
        self._pending.append(SendDatagram(address, datagram))

    def send_page(self, recipient: Instance, after_id: str) -> None:
        """Send the members that follow ``after_id``.

        The ids are in circular order, starting after the recipient's own id.
        """
        origin = recipient.instance_id
        ids = self._ids_after(origin, after_id)
        datagram = self._new_datagram(origin, Page(ids[-1] if ids else "", True))
        known_claims = (self._table.get(peer_id) for peer_id in ids)
        candidates = (claim for claim in known_claims if claim is not None)
        claims = tuple(self._claims_that_fit(candidates, self._sizing.free_bytes(datagram)))
        is_last = len(claims) == len(ids)
        body = Page(claims[-1].instance_id if claims else "", is_last)
        self._append(recipient, replace(datagram, body=body, claims=claims))

    def _ids_after(self, origin: str, after_id: str) -> list[str]:
        def position(instance_id: str) -> tuple[bool, str]:
            return instance_id <= origin, instance_id

        ordered = sorted(self._table.peer_ids)
        start = bisect_right(ordered, origin)
        ids = [*ordered[start:], *ordered[:start]]
        if ids and ids[-1] == origin:
            ids.pop()
        return ids[bisect_right(ids, position(after_id), key=position) :] if after_id else ids

    def _new_datagram(self, recipient_id: str, body: Body) -> Datagram:
        versions = self._versions.next_batch(self._sizing.version_bytes)
        return Datagram(self._table.own_claim, recipient_id, body, (), versions)

    def _append(self, recipient: Instance, datagram: Datagram) -> None:
        address = (recipient.host, recipient.gossip_port)
        self._pending.append(SendDatagram(address, datagram))

    def _refutable_claims(self, recipient_id: str) -> Iterator[Claim]:
        # The recipient has to receive a suspicion of itself in order to refute it.
        claim = self._table.get(recipient_id)
        if claim is not None and claim.health is not Health.ALIVE:
            yield claim

    def _random_claims(self) -> Iterator[Claim]:
        # Random claims eventually reach peers that missed all transmissions of a claim.
        if self._table.peer_ids:
            claim = self._table.get(self._random.choice(self._table.peer_ids))
            if claim is not None:
                yield claim

    def _claims_that_fit(self, claims: Iterable[Claim], free_bytes: int) -> Iterator[Claim]:
        for claim in claims:
            free_bytes -= self._sizing.claim_bytes(claim)
            if free_bytes < 0:
                return
            yield claim
