"""State machine of the membership protocol, after SWIM (Das, Gupta and Motivala, 2002)."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from damasktide.membership.datagrams import (
    Ack,
    Datagram,
    Gossip,
    Join,
    Page,
    Ping,
    PingRequest,
    Pull,
    Welcome,
)
from damasktide.membership.detection import FailureDetector
from damasktide.membership.discovery import Discovery
from damasktide.membership.exchange import GossipExchange, ReceivedUpdates
from damasktide.membership.instances import Instance
from damasktide.membership.joining import Address
from damasktide.membership.messages import (
    AnnounceVersion,
    Depart,
    Leave,
    MembershipChanged,
    MembershipView,
    VersionObserved,
)
from damasktide.membership.outbox import SendDatagram, Sizing
from damasktide.membership.probing import PROBE_TIMEOUT_S
from damasktide.runtime.registry import Registry

TICK_INTERVAL_S = 0.05
# A longer gap between two steps means that this process was paused. The time beyond this does not
# count towards any timeout, so that no peer is declared failed because its observer was paused.
MAX_STEP_S = 2 * TICK_INTERVAL_S
# After a pause longer than a probe, peers may have suspected this instance.
PAUSE_THRESHOLD_S = PROBE_TIMEOUT_S + MAX_STEP_S
DEPART_FANOUT = 4
HOUSEKEEPING_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Tick:
    """Event: time has passed; due every ``TICK_INTERVAL_S``."""


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """Event: an authenticated datagram was received; replays are already filtered out."""

    datagram: Datagram


Event = Tick | DatagramReceived | AnnounceVersion | Leave | Depart
Effect = SendDatagram | MembershipChanged | VersionObserved

_EVENT_HANDLERS: Registry[type, Callable[["SwimState", Any], None]] = Registry(
    "handler of a membership event"
)
_BODY_HANDLERS: Registry[type, Callable[["SwimState", Datagram, Any, ReceivedUpdates], None]] = (
    Registry("handler of a datagram body")
)


class SwimState:
    """State of the protocol at one instance.

    Parameters
    ----------
    own_instance
        This instance.
    seeds
        Addresses at which to look for other instances.
    sizing
        Computes the encoded sizes.
    seed
        Seed of the random number generator.
    """

    def __init__(
        self, own_instance: Instance, seeds: Iterable[Address], sizing: Sizing, seed: int
    ) -> None:
        random = Random(seed)
        self._exchange = GossipExchange(own_instance, sizing, random)
        self._detector = FailureDetector(self._exchange, random)
        self._discovery = Discovery(own_instance, seeds, self._exchange, random)
        self._observed_versions: list[VersionObserved] = []
        self._now: float | None = None
        # Time during which this process was not paused, in seconds; all timeouts refer to it.
        self._run_time = 0.0
        self._last_contact = float("-inf")
        self._housekeeping_at = 0.0
        self._has_departed = False

    @property
    def view(self) -> MembershipView:
        """The current view."""
        return self._exchange.table.view(self._last_contact)

    @property
    def last_contact(self) -> float:
        """Monotonic time of the last datagram from any peer, in seconds."""
        return self._last_contact

    def step(self, event: Event, now: float) -> tuple[Effect, ...]:
        """Handle an event and return the resulting effects in order.

        Parameters
        ----------
        event
            What happened.
        now
            Monotonic time in seconds.
        """
        if self._has_departed:
            return ()
        self._advance(now)
        _EVENT_HANDLERS.get(type(event))(self, event)
        effects: tuple[Effect, ...] = (*self._exchange.outbox.drain(), *self._observed_versions)
        self._observed_versions.clear()
        if not self._exchange.table.has_view_changed:
            return effects
        self._exchange.table.has_view_changed = False
        return (*effects, MembershipChanged(self.view))

    def _advance(self, now: float) -> None:
        gap = 0.0 if self._now is None else now - self._now
        self._now = now
        self._run_time += min(gap, MAX_STEP_S)
        if gap >= PAUSE_THRESHOLD_S:
            self._exchange.table.raise_incarnation()
            self._exchange.announce()
            self._exchange.gossip()
            self._detector.restart(self._run_time)

    @_EVENT_HANDLERS.register(Tick)
    def _tick(self, _event: Tick) -> None:
        self._detector.run(self._run_time)
        self._exchange.gossip()
        self._discovery.run(self._run_time)
        if self._run_time >= self._housekeeping_at:
            self._housekeeping_at = self._run_time + HOUSEKEEPING_INTERVAL_S
            self._exchange.reset_challenge_limit()
            self._exchange.table.expire_failed(self._run_time)

    @_EVENT_HANDLERS.register(AnnounceVersion)
    def _announce_version(self, event: AnnounceVersion) -> None:
        if self._exchange.versions.announce(event.name, event.version):
            self._exchange.announce()

    @_EVENT_HANDLERS.register(Leave)
    def _leave(self, _event: Leave) -> None:
        self._exchange.table.leave()
        self._exchange.announce()

    @_EVENT_HANDLERS.register(Depart)
    def _depart(self, _event: Depart) -> None:
        self._exchange.table.depart()
        for peer_id in self._exchange.random_peer_ids(DEPART_FANOUT):
            self._exchange.outbox.send(peer_id, Gossip())
        self._has_departed = True

    @_EVENT_HANDLERS.register(DatagramReceived)
    def _receive(self, event: DatagramReceived) -> None:
        datagram = event.datagram
        own_id = self._exchange.own_id
        if datagram.sender.instance_id == own_id:
            return
        if isinstance(datagram.body, Join):
            self._discovery.on_join(datagram.sender.instance)
        elif datagram.recipient_id == own_id:
            self._last_contact = self._now or 0.0
            updates = self._exchange.apply_datagram(datagram, self._run_time)
            self._observed_versions.extend(updates.versions)
            _BODY_HANDLERS.get(type(datagram.body))(self, datagram, datagram.body, updates)

    @_BODY_HANDLERS.register(Ping)
    def _ping(self, datagram: Datagram, body: Ping, _updates: ReceivedUpdates) -> None:
        self._detector.on_ping(datagram.sender.instance, body)

    @_BODY_HANDLERS.register(PingRequest)
    def _ping_request(
        self, datagram: Datagram, body: PingRequest, _updates: ReceivedUpdates
    ) -> None:
        self._detector.on_ping_request(datagram.sender.instance, body, self._run_time)

    @_BODY_HANDLERS.register(Ack)
    def _ack(self, _datagram: Datagram, body: Ack, _updates: ReceivedUpdates) -> None:
        self._detector.on_ack(body)

    @_BODY_HANDLERS.register(Welcome)
    def _welcome(self, datagram: Datagram, _body: Welcome, updates: ReceivedUpdates) -> None:
        self._discovery.on_welcome(datagram.sender.instance, updates, self._run_time)

    @_BODY_HANDLERS.register(Pull)
    def _pull(self, datagram: Datagram, body: Pull, _updates: ReceivedUpdates) -> None:
        self._discovery.on_pull(datagram.sender.instance, body)

    @_BODY_HANDLERS.register(Page)
    def _page(self, datagram: Datagram, body: Page, updates: ReceivedUpdates) -> None:
        self._discovery.on_page(datagram, body, updates, self._run_time)

    @_BODY_HANDLERS.register(Gossip)
    def _gossip(self, _datagram: Datagram, _body: Gossip, _updates: ReceivedUpdates) -> None:
        """Do nothing: the claims and versions of the datagram are already applied."""
