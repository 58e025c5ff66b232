"""Server for calls from other instances."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer
from loguru import logger

from damasktide.peering.authentication import Direction
from damasktide.peering.codec import MAX_BODY_BYTES, PeerCall, PeerFrame, PeerReply
from damasktide.peering.links import PeerLink
from damasktide.peering.stream import LinkError, PeerStream
from damasktide.runtime.registry import Registry
from damasktide.runtime.task import Task, TaskFailed, handles

MAX_LINKS = 1024
MAX_RUNNING_CALLS_PER_LINK = 256
# Longer than LINK_IDLE_TIMEOUT_S of clients, so that a server does not close a link that a client
# is about to use.
SERVER_IDLE_TIMEOUT_S = 90.0
DRAIN_TIMEOUT_S = 2.0

CallHandler = Callable[[str, bytes], bytes]


@dataclass(frozen=True, slots=True)
class ListeningAddress:
    """Request for the host and port on which the server listens."""


class ServerLink(PeerLink):
    """The server end of a link.

    Parameters
    ----------
    sock
        Accepted socket.
    own_id
        Id of this instance, including its incarnation.
    key
        Key that all instances share.
    handlers
        Call handlers by kind.
    """

    def __init__(
        self, sock: Any, own_id: str, key: bytes, handlers: Registry[str, CallHandler]
    ) -> None:
        super().__init__("peer link of a client")
        self._socket = sock
        self._own_id = own_id
        self._key = key
        self._handlers = handlers
        self._peer_id = ""
        self._running_calls = Pool(MAX_RUNNING_CALLS_PER_LINK)

    def open_stream(self) -> PeerStream:
        """Perform the handshake with the client."""
        stream = PeerStream(self._socket, self._key, Direction.TO_CLIENT)
        try:
            self._peer_id = stream.handshake_as_server(self._own_id)
        except (OSError, LinkError):
            stream.close()
            raise
        self.name = f"peer link of {self._peer_id}"
        return stream

    def on_frame(self, frame: PeerFrame) -> None:
        """Run a call; blocks while ``MAX_RUNNING_CALLS_PER_LINK`` calls are running."""
        if not isinstance(frame, PeerCall):
            raise LinkError("the peer sent something other than a call")
        if self._stream is not None:
            # The timeout of the handshake applies until the first authentic frame arrives.
            self._stream.set_timeout(SERVER_IDLE_TIMEOUT_S)
        self._running_calls.spawn(self._run_call, frame)

    def drain(self, timeout_s: float) -> None:
        """Stop reading calls and wait for the running ones."""
        if self._reader is not None:
            self._reader.kill()
        self._running_calls.join(timeout=timeout_s)
        self.end("the server is stopping")

    def wait_closed(self) -> None:
        """Wait until the link is closed."""
        if self._greenlet is not None:
            self._greenlet.join()

    def _run_call(self, call: PeerCall) -> None:
        reply = self._reply_to(call)
        if self.is_closed:
            return
        # Waiting until the reply is written bounds the replies that are held in memory.
        try:
            self.ask(reply)
        except gevent.Timeout:
            self.end("reply not written in time")

    def _reply_to(self, call: PeerCall) -> PeerReply:
        if call.kind not in self._handlers:
            return PeerReply(call.call_id, b"", f"no handler for {call.kind!r}")
        try:
            body = self._handlers.get(call.kind)(self._peer_id, call.body)
        except Exception:
            logger.bind(kind=call.kind, peer=self._peer_id).exception("call handler failed")
            return PeerReply(call.call_id, b"", "the handler failed")
        if len(body) > MAX_BODY_BYTES:
            return PeerReply(call.call_id, b"", "the reply is too long")
        return PeerReply(call.call_id, body)

    @handles(PeerReply)
    def _write_reply(self, reply: PeerReply) -> None:
        self.write(reply)


class PeerServer(Task):
    """Listens for links from other instances and serves their calls.

    Parameters
    ----------
    own_id
        Id of this instance, including its incarnation.
    host, port
        Address to listen on; with port 0 the system assigns a port.
    key
        Key that all instances share.
    handlers
        Call handlers by kind; each takes the id of the calling instance and the body of the call,
        and returns the body of the reply.
    on_failure
        Called if the task fails, for example because the socket cannot be opened.
    """

    def __init__(
        self,
        own_id: str,
        host: str,
        port: int,
        key: bytes,
        handlers: Registry[str, CallHandler],
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("peer server", on_failure)
        self._own_id = own_id
        self._address = (host, port)
        self._key = key
        self._handlers = handlers
        self._server: Any = None
        self._links: set[ServerLink] = set()

    def on_start(self) -> None:
        """Start to listen."""
        self._server = StreamServer(
            self._address, self._serve_link, backlog=MAX_LINKS, spawn=Pool(MAX_LINKS)
        )
        self._server.start()

    def on_stop(self) -> None:
        """Stop accepting links, let running calls finish and close all links."""
        if self._server is not None:
            self._server.close()
        with gevent.Timeout(DRAIN_TIMEOUT_S, False):
            gevent.joinall([gevent.spawn(link.drain, DRAIN_TIMEOUT_S) for link in self._links])
        for link in tuple(self._links):
            link.end("the server is stopping")

    @handles(ListeningAddress)
    def _listening_address(self, _message: ListeningAddress) -> tuple[str, int]:
        host, port = self._server.address
        return host, port

    def _serve_link(self, sock: Any, _address: object) -> None:
        link = ServerLink(sock, self._own_id, self._key, self._handlers)
        self._links.add(link)
        link.start()
        link.wait_closed()
        self._links.discard(link)
