"""A connection of a caller: requests are read one after the other and answered in order."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from time import monotonic

from gevent import get_hub, socket
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from damasktide.http1.errors import BadRequestError
from damasktide.http1.messages import RequestHead, encode_response

RECEIVE_BYTES = 65_536
USER_TIMEOUT_MS = 5_000
# Longest time without progress while a response is written.
SEND_TIMEOUT_S = 5.0
_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes
    ----------
    header_bytes, body_bytes
        Largest head and body in bytes.
    header_timeout_s
        Longest time from the first byte of a request to the end of its head.
    idle_timeout_s
        Longest time between requests, and between parts of a body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class _RequestEvents:
    """Collects what the parser finds of one request."""

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.data: deque[bytes] = deque()
        self.has_head = False
        self.is_complete = False
        self.has_next = False

    def on_message_begin(self) -> None:
        self.has_next = self.is_complete

    def on_url(self, target: bytes) -> None:
        self.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.has_head = True

    def on_body(self, data: bytes) -> None:
        self.data.append(data)

    def on_message_complete(self) -> None:
        self.is_complete = True


class CallerConnection:
    """A caller's connection, owned by one greenlet.

    Parameters
    ----------
    sock
        Accepted socket.
    limits
        Returns the limits in force.
    """

    def __init__(self, sock: socket.socket, limits: Callable[[], CallerLimits]) -> None:
        self._socket = sock
        self._limits = limits
        self._buffer = b""
        self._events = _RequestEvents()
        self._parser: HttpRequestParser | None = None
        self._body_bytes = 0
        self._body_left: int | None = None
        self._on_gone: Callable[[], None] | None = None
        self._watcher = get_hub().loop.io(sock.fileno(), 1)
        self.is_gone = False
        self.is_idle = True
        self.has_started_response = False
        self.received_at = 0.0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def read_request(self) -> RequestHead | None:
        """Return the head of the next request, or None if the caller sends no more.

        Raises
        ------
        BadRequestError
            If the head is malformed, too large or takes too long.
        """
        self.is_idle = not self._buffer
        if not self._buffer and not self._wait_for_request():
            return None
        self.is_idle = False
        limits = self._limits()
        self.has_started_response = False
        raw = self._read_head_bytes(limits)
        if raw is None:
            return None
        self.received_at = monotonic()
        return self._parse_head(raw)

    def read_body(self) -> Iterator[bytes]:
        """Yield the body of the request as it arrives.

        Raises
        ------
        BadRequestError
            If the body is malformed, too large or stops arriving.
        """
        limits = self._limits()
        while True:
            while self._events.data:
                data = self._events.data.popleft()
                self._body_bytes += len(data)
                if self._body_bytes > limits.body_bytes:
                    raise BadRequestError(413, f"the body exceeds {limits.body_bytes} bytes")
                yield data
            if self._events.is_complete:
                return
            self._feed_more(limits)

    @property
    def is_body_read(self) -> bool:
        """Whether the whole body of the request has been received."""
        return self._events.is_complete

    def send(self, data: bytes) -> None:
        """Write ``data`` to the caller.

        Raises
        ------
        OSError
            If the caller does not take it.
        """
        self.has_started_response = True
        self._socket.settimeout(SEND_TIMEOUT_S)
        self._socket.sendall(data)

    def send_plain(self, status: int, reason: bytes, detail: str) -> None:
        """Answer with a short text and close after it."""
        headers = ((b"Content-Type", b"text/plain"), (b"Connection", b"close"))
        self.send(encode_response(status, reason, headers, f"{detail}\n".encode()))

    def watch(self, on_gone: Callable[[], None]) -> None:
        """Call ``on_gone`` once in the hub if the caller closes its side."""
        self._on_gone = on_gone
        if self._events.is_complete and not self._buffer:
            self._watcher.start(self._look)

    def unwatch(self) -> None:
        """Stop watching the caller."""
        self._on_gone = None
        self._watcher.stop()

    def close(self) -> None:
        """Close the connection; safe to call twice."""
        self._watcher.stop()
        self._socket.close()

    def close_if_idle(self) -> None:
        """End the wait for a next request if none has begun."""
        if self.is_idle:
            try:
                self._socket.shutdown(socket.SHUT_RD)
            except OSError:
                # The caller closed it first, which ends the wait as well.
                self.is_gone = True

    def _look(self) -> None:
        try:
            data = self._socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._watcher.stop()
        if data:
            return
        self.is_gone = True
        if self._on_gone is not None:
            self._on_gone()

    def _wait_for_request(self) -> bool:
        """Wait for the first byte; the limit is read again, because it may have grown."""
        idle_since = monotonic()
        while True:
            remaining_s = idle_since + self._limits().idle_timeout_s - monotonic()
            if remaining_s <= 0:
                return False
            if self._receive(remaining_s):
                return True
            if self.is_gone:
                return False

    def _receive(self, timeout_s: float) -> bool:
        """Append received bytes to the buffer; return False at the end or after the timeout."""
        try:
            self._socket.settimeout(max(0.001, timeout_s))
            data = self._socket.recv(RECEIVE_BYTES)
        except TimeoutError:
            return False
        except OSError:
            # A reset ends the connection like an orderly end before the next request.
            data = b""
        self._buffer += data
        self.is_gone = not data
        return bool(data)

    def _read_head_bytes(self, limits: CallerLimits) -> bytes | None:
        until = monotonic() + limits.header_timeout_s
        while True:
            # An empty line before a request line is allowed (RFC 9112, section 2.2).
            self._buffer = self._buffer.lstrip(b"\r\n")
            end = self._buffer.find(_HEAD_END)
            if end > limits.header_bytes or (end < 0 and len(self._buffer) > limits.header_bytes):
                raise BadRequestError(431, f"the head exceeds {limits.header_bytes} bytes")
            if end >= 0:
                raw = self._buffer[: end + len(_HEAD_END)]
                self._buffer = self._buffer[end + len(_HEAD_END) :]
                return raw
            remaining_s = until - monotonic()
            if remaining_s <= 0:
                raise BadRequestError(408, "the head did not arrive in time")
            if not self._receive(remaining_s):
                if monotonic() >= until:
                    raise BadRequestError(408, "the head did not arrive in time")
                return None

    def _parse_head(self, raw: bytes) -> RequestHead:
        self._events = _RequestEvents()
        self._body_bytes = 0
        self._parser = HttpRequestParser(self._events)
        try:
            self._parser.feed_data(raw)
        except HttpParserUpgrade:
            raise BadRequestError(400, "upgrades are not supported") from None
        except HttpParserError as error:
            raise BadRequestError(400, f"malformed request head: {error}") from error
        if not self._events.has_head:
            raise BadRequestError(400, "malformed request head")
        head = RequestHead(
            self._parser.get_method(),
            self._events.target,
            tuple(self._events.headers),
            self._parser.should_keep_alive(),
            not self._events.is_complete,
        )
        hosts = [value for name, value in head.headers if name.lower() == b"host"]
        if len(hosts) != 1:
            raise BadRequestError(400, "exactly one Host field is required")
        if not head.target.startswith(b"/"):
            raise BadRequestError(400, "the request target must be a path")
        length = head.field(b"content-length")
        self._body_left = int(length) if length is not None else None
        return head

    def _feed_more(self, limits: CallerLimits) -> None:
        if not self._buffer and not self._receive(limits.idle_timeout_s):
            raise BadRequestError(408, "the body did not arrive in time")
        assert self._parser is not None
        data, self._buffer = self._split_body(self._buffer)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            raise BadRequestError(400, f"malformed request body: {error}") from error
        if self._events.has_next:
            raise BadRequestError(400, "a request follows before the response to this one")

    def _split_body(self, data: bytes) -> tuple[bytes, bytes]:
        """Return what belongs to the body, and what follows it on the connection."""
        if self._body_left is None:
            return data, b""
        own, rest = data[: self._body_left], data[self._body_left :]
        self._body_left -= len(own)
        return own, rest
