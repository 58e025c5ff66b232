"""The task that runs the membership protocol over a UDP socket."""

import errno
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

import gevent
from gevent import socket
from loguru import logger

from damasktide.membership.datagrams import Datagram
from damasktide.membership.guard import DatagramGuard
from damasktide.membership.instances import Instance
from damasktide.membership.joining import Address
from damasktide.membership.messages import (
    AnnounceVersion,
    Depart,
    GetLastContact,
    GetView,
    Leave,
    MembershipChanged,
    MembershipView,
)
from damasktide.membership.outbox import SendDatagram
from damasktide.membership.sizing import MAX_DATAGRAM_BYTES, DatagramSizing
from damasktide.membership.swim import TICK_INTERVAL_S, DatagramReceived, Event, SwimState, Tick
from damasktide.runtime.clock import Clock, MonotonicClock
from damasktide.runtime.task import Task, TaskFailed, every, handles

# The reader yields after each batch, so that a flood of datagrams does not starve other greenlets.
READ_BATCH = 64
MAX_WAITING_DATAGRAMS = 1024


class Subscriber(Protocol):
    """A task that receives :class:`MembershipChanged` and :class:`VersionObserved` messages."""

    def tell(self, message: object) -> None:
        """Queue ``message`` without waiting for its handling."""


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Adds a subscriber; it immediately receives the current view."""

    subscriber: Subscriber


@dataclass(frozen=True, slots=True)
class _SocketFailed:
    """Notifies the task that its socket can no longer be read."""

    reason: str


class MembershipTask(Task):
    """Owns the UDP socket and the state machine of the protocol.

    Parameters
    ----------
    own_instance
        This instance; the socket is bound to its host and gossip port.
    seeds
        Addresses at which to look for other instances.
    key
        Key shared by all instances.
    seed
        Seed of the random number generator.
    clock
        Source of monotonic time.
    on_failure
        Called if the socket cannot be opened or fails.
    """

    def __init__(
        self,
        own_instance: Instance,
        seeds: Iterable[Address],
        key: bytes,
        seed: int,
        clock: Clock | None = None,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("membership", on_failure)
        self._address = (own_instance.host, own_instance.gossip_port)
        self._state = SwimState(own_instance, seeds, DatagramSizing(), seed)
        self._guard = DatagramGuard(key)
        self._clock = clock or MonotonicClock()
        self._subscribers: list[Subscriber] = []
        self._socket: Any = None
        self._reader: Any = None

    @property
    def last_contact(self) -> float:
        """Monotonic time of the last datagram from any peer, in seconds; -inf if none."""
        return self._state.last_contact

    def on_start(self) -> None:
        """Bind the socket and start the reader."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self._address)
        self._reader = gevent.spawn(self._read)

    def on_stop(self) -> None:
        """Stop the reader and close the socket."""
        if self._reader is not None:
            self._reader.kill(block=False)
        if self._socket is not None:
            self._socket.close()

    @every(TICK_INTERVAL_S)
    def _tick(self) -> None:
        self._apply(Tick())

    @handles(Datagram)
    def _receive(self, datagram: Datagram) -> None:
        self._apply(DatagramReceived(datagram))

    @handles(AnnounceVersion)
    def _announce_version(self, message: AnnounceVersion) -> None:
        self._apply(message)

    @handles(Leave)
    def _leave(self, message: Leave) -> None:
        self._apply(message)

    @handles(Depart)
    def _depart(self, message: Depart) -> None:
        self._apply(message)

    @handles(Subscribe)
    def _subscribe(self, message: Subscribe) -> None:
        self._subscribers.append(message.subscriber)
        message.subscriber.tell(MembershipChanged(self._state.view))

    @handles(GetView)
    def _get_view(self, _message: GetView) -> MembershipView:
        return self._state.view

    @handles(GetLastContact)
    def _get_last_contact(self, _message: GetLastContact) -> float:
        return self._state.last_contact

    @handles(_SocketFailed)
    def _fail(self, message: _SocketFailed) -> None:
        raise OSError(f"membership socket can no longer be read: {message.reason}")

    def _apply(self, event: Event) -> None:
        for effect in self._state.step(event, self._clock.now()):
            if isinstance(effect, SendDatagram):
                self._send(effect)
            else:
                for subscriber in self._subscribers:
                    subscriber.tell(effect)

    def _send(self, effect: SendDatagram) -> None:
        try:
            self._socket.sendto(self._guard.seal(effect.datagram), effect.address)
        except OSError as error:
            # An unreachable network is equivalent to a lost datagram; a failed socket ends the
            # reader.
            logger.bind(errno=errno.errorcode.get(error.errno or 0)).debug("datagram not sent")

    def _read(self) -> None:
        try:
            while True:
                for _ in range(READ_BATCH):
                    self._read_datagram()
                gevent.sleep(0)
        except OSError as error:
            self.tell(_SocketFailed(str(error)))

    def _read_datagram(self) -> None:
        data, _address = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
        datagram = self._guard.unseal(data)
        if datagram is not None and self._inbox.qsize() < MAX_WAITING_DATAGRAMS:
            self.tell(datagram)
