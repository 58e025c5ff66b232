"""Request data that is determined before the first attempt: body, route and deadlines."""

from collections.abc import Iterator
from dataclasses import dataclass

from damasktide.gateway.dialect import RequestMetadata
from damasktide.gateway.exchange import CallerExchange
from damasktide.http1.messages import RequestHead
from damasktide.organisations.organisation import CallerIdentity, Organisation
from damasktide.routing.configuration import Route, Service

# Bodies up to this size are read completely before the first attempt, so that the request can be
# retried.
MAX_BUFFERED_REQUEST_BYTES = 64 * 1024
# Applies when neither the caller nor the route sets a timeout.
DEFAULT_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Body:
    """Body of a request.

    Attributes
    ----------
    data
        The complete body, or its first part.
    rest
        Remaining parts, or None if ``data`` is the complete body.
    """

    data: bytes
    rest: Iterator[bytes] | None = None


@dataclass(frozen=True, slots=True)
class GatewayRequest:
    """A request with its route, service and deadlines.

    Attributes
    ----------
    head
        Head as received.
    metadata
        Metadata from the caller's header fields.
    body
        Body, which may still be arriving.
    route
        Route that matches the host and the path.
    service
        Service to which the request is forwarded.
    rank
        Rank of its priority within the service; 0 is the most urgent.
    received_at
        Monotonic time in seconds at which the head was complete.
    deadline
        Monotonic time at which the gateway stops trying: the earlier of the caller's deadline and
        the timeout of the route.
    caller_deadline
        Monotonic time until which the caller waits; if the caller does not state it, the timeout
        of the route applies, or else ``DEFAULT_TIMEOUT_S``.
    regions
        Regions in which the request may be served; empty allows all.
    identity
        Who sent the request, or None if the configuration has no organisations.
    """

    head: RequestHead
    metadata: RequestMetadata
    body: Body
    route: Route
    service: Service
    rank: int
    received_at: float
    deadline: float
    caller_deadline: float
    regions: frozenset[str] = frozenset()
    identity: CallerIdentity | None = None

    @property
    def organisation(self) -> Organisation | None:
        """The organisation that sent the request, or None if it is not known."""
        return self.identity.organisation if self.identity is not None else None

    @property
    def is_retry_safe(self) -> bool:
        """Whether a retry is safe even if an earlier attempt may have run."""
        return self.route.kind.is_idempotent and self.body.rest is None


def read_body(caller: CallerExchange) -> Body:
    """Read the body, or only its first part if it exceeds ``MAX_BUFFERED_REQUEST_BYTES``.

    Raises
    ------
    damasktide.http1.errors.BadRequestError
        If the body is malformed or too large, or does not arrive in time.
    """
    parts = caller.read_body()
    data: list[bytes] = []
    size = 0
    for part in parts:
        data.append(part)
        size += len(part)
        if size > MAX_BUFFERED_REQUEST_BYTES:
            return Body(b"".join(data), parts)
    return Body(b"".join(data))


def deadlines(route: Route, metadata: RequestMetadata, received_at: float) -> tuple[float, float]:
    """Return the monotonic ``deadline`` and ``caller_deadline`` of the :class:`GatewayRequest`."""
    remaining_s = metadata.remaining_s
    if remaining_s is None:
        remaining_s = route.timeout_s if route.timeout_s is not None else DEFAULT_TIMEOUT_S
    caller_deadline = received_at + remaining_s
    if route.timeout_s is None:
        return caller_deadline, caller_deadline
    return min(caller_deadline, received_at + route.timeout_s), caller_deadline
