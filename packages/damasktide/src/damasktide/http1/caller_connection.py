"""Server side of a caller's connection, which may carry pipelined requests."""

import struct
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, auto
from fcntl import ioctl
from termios import TIOCOUTQ
from time import monotonic
from typing import Protocol

from gevent import get_hub, socket
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from damasktide.http1.chunked_body import ChunkedBodyScanner
from damasktide.http1.errors import BadRequestError
from damasktide.http1.messages import RequestHead, encode_response

RECEIVE_BYTES = 65_536
# The kernel drops a connection whose peer acknowledges nothing for this long.
TCP_USER_TIMEOUT_MS = 5_000
# Timeout for a write of a response that makes no progress.
SEND_TIMEOUT_S = 5.0
# While input is pending or has ended, a reset does not make the socket readable again; the state
# of the connection is then checked at this interval.
RESET_CHECK_INTERVAL_S = 0.1
# Limits on the input that is discarded before a connection is closed. Closing it with unread input
# would reset it, which discards responses that the kernel has not sent yet. While there are such
# responses, input is discarded for as long as the caller reads them.
LINGER_S = 1.0
MAX_LINGER_BYTES = 1024 * 1024
LINGER_CHECK_INTERVAL_S = 0.1
_HEAD_END = b"\r\n\r\n"
# Values of `tcpi_state`, the first byte of TCP_INFO, after a reset and after the end of the input.
_TCP_STATE_CLOSE = 7
_TCP_STATE_CLOSE_WAIT = 8
# A caller that ends its input behind pipelined requests may have closed only its sending side. It
# gets the responses of this time; then it counts as gone, because targets must not work for half a
# second for a caller that has left.
HALF_CLOSE_GRACE_S = 0.2


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
        self.has_second_message = False
        self.keeps_alive = True
        self._parser: HttpRequestParser | None = None

    def bind(self, parser: HttpRequestParser) -> None:
        self._parser = parser

    def on_message_begin(self) -> None:
        self.has_second_message = self.is_complete

    def on_url(self, target: bytes) -> None:
        self.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.has_head = True
        assert self._parser is not None
        # The parser forgets the fields of a request without a body as soon as it is complete.
        self.keeps_alive = self._parser.should_keep_alive()
        # A cycle of references would leave each request to the garbage collector.
        self._parser = None

    def on_body(self, data: bytes) -> None:
        self.body_parts.append(data)

    def on_message_complete(self) -> None:
        self.is_complete = True


@dataclass(frozen=True, slots=True)
class PipelinedInput:
    """A complete request that was read while an earlier one is served.

    Attributes
    ----------
    head, body
        Head and complete body.
    received_at
        Monotonic time in seconds at which the head was found in the input.
    """

    head: RequestHead
    body: bytes
    received_at: float


class InputState(Enum):
    """Why no pipelined request can be read."""

    INCOMPLETE = auto()
    UNSUITABLE = auto()


class ReadAhead(Protocol):
    """Reads requests while an earlier one is served."""

    @property
    def has_requests(self) -> bool:
        """Whether requests behind the one that the connection's greenlet serves are in flight."""

    def input_arrived(self) -> None:
        """Handle input behind the current request; must not block."""

    def disconnected(self) -> None:
        """Handle a disconnect of the caller; must not block."""


class CallerConnection:
    """A connection of a caller, used by one greenlet.

    Only with :attr:`read_ahead` do other greenlets read complete requests behind the current one,
    and write their responses after that of the current one.

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
    max_response_bytes
        None, because a response is not kept back.
    read_ahead
        Reads requests behind the current one, or None if requests are served one at a time.
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
        self._chunks: ChunkedBodyScanner | None = None
        # Arrival of the head at the start of the buffer, if it was found before its turn.
        self._next_received_at: float | None = None
        self._on_disconnect: Callable[[], None] | None = None
        self._read_watcher = get_hub().loop.io(sock.fileno(), 1)
        self._reset_timer = get_hub().loop.timer(RESET_CHECK_INTERVAL_S, RESET_CHECK_INTERVAL_S)
        self._is_closed_for_reading = False
        # Whether input has arrived behind a request since the connection was idle. The end of the
        # input is then taken for a caller that closed only its sending side.
        self._is_pipelining = False
        self._has_input_ended = False
        # When the end of the input was noticed, on the monotonic clock; 0 before.
        self._input_ended_at = 0.0
        self._is_reading_ahead = False
        self.max_response_bytes: int | None = None
        self.read_ahead: ReadAhead | None = None
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
        if not self._buffer:
            self._is_pipelining = False
            if not self._wait_for_request():
                return None
        self.is_idle = False
        limits = self._limits()
        self.has_started_response = False
        raw = self._read_head_bytes(limits)
        if raw is None:
            return None
        self.received_at = monotonic()
        if self._next_received_at is not None:
            self.received_at, self._next_received_at = self._next_received_at, None
        return self._start_request(raw)

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

    def wait_to_send(self) -> float:
        """Return 0, because :meth:`send` itself waits for the caller."""
        return 0.0

    def discard_unsent(self) -> bool:
        """Return False, because :meth:`send` keeps nothing back."""
        return False

    @property
    def has_requests_behind(self) -> bool:
        """Whether requests behind the current one are in flight."""
        return self.read_ahead is not None and self.read_ahead.has_requests

    def watch_for_disconnect(
        self, on_disconnect: Callable[[], None], may_read_ahead: bool = False
    ) -> None:
        """Call ``on_disconnect`` in the hub's greenlet once the caller closes the connection.

        After :meth:`close_if_idle` a disconnect cannot be noticed, because the input has ended.

        Parameters
        ----------
        on_disconnect
            Must not block.
        may_read_ahead
            Whether :attr:`read_ahead` is notified of input behind the current request.
        """
        self._on_disconnect = on_disconnect
        if self._is_closed_for_reading or not self._events.is_complete:
            return
        self._is_reading_ahead = may_read_ahead
        if self._buffer:
            self._handle_pending_input()
        elif self._has_input_ended:
            self.watch_for_reset()
        else:
            self._read_watcher.start(self._check_input)

    def watch_input(self) -> None:
        """Watch for further input, or only for a reset if the input has ended."""
        if self._has_input_ended or self._is_closed_for_reading:
            self.watch_for_reset()
        else:
            self._read_watcher.start(self._check_input)

    def watch_for_reset(self) -> None:
        """Watch for a reset only; further input stays unread."""
        self._is_pipelining = True
        self._read_watcher.stop()
        self._reset_timer.start(self._check_for_reset)

    def stop_watching(self) -> None:
        """Stop watching the caller."""
        self._on_disconnect = None
        self._read_watcher.stop()
        if self._is_pipelining:
            self._reset_timer.stop()

    def take_request(
        self, accepts: Callable[[RequestHead], bool], max_body_bytes: int
    ) -> PipelinedInput | InputState:
        """Remove the next request from the received input if it is complete; never blocks.

        A request that is malformed, has a body of more than ``max_body_bytes`` bytes or one with
        chunked encoding, or is not accepted, stays in the input for :meth:`read_request`.
        """
        limits = self._limits()
        self._buffer = self._buffer.lstrip(b"\r\n")
        end = self._buffer.find(_HEAD_END) + len(_HEAD_END)
        if end < len(_HEAD_END):
            is_too_long = len(self._buffer) > limits.header_bytes
            return InputState.UNSUITABLE if is_too_long else InputState.INCOMPLETE
        self._next_received_at = self._next_received_at or monotonic()
        if end - len(_HEAD_END) > limits.header_bytes:
            return InputState.UNSUITABLE
        try:
            head, _, events = _parse_head(self._buffer[:end])
        except BadRequestError:
            return InputState.UNSUITABLE
        length = 0 if events.is_complete else int(head.field(b"content-length") or -1)
        if not 0 <= length <= min(max_body_bytes, limits.body_bytes) or not accepts(head):
            return InputState.UNSUITABLE
        if len(self._buffer) < end + length:
            return InputState.INCOMPLETE
        body = self._buffer[end : end + length]
        self._buffer = self._buffer[end + length :]
        received_at, self._next_received_at = self._next_received_at, None
        return PipelinedInput(head, body, received_at)

    def receive_available(self) -> bool:
        """Append input that has already arrived to the buffer; return whether there was any."""
        if self._has_input_ended:
            return False
        try:
            data = self._socket._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            self.disconnect()
            return False
        self._has_input_ended = not data
        self._buffer += data
        return bool(data)

    def disconnect(self) -> None:
        """Abort all requests of the connection, because the caller has left."""
        self._read_watcher.stop()
        self._reset_timer.stop()
        if self.is_disconnected:
            return
        self.is_disconnected = True
        if self._on_disconnect is not None:
            self._on_disconnect()
        if self.read_ahead is not None:
            self.read_ahead.disconnected()

    def finish_sending(self) -> None:
        """Announce the end of the responses and discard input until the caller has got them.

        Does nothing if no input is unread and the caller has acknowledged all responses.
        """
        has_unread_input = self._is_pipelining or self._has_unread_input()
        if self.is_disconnected or not (has_unread_input or self._unsent_bytes()):
            return
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            return
        until = monotonic() + (LINGER_S if has_unread_input else 0.0)
        progress = self._sending_progress()
        discarded_bytes = 0
        while discarded_bytes < MAX_LINGER_BYTES and (next(progress) or monotonic() < until):
            self._buffer = b""
            self._receive(LINGER_CHECK_INTERVAL_S)
            if self.is_disconnected:
                return
            discarded_bytes += len(self._buffer)

    def close(self) -> None:
        """Close the connection; safe to call twice."""
        self._read_watcher.stop()
        self._reset_timer.stop()
        self._socket.close()

    def close_if_idle(self) -> bool:
        """Close the connection for reading if it waits for a request, which ends the wait.

        A request that has already arrived is still read. Returns False, and keeps the connection
        open, if it is idle but the caller has not received all responses yet.
        """
        if not self.is_idle:
            return True
        if self._unsent_bytes():
            return False
        self._end_input()
        return True

    def close_if_receiving(self) -> None:
        """Close the connection for reading if it waits for a request or the rest of a body."""
        if self.is_idle or not self.is_body_read:
            self._end_input()

    def _end_input(self) -> None:
        self._is_closed_for_reading = True
        try:
            self._socket.shutdown(socket.SHUT_RD)
        except OSError:
            # The caller has already closed the connection.
            self.is_disconnected = True

    def _check_input(self) -> None:
        try:
            data = self._socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            self.disconnect()
            return
        self._read_watcher.stop()
        if data:
            self._handle_pending_input()
        elif self._is_pipelining:
            self._has_input_ended = True
            self.watch_for_reset()
        else:
            self.disconnect()

    def _handle_pending_input(self) -> None:
        self._is_pipelining = True
        if self._is_reading_ahead and self.read_ahead is not None:
            self.read_ahead.input_arrived()
        else:
            self.watch_for_reset()

    def _check_for_reset(self) -> None:
        try:
            state = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            # The system does not tell the state; a failed write will show a reset.
            state = 0
        if state == _TCP_STATE_CLOSE:
            self.disconnect()
        elif self._has_input_ended or state == _TCP_STATE_CLOSE_WAIT:
            self._input_ended_at = self._input_ended_at or monotonic()
            if monotonic() >= self._input_ended_at + HALF_CLOSE_GRACE_S:
                self.disconnect()

    def _sending_progress(self) -> Iterator[bool]:
        """Yield whether the kernel still sends data, and has done so within the send timeout."""
        least_bytes, least_since = self._unsent_bytes(), monotonic()
        while True:
            unsent_bytes = self._unsent_bytes()
            if unsent_bytes < least_bytes:
                least_bytes, least_since = unsent_bytes, monotonic()
            yield unsent_bytes > 0 and monotonic() < least_since + SEND_TIMEOUT_S

    def _unsent_bytes(self) -> int:
        """Return the number of bytes that the caller has not acknowledged yet."""
        try:
            size: int = struct.unpack("i", ioctl(self._socket.fileno(), TIOCOUTQ, b"\0" * 4))[0]
        except OSError:
            return 0
        return size

    def _has_unread_input(self) -> bool:
        if self._buffer:
            return True
        try:
            return bool(self._socket._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

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

    def _start_request(self, raw: bytes) -> RequestHead:
        self._body_bytes = self._idle_body_bytes = 0
        head, self._parser, self._events = _parse_head(raw)
        length = head.field(b"content-length")
        self._remaining_body_bytes = int(length) if length is not None else None
        self._chunks = ChunkedBodyScanner() if head.has_body and length is None else None
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
        is_ambiguous = (
            self._chunks is not None and self._chunks.has_ended != self._events.is_complete
        )
        if is_ambiguous or self._events.has_second_message:
            # A body whose end is ambiguous could hide a request (request smuggling).
            raise BadRequestError(400, "malformed request body: ambiguous end")

    def _split_body(self, data: bytes) -> tuple[bytes, bytes]:
        """Split received bytes into a part of the body and what follows the body."""
        if self._chunks is not None:
            size = self._chunks.scan(data)
            return (data, b"") if size == len(data) else (data[:size], data[size:])
        if self._remaining_body_bytes is None:
            return data, b""
        own, rest = data[: self._remaining_body_bytes], data[self._remaining_body_bytes :]
        self._remaining_body_bytes -= len(own)
        return own, rest


def _parse_head(raw: bytes) -> tuple[RequestHead, HttpRequestParser, _RequestEvents]:
    """Parse a complete head; the parser and its events are those for the body.

    Raises
    ------
    BadRequestError
        If the head is malformed.
    """
    events = _RequestEvents()
    parser = HttpRequestParser(events)
    events.bind(parser)
    try:
        parser.feed_data(raw)
    except HttpParserUpgrade:
        raise BadRequestError(400, "upgrades are not supported") from None
    except HttpParserError as error:
        raise BadRequestError(400, f"malformed request head: {error}") from error
    if not events.has_head:
        raise BadRequestError(400, "malformed request head")
    head = RequestHead(
        parser.get_method(),
        events.target,
        tuple(events.headers),
        events.keeps_alive,
        not events.is_complete,
    )
    hosts = [value for name, value in head.headers if name.lower() == b"host"]
    if len(hosts) != 1:
        raise BadRequestError(400, "exactly one Host field is required")
    if not head.target.startswith(b"/"):
        raise BadRequestError(400, "the request target must be a path")
    return head, parser, events
