"""One send of a request to one target."""

from collections.abc import Iterator
from dataclasses import dataclass
from time import monotonic

from damasktide.gateway.dialect import Dialect, ResponseMetadata
from damasktide.http1.errors import CallError, CallFailure
from damasktide.http1.messages import RequestHead, ResponseHead, encode_chunk, encode_request
from damasktide.http1.pool import ConnectionPool
from damasktide.http1.server_connection import ServerConnection
from damasktide.targets.target import TargetEntry

# A connection takes one round trip; a lost opening packet is only sent again after a second, so
# another try is sooner.
CONNECT_TIMEOUT_S = 0.25
# Between regions a round trip takes 60 ms, and up to 0.25 s while downloads fill the link.
FAR_CONNECT_TIMEOUT_S = 0.6
# Responses up to this size are held until they are whole, so that one that breaks off can be
# replaced by another try instead of being cut at the caller.
BUFFERED_RESPONSE_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """The target's response.

    Attributes
    ----------
    head
        Head.
    metadata
        What it says.
    body
        The whole body, or its beginning if ``is_whole`` is false.
    is_whole
        Whether the body has been read to its end.
    """

    head: ResponseHead
    metadata: ResponseMetadata
    body: bytes
    is_whole: bool


class TargetCall:
    """Sends a request to a target and reads the response; owned by one greenlet.

    Parameters
    ----------
    pool
        Connections to targets.
    dialect
        Reads and writes header fields.
    entry
        The target.
    head
        Head of the caller's request.
    request_id
        Id that the response must name, or None.
    connect_timeout_s
        Longest time for opening a connection.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        entry: TargetEntry,
        head: RequestHead,
        request_id: bytes | None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._entry = entry
        self._head = head
        self._request_id = request_id
        self._connection: ServerConnection | None = None
        self._response_head: ResponseHead | None = None
        self._response_facts: ResponseMetadata | None = None
        self._is_aborted = False
        self._connect_timeout_s = connect_timeout_s
        self.started_at = monotonic()

    def send(self, until: float, body: bytes, rest: Iterator[bytes] | None = None) -> None:
        """Write the request.

        Parameters
        ----------
        until
            Monotonic time in seconds at which the target is to stop.
        body
            Body, or its beginning if there is a ``rest``.
        rest
            Remaining parts of the body, sent in chunks.

        Raises
        ------
        CallError
            If it cannot be written; the failure says whether any of it was.
        """
        remaining_s = max(0.001, until - monotonic())
        self._connect_timeout_s = min(self._connect_timeout_s, remaining_s)
        fields = list(self._dialect.call_fields(self._head, self._entry.target_id, remaining_s))
        if rest is not None:
            fields.append((b"Transfer-Encoding", b"chunked"))
            self._send_first(encode_request(self._head.method, self._head.target, fields, None))
            self._send_rest(body, rest)
            return
        framed = body if body or self._head.has_body else None
        self._send_first(encode_request(self._head.method, self._head.target, fields, framed))

    def wait_for_head(self, until: float) -> None:
        """Wait for the head of the response; heads of responses to others are passed over.

        After ``TIMED_OUT`` it may be called again.

        Raises
        ------
        CallError
            If there is none by ``until``, a monotonic time in seconds.
        """
        connection = self._open_connection()
        while self._response_head is None:
            head = connection.read_head(self._head.method, until)
            metadata = self._dialect.response_metadata(head)
            if metadata.request_id in (None, self._request_id):
                self._response_head = head
                self._response_facts = metadata
                return
            # A late second response to an earlier request on this connection.
            for _ in connection.read_body(until):
                pass

    def read_answer(self, until: float) -> TargetResponse:
        """Return the response to this request.

        Raises
        ------
        CallError
            If it is not whole by ``until``, a monotonic time in seconds.
        """
        self.wait_for_head(until)
        head, metadata = self._response_head, self._response_facts
        assert head is not None and metadata is not None
        return self._read_body(self._open_connection(), head, metadata, until)

    def rest_of_body(self, until: float) -> Iterator[bytes]:
        """Yield what follows the part of the body that :meth:`read_answer` returned.

        Raises
        ------
        CallError
            If the body is not whole by ``until``.
        """
        yield from self._open_connection().read_body(until)

    def finish(self) -> None:
        """Keep the connection for another call if it can be used again."""
        if self._connection is not None:
            self._pool.release(self._connection, self._response_head)
            self._connection = None

    def abort(self) -> None:
        """End the call; safe to call from another greenlet and after the end."""
        self._is_aborted = True
        if self._connection is not None:
            self._connection.abort()

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _send_first(self, data: bytes) -> None:
        self._connection = self._pool.take(self._entry.address, self._connect_timeout_s)
        try:
            self._open_connection().send(data)
        except CallError as error:
            if error.failure is not CallFailure.NOT_SENT or self._is_aborted:
                raise
            # The pooled connection was closed by the target before it took a byte.
            self.close()
            self._connection = self._pool.open(self._entry.address, self._connect_timeout_s)
            self._connection.send(data)

    def _send_rest(self, body: bytes, rest: Iterator[bytes]) -> None:
        connection = self._open_connection()
        if body:
            connection.send(encode_chunk(body))
        for data in rest:
            if connection.has_early_response():
                # What is left of the body is not sent, so no other request may follow it.
                connection.is_broken = True
                return
            connection.send(encode_chunk(data))
        connection.send(encode_chunk(b""))

    def _read_body(
        self,
        connection: ServerConnection,
        head: ResponseHead,
        metadata: ResponseMetadata,
        until: float,
    ) -> TargetResponse:
        parts: list[bytes] = []
        size = 0
        for data in connection.read_body(until):
            parts.append(data)
            size += len(data)
            if size > BUFFERED_RESPONSE_BYTES:
                return TargetResponse(head, metadata, b"".join(parts), is_whole=False)
        return TargetResponse(head, metadata, b"".join(parts), is_whole=True)

    def _open_connection(self) -> ServerConnection:
        if self._connection is None or self._is_aborted:
            raise CallError(CallFailure.ABORTED)
        return self._connection
