"""Client side of a connection to a server, which carries one call at a time."""

import struct
from collections import deque
from collections.abc import Iterator
from time import monotonic

from gevent import socket
from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser
from loguru import logger

from damasktide.http1.errors import CallError, CallFailure
from damasktide.http1.messages import ResponseHead, contains_status_line, response_head

RECEIVE_BYTES = 65_536
# The kernel drops a connection whose peer acknowledges nothing for this long. With the kernel's
# default, a partitioned connection would stay in the pool for minutes.
TCP_USER_TIMEOUT_MS = 4_000
# Timeout for a write of a request that makes no progress.
SEND_TIMEOUT_S = 2.0
# Limit on bytes that complete no head, no part of a body and no message: a head, trailers or the
# extension of a chunk. Servers commonly limit heads to 8 or 16 KiB.
MAX_IDLE_INPUT_BYTES = 64 * 1024
# Statuses that HTTP defines (RFC 9110, section 15). A server in trouble may send others, such as
# 000, which parsers accept.
MIN_STATUS = 100
MAX_STATUS = 599
# Limit on the responses with status 1xx before the final one.
MAX_INFORMATIONAL_RESPONSES = 16
# Limit on a body that is read as a whole. The longest is a page of the store with a configuration.
MAX_WHOLE_BODY_BYTES = 16 * 1024 * 1024
_LINGER_RESET = struct.pack("ii", 1, 0)


class _ResponseEvents:
    """Parser callbacks that queue the head of each message, the parts of its body, then None.

    Attributes
    ----------
    queue
        Events that have not been consumed.
    is_in_message
        Whether the parser has read a part of a message but not its end.
    method
        Method of the request, which decides whether the response has a body.
    """

    def __init__(self) -> None:
        self.queue: deque[ResponseHead | bytes | None] = deque()
        self.is_in_message = False
        self.method = b"GET"
        self._parser: HttpResponseParser | None = None
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []

    def bind(self, parser: HttpResponseParser) -> None:
        self._parser = parser

    def release(self) -> None:
        """Drop the parser, which refers to this object, and what has not been consumed.

        The cycle would keep up to 1.2 MB of the fields of an endless head until the garbage
        collector runs.
        """
        self._parser = None
        self._headers = []
        self.queue.clear()

    def on_message_begin(self) -> None:
        self.is_in_message = True
        self._reason = b""
        self._headers = []

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        if contains_status_line((self._reason, *(value for _, value in self._headers))):
            raise ValueError("a status line inside a head")
        status = self._parser.get_status_code()
        keeps_alive = self._parser.should_keep_alive()
        head = response_head(status, self._reason, tuple(self._headers), keeps_alive, self.method)
        self.queue.append(head)

    def on_body(self, data: bytes) -> None:
        self.queue.append(data)

    def on_message_complete(self) -> None:
        self.is_in_message = False
        self.queue.append(None)


class ServerConnection:
    """A TCP connection to a server, owned by one greenlet at a time.

    Parameters
    ----------
    address
        Host and port.

    Attributes
    ----------
    idle_since
        Monotonic time in seconds at which the connection was returned to its pool.
    idle_limit_s
        Time in seconds for which it may stay idle before the pool closes it.
    send_count
        Number of requests sent.
    is_broken
        Whether the connection cannot be reused.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_limit_s = float("inf")
        self.send_count = 0
        self.is_broken = False
        self._socket: socket.socket | None = None
        self._events = _ResponseEvents()
        self._parser = HttpResponseParser(self._events)
        self._events.bind(self._parser)
        self._head: ResponseHead | None = None
        self._is_response_complete = True
        self._idle_input_bytes = 0
        # Set once the input has ended or cannot be parsed any further.
        self._input_failure: CallError | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._socket is not None

    @property
    def _address_text(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"

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
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
            sock.connect(self.address)
        except OSError as error:
            self.close()
            is_refused = isinstance(error, ConnectionRefusedError)
            raise CallError(CallFailure.NOT_CONNECTED, str(error), is_refused) from error

    def send(self, data: bytes) -> None:
        """Write a request, or the start of one.

        Raises
        ------
        CallError
            With ``NOT_SENT`` if no byte was written, with ``CLOSED`` otherwise.
        """
        self.send_count += 1
        self._is_response_complete = False
        self._write(data, CallFailure.NOT_SENT)

    def send_body_part(self, data: bytes) -> None:
        """Write a further part of the body of a request.

        Raises
        ------
        CallError
            With ``CLOSED`` if the part was not written, because the server may run the request
            for the parts before.
        """
        self._write(data, CallFailure.CLOSED)

    def read_head(self, method: bytes, until: float) -> ResponseHead:
        """Return the head of the next response; informational responses (1xx) are skipped.

        May be called again after it has failed with ``TIMED_OUT``, because no byte is lost.

        Parameters
        ----------
        method
            Method of the request, which decides whether the response has a body.
        until
            Monotonic time in seconds at which the wait ends.

        Raises
        ------
        CallError
            If no head arrives, or with ``NOT_HTTP`` if its status is not one that HTTP defines.
        """
        self._events.method = method
        informational_count = 0
        while True:
            event = self._next_event(until)
            if isinstance(event, ResponseHead):
                if not MIN_STATUS <= event.status <= MAX_STATUS:
                    self.is_broken = True
                    raise CallError(CallFailure.NOT_HTTP, f"invalid status {event.status:03}")
                if event.status >= 200:
                    self._head = event
                    return event
                self._skip_informational(until)
                informational_count += 1
                if informational_count > MAX_INFORMATIONAL_RESPONSES:
                    raise self._too_large("too many informational responses")

    def read_body(self, until: float) -> Iterator[bytes]:
        """Yield the body of the response; it is complete if the iterator ends without an error.

        Raises
        ------
        CallError
            If the body is not complete by ``until``, a monotonic time in seconds.
        """
        assert self._head is not None
        if self._head.content_length == 0 and self._events.method == b"HEAD":
            # The parser does not know that no body follows, so the connection cannot be reused.
            self.is_broken = True
            return
        while True:
            event = self._next_event(until)
            if event is None:
                self._is_response_complete = True
                return
            if isinstance(event, bytes):
                yield event

    def read_whole_body(self, until: float, max_bytes: int = MAX_WHOLE_BODY_BYTES) -> bytes:
        """Return the complete body of the response.

        Raises
        ------
        CallError
            If the body is not complete by ``until``, a monotonic time in seconds, or with
            ``TOO_LARGE`` if it has more than ``max_bytes`` bytes.
        """
        # A list of parts would take twenty times the bytes of a body in chunks of two bytes.
        body = bytearray()
        for data in self.read_body(until):
            if len(body) + len(data) > max_bytes:
                raise self._too_large(f"the body exceeds {max_bytes} bytes")
            body += data
        return bytes(body)

    def skip_body(self, until: float, max_bytes: int) -> None:
        """Read the body of the response and discard it.

        Raises
        ------
        CallError
            As :meth:`read_whole_body`.
        """
        size = 0
        for data in self.read_body(until):
            size += len(data)
            if size > max_bytes:
                raise self._too_large(f"the body exceeds {max_bytes} bytes")

    def exchange(
        self,
        request: bytes,
        method: bytes,
        until: float,
        max_body_bytes: int = MAX_WHOLE_BODY_BYTES,
    ) -> tuple[ResponseHead, bytes]:
        """Send a complete request and return the complete response.

        Raises
        ------
        CallError
            If the response is not complete by ``until``, a monotonic time in seconds, or exceeds
            a limit.
        """
        self.send(request)
        head = self.read_head(method, until)
        return head, self.read_whole_body(until, max_body_bytes)

    def is_reusable(self) -> bool:
        """Return whether another call can be sent.

        The last response has to be complete, with no bytes after it. Even an incomplete status
        line after it would become the start of the next response.
        """
        if self.is_broken or not self._is_response_complete:
            return False
        if self._events.queue or self._events.is_in_message:
            logger.bind(address=self._address_text).info("bytes after a complete response")
            return False
        return self._head is None or self._head.keeps_alive

    def has_unexpected_input(self) -> bool:
        """Return whether an idle connection was closed or has received unsolicited bytes."""
        if self._socket is None:
            return True
        try:
            # The socket that gevent wraps is non-blocking. Peeking takes one system call and works
            # with any descriptor, whereas select accepts only those below 1,024.
            self._socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            self.is_broken = True
        return True

    def has_early_response(self) -> bool:
        """Return whether the server responds while the request is still being written."""
        return self.has_unexpected_input()

    def abort(self) -> None:
        """Abort the call from another greenlet; it fails with ``ABORTED`` or ``CLOSED``."""
        self.is_broken = True
        if self._socket is not None:
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                self.close()

    def reset(self) -> None:
        """Close the connection with a TCP reset, which discards bytes in transit."""
        if self._socket is not None:
            try:
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            except OSError:
                self.is_broken = True
        self.close()

    def close(self) -> None:
        """Close the connection; safe to call twice."""
        self.is_broken = True
        # The traceback of the failure refers to this object as well.
        self._input_failure = None
        self._events.release()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _write(self, data: bytes, nothing_written: CallFailure) -> None:
        """Write ``data``; fail with ``nothing_written`` if none of it was written."""
        if self._socket is None:
            raise CallError(CallFailure.ABORTED)
        view = memoryview(data)
        sent = 0
        try:
            self._socket.settimeout(SEND_TIMEOUT_S)
            while sent < len(view):
                sent += self._socket.send(view[sent:])
        except OSError as error:
            self.is_broken = True
            failure = CallFailure.CLOSED if sent else nothing_written
            raise CallError(failure, str(error)) from error

    def _skip_informational(self, until: float) -> None:
        while self._next_event(until) is not None:
            pass

    def _next_event(self, until: float) -> ResponseHead | bytes | None:
        while not self._events.queue:
            self._receive(until)
        return self._events.queue.popleft()

    def _receive(self, until: float) -> None:
        if self._input_failure is not None:
            raise self._input_failure
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
            self._handle_end_of_stream()
            return
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade, ValueError) as error:
            self.is_broken = True
            self._input_failure = CallError(CallFailure.NOT_HTTP, str(error))
            if not self._events.queue:
                raise self._input_failure from error
            # What came before the malformed bytes remains usable.
            logger.bind(address=self._address_text).info("malformed bytes of a server: {}", error)
        self._idle_input_bytes = 0 if self._events.queue else self._idle_input_bytes + len(data)
        if self._idle_input_bytes > MAX_IDLE_INPUT_BYTES:
            raise self._too_large(f"{self._idle_input_bytes} bytes without a head or a body")

    def _too_large(self, detail: str) -> CallError:
        self.is_broken = True
        return CallError(CallFailure.TOO_LARGE, detail)

    def _handle_end_of_stream(self) -> None:
        self.is_broken = True
        self._input_failure = CallError(CallFailure.CLOSED, "the connection ended early")
        head = self._head
        if head is None or not head.ends_with_connection:
            raise self._input_failure
        self._events.queue.append(None)
