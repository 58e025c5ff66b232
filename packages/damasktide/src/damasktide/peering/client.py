"""Client for calls to other instances, with one link per peer that is opened on demand."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from returns.result import Failure, Result, Success

from damasktide.peering.authentication import Direction
from damasktide.peering.calls import PeerError, PendingCall
from damasktide.peering.codec import (
    MAX_BODY_BYTES,
    MAX_KIND_CHARS,
    PeerCall,
    PeerFrame,
    PeerReply,
)
from damasktide.peering.links import PeerLink
from damasktide.peering.stream import LinkError, PeerStream
from damasktide.runtime.clock import Clock, MonotonicClock
from damasktide.runtime.task import Task, TaskFailed, every, handles

CONNECT_TIMEOUT_S = 1.0
LINK_IDLE_TIMEOUT_S = 30.0
SWEEP_INTERVAL_S = 5.0
MAX_CALLS_IN_FLIGHT = 1024

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class SubmitCall:
    """Tells a link to write a call, whose result is set in ``pending``."""

    kind: str
    body: bytes
    pending: PendingCall


@dataclass(frozen=True, slots=True)
class SweepLinks:
    """Tells the client and its links to close idle links and to remove abandoned calls."""


@dataclass(frozen=True, slots=True)
class DropLink:
    """Tells the client to close the link to an address; its calls in flight fail immediately."""

    address: Address


@dataclass(frozen=True, slots=True)
class GetLink:
    """Request for the link to an address, which the client opens if there is none."""

    address: Address


class ClientLink(PeerLink):
    """The client end of a link.

    Parameters
    ----------
    address
        Host and port of the peer.
    own_id
        Id of this instance, including its incarnation.
    key
        Key that all instances share.
    clock
        Clock that measures the idle time.
    """

    def __init__(self, address: Address, own_id: str, key: bytes, clock: Clock) -> None:
        super().__init__(f"peer link to {address[0]}:{address[1]}")
        self._address = address
        self._own_id = own_id
        self._key = key
        self._clock = clock
        self._pending_by_call_id: dict[int, PendingCall] = {}
        self._last_call_id = 0
        self._calls_in_flight = 0
        self._last_used_at = clock.now()

    def call(self, kind: str, body: bytes, timeout_s: float) -> Result[bytes, PeerError]:
        """Send a call and wait for its reply; runs in the greenlet that makes the call."""
        if self.is_closed:
            return Failure(PeerError(True, "the link is closed"))
        if self._calls_in_flight >= MAX_CALLS_IN_FLIGHT:
            return Failure(PeerError(True, "too many calls in flight"))
        pending = PendingCall()
        self._calls_in_flight += 1
        try:
            self.tell(SubmitCall(kind, body, pending))
            return pending.wait(timeout_s)
        finally:
            self._calls_in_flight -= 1
            self._last_used_at = self._clock.now()

    def open_stream(self) -> PeerStream:
        """Connect to the peer and perform the handshake."""
        sock = socket.create_connection(self._address, timeout=CONNECT_TIMEOUT_S)
        stream = PeerStream(sock, self._key, Direction.TO_SERVER)
        try:
            stream.handshake_as_client(self._own_id)
        except (OSError, LinkError):
            stream.close()
            raise
        stream.set_timeout(None)
        return stream

    def on_frame(self, frame: PeerFrame) -> None:
        """Pass a reply to the greenlet that waits for it."""
        if not isinstance(frame, PeerReply):
            raise LinkError("the peer sent something other than a reply")
        pending = self._pending_by_call_id.pop(frame.call_id, None)
        if pending is None:
            return  # The call has timed out, and nothing waits for its reply.
        if frame.error is None:
            pending.resolve(Success(frame.body))
        else:
            pending.fail(frame.error)

    def on_stop(self) -> None:
        """Close the connection and fail all pending calls."""
        super().on_stop()
        for pending in self._pending_by_call_id.values():
            pending.fail("the link was lost")
        self._pending_by_call_id.clear()
        while not self._inbox.empty():
            message = self._inbox.get().message
            if isinstance(message, SubmitCall):
                message.pending.fail("the link was lost")

    @handles(SubmitCall)
    def _submit(self, message: SubmitCall) -> None:
        pending = message.pending
        if pending.is_abandoned:
            return
        if self.is_closed:
            pending.fail("the link was lost")
            return
        self._last_call_id += 1
        self._pending_by_call_id[self._last_call_id] = pending
        pending.is_written = True
        self.write(PeerCall(self._last_call_id, message.kind, message.body))

    @handles(SweepLinks)
    def _sweep(self, _message: SweepLinks) -> None:
        self._pending_by_call_id = {
            call_id: pending
            for call_id, pending in self._pending_by_call_id.items()
            if not pending.is_abandoned
        }
        if (
            not self._calls_in_flight
            and self._clock.now() - self._last_used_at >= LINK_IDLE_TIMEOUT_S
        ):
            self.end("idle")


class PeerClient(Task):
    """Calls other instances.

    Parameters
    ----------
    own_id
        Id of this instance, including its incarnation.
    key
        Key that all instances share.
    clock
        Clock that measures the idle time of links.
    on_failure
        Called if the greenlet of the client fails.
    """

    def __init__(
        self,
        own_id: str,
        key: bytes,
        clock: Clock | None = None,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("peer client", on_failure)
        self._own_id = own_id
        self._key = key
        self._clock = clock or MonotonicClock()
        self._link_by_address: dict[Address, ClientLink] = {}

    def call(
        self, host: str, port: int, kind: str, body: bytes, timeout_s: float
    ) -> Result[bytes, PeerError]:
        """Call the instance at an address and wait for its reply.

        Parameters
        ----------
        host, port
            Address of the peer server.
        kind
            Name under which the handler is registered.
        body
            Request, at most 2 MiB.
        timeout_s
            Longest time in seconds to wait for the reply.

        Returns
        -------
        Result[bytes, PeerError]
            The reply, or an error that tells whether the call was written.
        """
        if len(body) > MAX_BODY_BYTES or len(kind) > MAX_KIND_CHARS:
            return Failure(PeerError(True, "the call is too long"))
        until = time.monotonic() + timeout_s
        try:
            link: ClientLink = self.ask(GetLink((host, port)), timeout_s)
        except gevent.Timeout:
            if time.monotonic() < until:
                raise  # A gevent.Timeout that surrounds this call has expired.
            return Failure(PeerError(True, "the client did not return a link in time"))
        return link.call(kind, body, max(0.0, until - time.monotonic()))

    def on_stop(self) -> None:
        """Close all links; their calls in flight fail."""
        for link in self._link_by_address.values():
            link.end("the client is stopping")

    @handles(GetLink)
    def _get_link(self, message: GetLink) -> ClientLink:
        link = self._link_by_address.get(message.address)
        if link is None or link.is_closed:
            link = ClientLink(message.address, self._own_id, self._key, self._clock)
            link.start()
            self._link_by_address[message.address] = link
        return link

    @handles(DropLink)
    def _drop_link(self, message: DropLink) -> None:
        link = self._link_by_address.pop(message.address, None)
        if link is not None:
            link.end("the peer does not respond")

    @every(SWEEP_INTERVAL_S)
    def _sweep_links(self) -> None:
        self._sweep(SweepLinks())

    @handles(SweepLinks)
    def _sweep(self, message: SweepLinks) -> None:
        self._link_by_address = {
            address: link for address, link in self._link_by_address.items() if not link.is_closed
        }
        for link in self._link_by_address.values():
            link.tell(message)
