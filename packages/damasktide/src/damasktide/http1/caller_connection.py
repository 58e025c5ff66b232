"""Server side of a caller's connection, which carries one request at a time."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from time import monotonic

from gevent import get_hub, socket
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from damasktide.http1.errors import BadRequestError
from damasktide.http1.messages import RequestHead, encode_response

RECEIVE_BYTES = 65_536
# The kernel drops a connection whose peer acknowledges nothing for this long.
TCP_USER_TIMEOUT_MS = 5_000
# Timeout for a write of a response that makes no progress.
SEND_TIMEOUT_S = 5.0
_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the duration of callers' requests.

    Attributes
    ----------
    header_bytes, body_bytes
        Largest head and body in bytes.
    header_timeout_s
        Longest time in seconds from the first byte of a request to the end of its head.
    idle_timeout_s
        Longest time in seconds between two requests, and between two parts of a body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class _RequestEvents:
    """Parser callbacks that collect the parts of one request."""

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_parts: deque[bytes] = deque()
        self.has_head = False
        self.is_complete = False
        self.has_pipelined_request = False

    def on_message_begin(self) -> None:
        self.has_pipelined_request = self.is_complete

    def on_url(self, target: bytes) -> None:
        self.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.has_head = True

    def on_body(self, data: bytes) -> None:
        self.body_parts.append(data)

    def on_message_complete(self) -> None:
        self.is_complete = True


class CallerConnection:
    """A connection of a caller, used by one greenlet.

    Parameters
    ----------
    sock
        Accepted socket.
    limits
        Returns the current limits.

    Attributes
    ----------
    is_disconnected
        Whether the caller has closed the connection.
    is_idle
        Whether the connection waits for a request.
    has_started_response
        Whether the gateway has begun to write a response to the current request.
    received_at
        Monotonic time in seconds at which the head of the current request was complete.
    """

    def __init__(self, sock: socket.socket, limits: Callable[[], CallerLimits]) -> None:
        self._socket = sock
        self._limits = limits
        self._buffer = b""
        self._events = _RequestEvents()
        self._parser: HttpRequestParser | None = None
        self._body_bytes = 0
        # Bytes of trailers and chunk extensions since the last part of the body.
        self._idle_body_bytes = 0
        self._remaining_body_bytes: int | None = None
        self._on_disconnect: Callable[[], None] | None = None
        self._read_watcher = get_hub().loop.io(sock.fileno(), 1)
        self._is_closed_for_reading = False
        self.is_disconnected = False
        self.is_idle = True
        self.has_started_response = False
        self.received_at = 0.0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def read_request(self) -> RequestHead | None:
        """Return the head of the next request, or None at the end or after the idle timeout.

        Raises
        ------
        BadRequestError
            If the head is malformed or too large, or does not arrive in time.
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
            If the body is malformed or too large, or does not arrive in time.
        """
        limits = self._limits()
        while True:
            while self._events.body_parts:
                data = self._events.body_parts.popleft()
                self._body_bytes += len(data)
                if self._body_bytes > limits.body_bytes:
                    raise BadRequestError(413, f"the body exceeds {limits.body_bytes} bytes")
                yield data
            if self._events.is_complete:
                return
            self._feed_parser(limits)

    @property
    def is_body_read(self) -> bool:
        """Whether the complete body of the request has been received."""
        return self._events.is_complete

    def send(self, data: bytes) -> None:
        """Write ``data`` to the caller.

        Raises
        ------
        OSError
            If the data cannot be written within the timeout.
        """
        self.has_started_response = True
        self._socket.settimeout(SEND_TIMEOUT_S)
        self._socket.sendall(data)

    def send_plain(self, status: int, reason: bytes, detail: str) -> None:
        """Send a plain-text response that announces the end of the connection."""
        headers = ((b"Content-Type", b"text/plain"), (b"Connection", b"close"))
        self.send(encode_response(status, reason, headers, f"{detail}\n".encode()))

    def watch_for_disconnect(self, on_disconnect: Callable[[], None]) -> None:
        """Call ``on_disconnect`` in the hub's greenlet once the caller closes the connection.

        After :meth:`close_if_idle` a disconnect cannot be noticed, because the input has ended.
        """
        self._on_disconnect = on_disconnect
        if self._is_closed_for_reading:
            return
        if self._events.is_complete and not self._buffer:
            self._read_watcher.start(self._check_for_disconnect)

    def stop_watching(self) -> None:
        """Stop watching the caller."""
        self._on_disconnect = None
        self._read_watcher.stop()

    def close(self) -> None:
        """Close the connection; safe to call twice."""
        self._read_watcher.stop()
        self._socket.close()

    def close_if_idle(self) -> None:
        """Close the connection for reading if it waits for a request, which ends the wait.

        A request that has already arrived is still read.
        """
        if self.is_idle:
            self._is_closed_for_reading = True
            try:
                self._socket.shutdown(socket.SHUT_RD)
            except OSError:
                # The caller has already closed the connection.
                self.is_disconnected = True

    def _check_for_disconnect(self) -> None:
        try:
            data = self._socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._read_watcher.stop()
        if data:
            return
        self.is_disconnected = True
        if self._on_disconnect is not None:
            self._on_disconnect()

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request.

        The limit is read again after each wait, because the configuration may have raised it.
        """
        idle_since = monotonic()
        while True:
            remaining_s = idle_since + self._limits().idle_timeout_s - monotonic()
            if remaining_s <= 0:
                return False
            if self._receive(remaining_s):
                return True
            if self.is_disconnected:
                return False

    def _receive(self, timeout_s: float) -> bool:
        """Append received bytes to the buffer.

        Returns False at the end of the connection or after the timeout.
        """
        try:
            self._socket.settimeout(max(0.001, timeout_s))
            data = self._socket.recv(RECEIVE_BYTES)
        except TimeoutError:
            return False
        except OSError:
            # A reset is handled like an orderly close.
            data = b""
        self._buffer += data
        self.is_disconnected = not data
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
        self._body_bytes = self._idle_body_bytes = 0
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
        self._remaining_body_bytes = int(length) if length is not None else None
        return head

    def _feed_parser(self, limits: CallerLimits) -> None:
        if not self._buffer and not self._receive(limits.idle_timeout_s):
            raise BadRequestError(408, "the body did not arrive in time")
        assert self._parser is not None
        data, self._buffer = self._split_body(self._buffer)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            raise BadRequestError(400, f"malformed request body: {error}") from error
        has_progress = self._events.body_parts or self._events.is_complete
        self._idle_body_bytes = 0 if has_progress else self._idle_body_bytes + len(data)
        if self._idle_body_bytes > limits.header_bytes:
            raise BadRequestError(431, f"the trailers exceed {limits.header_bytes} bytes")
        if self._events.has_pipelined_request:
            raise BadRequestError(400, "a request follows before the response to this one")

    def _split_body(self, data: bytes) -> tuple[bytes, bytes]:
        """Split received bytes into a part of the body and what follows the body."""
        if self._remaining_body_bytes is None:
            return data, b""
        own, rest = data[: self._remaining_body_bytes], data[self._remaining_body_bytes :]
        self._remaining_body_bytes -= len(own)
        return own, rest
