"""A connection to a server that carries one call at a time."""

import struct
from collections import deque
from collections.abc import Iterator
from time import monotonic

from gevent import socket
from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from damasktide.http1.errors import CallError, CallFailure
from damasktide.http1.messages import ResponseHead, response_head

RECEIVE_BYTES = 65_536
# Unacknowledged bytes end a connection after this time, so that one that a partition silenced
# does not stay in the pool for the kernel's default of minutes.
USER_TIMEOUT_MS = 4_000
# Longest time without progress while a request is written.
SEND_TIMEOUT_S = 2.0
_LINGER_RESET = struct.pack("ii", 1, 0)


class _ResponseEvents:
    """Collects what the parser finds: a head, then data, then None at the end of a message."""

    def __init__(self) -> None:
        self.found: deque[ResponseHead | bytes | None] = deque()
        self.method = b"GET"
        self._parser: HttpResponseParser | None = None
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []

    def bind(self, parser: HttpResponseParser) -> None:
        self._parser = parser

    def on_message_begin(self) -> None:
        self._reason = b""
        self._headers = []

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        status = self._parser.get_status_code()
        keeps_alive = self._parser.should_keep_alive()
        head = response_head(status, self._reason, tuple(self._headers), keeps_alive, self.method)
        self.found.append(head)

    def on_body(self, data: bytes) -> None:
        self.found.append(data)

    def on_message_complete(self) -> None:
        self.found.append(None)


class ServerConnection:
    """A TCP connection to a server, owned by one greenlet at a time.

    Parameters
    ----------
    address
        Host and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_limit_s = float("inf")
        self.calls = 0
        self.is_broken = False
        self._socket: socket.socket | None = None
        self._events = _ResponseEvents()
        self._parser = HttpResponseParser(self._events)
        self._events.bind(self._parser)
        self._head: ResponseHead | None = None
        self._is_ended = True

    @property
    def is_open(self) -> bool:
        """Whether the connection has been opened and not closed."""
        return self._socket is not None

    def connect(self, timeout_s: float) -> None:
        """Open the connection.

        Raises
        ------
        CallError
            With ``NOT_CONNECTED`` if the server does not accept within ``timeout_s`` seconds.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket = sock
        try:
            sock.settimeout(max(0.001, timeout_s))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            sock.connect(self.address)
        except OSError as error:
            self.close()
            refused = isinstance(error, ConnectionRefusedError)
            raise CallError(CallFailure.NOT_CONNECTED, str(error), refused) from error

    def send(self, data: bytes) -> None:
        """Write a request, or more of its body.

        Raises
        ------
        CallError
            ``NOT_SENT`` if no byte was taken, otherwise ``CLOSED``.
        """
        if self._socket is None:
            raise CallError(CallFailure.ABORTED)
        self.calls += 1
        self._is_ended = False
        view = memoryview(data)
        sent = 0
        try:
            self._socket.settimeout(SEND_TIMEOUT_S)
            while sent < len(view):
                sent += self._socket.send(view[sent:])
        except OSError as error:
            self.is_broken = True
            failure = CallFailure.CLOSED if sent else CallFailure.NOT_SENT
            raise CallError(failure, str(error)) from error

    def read_head(self, method: bytes, until: float) -> ResponseHead:
        """Return the head of the next response, informational ones left out.

        After ``TIMED_OUT`` it may be called again, because no byte is lost.

        Parameters
        ----------
        method
            Method of the request, which decides whether the response has a body.
        until
            Monotonic time in seconds at which to give up.

        Raises
        ------
        CallError
            If there is none.
        """
        self._events.method = method
        while True:
            event = self._next_event(until)
            if isinstance(event, ResponseHead):
                if event.status >= 200:
                    self._head = event
                    return event
                self._skip_informational(until)

    def read_body(self, until: float) -> Iterator[bytes]:
        """Yield the body of the response; it is whole if the iterator ends without an error.

        Raises
        ------
        CallError
            If the body is not whole by ``until``, a monotonic time in seconds.
        """
        assert self._head is not None
        if self._head.content_length == 0 and self._events.method == b"HEAD":
            # The parser does not know that no body follows, so it cannot be used again.
            self.is_broken = True
            return
        while True:
            event = self._next_event(until)
            if event is None:
                self._is_ended = True
                return
            if isinstance(event, bytes):
                yield event

    def exchange(self, request: bytes, method: bytes, until: float) -> tuple[ResponseHead, bytes]:
        """Send a whole request and return the whole response.

        Raises
        ------
        CallError
            If the response is not whole by ``until``, a monotonic time in seconds.
        """
        self.send(request)
        head = self.read_head(method, until)
        return head, b"".join(self.read_body(until))

    def is_reusable(self) -> bool:
        """Return whether another call can be sent: a whole response and not a byte more."""
        if self.is_broken or not self._is_ended or self._events.found:
            return False
        return self._head is None or self._head.keeps_alive

    def has_unexpected_input(self) -> bool:
        """Return whether an idle connection was closed or carries bytes nobody asked for."""
        if self._socket is None:
            return True
        try:
            # The plain socket below gevent's does not block. A look at it costs one call and
            # has no bound on descriptors, unlike select with its 1,024.
            self._socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            self.is_broken = True
        return True

    def has_early_response(self) -> bool:
        """Return whether the server answers while the request is still being written."""
        return self.has_unexpected_input()

    def abort(self) -> None:
        """End the call from another greenlet; the owner gets ``ABORTED`` or ``CLOSED``."""
        self.is_broken = True
        if self._socket is not None:
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                self.close()

    def reset(self) -> None:
        """Close with a reset, so that bytes still on their way are discarded."""
        if self._socket is not None:
            try:
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            except OSError:
                self.is_broken = True
        self.close()

    def close(self) -> None:
        """Close the connection; safe to call twice."""
        self.is_broken = True
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _skip_informational(self, until: float) -> None:
        while self._next_event(until) is not None:
            pass

    def _next_event(self, until: float) -> ResponseHead | bytes | None:
        while not self._events.found:
            self._receive(until)
        return self._events.found.popleft()

    def _receive(self, until: float) -> None:
        if self._socket is None:
            raise CallError(CallFailure.ABORTED)
        remaining_s = until - monotonic()
        if remaining_s <= 0:
            raise CallError(CallFailure.TIMED_OUT)
        try:
            self._socket.settimeout(remaining_s)
            data = self._socket.recv(RECEIVE_BYTES)
        except TimeoutError as error:
            raise CallError(CallFailure.TIMED_OUT) from error
        except OSError as error:
            self.is_broken = True
            raise CallError(CallFailure.CLOSED, str(error)) from error
        if not data:
            self._take_end()
            return
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade, ValueError) as error:
            self.is_broken = True
            if not self._events.found:
                raise CallError(CallFailure.NOT_HTTP, str(error)) from error

    def _take_end(self) -> None:
        self.is_broken = True
        head = self._head
        if head is None or not head.ends_with_connection:
            raise CallError(CallFailure.CLOSED, "the connection ended early")
        self._events.found.append(None)
