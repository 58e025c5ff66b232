"""Client side of one HTTP call to a target."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain
from time import monotonic

from damasktide.gateway.dialect import Dialect, ResponseMetadata
from damasktide.http1.errors import CallError, CallFailure
from damasktide.http1.messages import RequestHead, ResponseHead, encode_chunk, encode_request
from damasktide.http1.pool import ConnectionPool
from damasktide.http1.server_connection import ServerConnection
from damasktide.organisations.organisation import CallerIdentity
from damasktide.targets.target import TargetEntry

# Connecting takes one round trip. TCP retransmits a lost SYN only after 1 s, so a retry with a new
# connection succeeds sooner.
CONNECT_TIMEOUT_S = 0.25
# A round trip between regions takes 60 ms, and up to 0.25 s while large responses fill the link.
CROSS_REGION_CONNECT_TIMEOUT_S = 0.6
# Responses up to this size are buffered completely before they are forwarded, so that the gateway
# can retry after a truncated response instead of passing the truncation on to the caller.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """Response of a target.

    Attributes
    ----------
    head
        Head as received.
    metadata
        Metadata from the target's header fields.
    body
        The complete body, or its first part if ``is_complete`` is false.
    is_complete
        Whether the body has been read to its end.
    """

    head: ResponseHead
    metadata: ResponseMetadata
    body: bytes
    is_complete: bool


class TargetCall:
    """Sends a request to a target and reads the response; used by one greenlet.

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
        Id of the request, or None; responses that carry another id are skipped, and one without
        an id on a connection that was in use before is an error.
    connect_timeout_s
        Timeout in seconds for opening a connection.
    used_connections
        Connections that carried earlier attempts of the request; the call uses none of them, and
        adds its own. The target may still send a second copy of its response to one of these
        attempts, with the same id.
    identity
        Who sent the request, or None if the configuration has no organisations.
    max_buffered_bytes
        Bytes up to which a response is read as a whole.

    Attributes
    ----------
    started_at
        Monotonic time in seconds at which the call was created.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        entry: TargetEntry,
        head: RequestHead,
        request_id: bytes | None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        used_connections: set[ServerConnection] | None = None,
        identity: CallerIdentity | None = None,
        max_buffered_bytes: int = MAX_BUFFERED_RESPONSE_BYTES,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._entry = entry
        self._head = head
        self._request_id = request_id
        self._connection: ServerConnection | None = None
        self._response_head: ResponseHead | None = None
        self._response_metadata: ResponseMetadata | None = None
        self._is_aborted = False
        self._is_connection_reused = False
        self._connect_timeout_s = connect_timeout_s
        self._used_connections = used_connections if used_connections is not None else set()
        self._identity = identity
        self._max_buffered_bytes = max_buffered_bytes
        self.started_at = monotonic()

    def send(self, deadline: float, body: bytes, rest: Iterator[bytes] | None = None) -> None:
        """Send the request.

        Parameters
        ----------
        deadline
            Monotonic time in seconds that is sent to the target as the deadline of the request.
        body
            The complete body, or its first part if ``rest`` is given.
        rest
            Remaining parts of the body, sent with chunked encoding.

        Raises
        ------
        CallError
            If the request cannot be sent; the failure tells whether any byte was sent.
        """
        remaining_s = max(0.001, deadline - monotonic())
        self._connect_timeout_s = min(self._connect_timeout_s, remaining_s)
        fields = list(
            self._dialect.call_fields(
                self._head, self._entry.target_id, remaining_s, self._identity
            )
        )
        if rest is not None:
            fields.append((b"Transfer-Encoding", b"chunked"))
            self._send_on_pooled_connection(
                encode_request(self._head.method, self._head.target, fields, None)
            )
            self._send_chunked_body(body, rest)
            return
        framed_body = body if body or self._head.has_body else None
        self._send_on_pooled_connection(
            encode_request(self._head.method, self._head.target, fields, framed_body)
        )

    def wait_for_head(self, until: float) -> None:
        """Wait for the head of the response; responses to other requests are skipped.

        May be called again after it has failed with ``TIMED_OUT``.

        Raises
        ------
        CallError
            If no head arrives by ``until``, a monotonic time in seconds.
        """
        connection = self._require_connection()
        while self._response_head is None:
            head = connection.read_head(self._head.method, until)
            metadata = self._dialect.response_metadata(head)
            if metadata.request_id is None and self._may_be_late():
                connection.is_broken = True
                raise CallError(CallFailure.NOT_HTTP, "a response without an id may be a late one")
            if metadata.request_id in (None, self._request_id):
                self._response_head = head
                self._response_metadata = metadata
                return
            # A duplicate response to an earlier request on this connection, which arrived late.
            connection.skip_body(until, MAX_BUFFERED_RESPONSE_BYTES)

    def read_response(self, until: float) -> TargetResponse:
        """Return the response to this request with the complete body, or the start of a long one.

        Raises
        ------
        CallError
            If that part of it does not arrive by ``until``, a monotonic time in seconds.
        """
        self.wait_for_head(until)
        head, metadata = self._response_head, self._response_metadata
        assert head is not None and metadata is not None
        return self._read_body(self._require_connection(), head, metadata, until)

    def read_remaining_body(self, until: float) -> Iterator[bytes]:
        """Yield the part of the body that follows what :meth:`read_response` returned.

        Raises
        ------
        CallError
            If the body is not complete by ``until``, a monotonic time in seconds.
        """
        yield from self._require_connection().read_body(until)

    def finish(self) -> None:
        """Return the connection to the pool, which closes it if it cannot be reused."""
        if self._connection is not None:
            self._pool.release(self._connection, self._response_head)
            self._connection = None

    def abort(self) -> None:
        """Abort the call; safe to call from another greenlet, and after the call has ended."""
        self._is_aborted = True
        if self._connection is not None:
            self._connection.abort()

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _may_be_late(self) -> bool:
        """Return whether a response without an id may belong to an earlier request.

        It may even state that this request was not run while the target runs it.
        """
        return self._is_connection_reused and self._request_id is not None

    def _send_on_pooled_connection(self, data: bytes) -> None:
        self._connection = self._pool.acquire(
            self._entry.address, self._connect_timeout_s, self._used_connections
        )
        self._used_connections.add(self._connection)
        self._is_connection_reused = self._connection.send_count > 0
        try:
            self._require_connection().send(data)
        except CallError as error:
            if error.failure is not CallFailure.NOT_SENT or self._is_aborted:
                raise
            # The target had closed the pooled connection, and no byte was sent.
            self.close()
            self._connection = self._pool.open(self._entry.address, self._connect_timeout_s)
            self._used_connections.add(self._connection)
            self._is_connection_reused = False
            self._connection.send(data)

    def _send_chunked_body(self, body: bytes, rest: Iterator[bytes]) -> None:
        connection = self._require_connection()
        if body:
            connection.send_body_part(encode_chunk(body))
        # The empty chunk ends the body.
        for data in chain(rest, (b"",)):
            if connection.has_early_response():
                # The rest of the body is not sent, so the connection cannot be reused.
                connection.is_broken = True
                return
            connection.send_body_part(encode_chunk(data))

    def _read_body(
        self,
        connection: ServerConnection,
        head: ResponseHead,
        metadata: ResponseMetadata,
        until: float,
    ) -> TargetResponse:
        body = bytearray()
        for data in connection.read_body(until):
            body += data
            if len(body) > self._max_buffered_bytes:
                return TargetResponse(head, metadata, bytes(body), is_complete=False)
        return TargetResponse(head, metadata, bytes(body), is_complete=True)

    def _require_connection(self) -> ServerConnection:
        if self._connection is None or self._is_aborted:
            raise CallError(CallFailure.ABORTED)
        return self._connection
