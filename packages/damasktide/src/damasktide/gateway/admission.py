"""What the gateway knows of a request before it is sent anywhere."""

from collections.abc import Iterator
from dataclasses import dataclass

from damasktide.gateway.dialect import RequestMetadata
from damasktide.http1.caller_connection import CallerConnection
from damasktide.http1.messages import RequestHead
from damasktide.routing.configuration import Route, Service

# Bodies up to this size are read before the request is sent, so that it can be sent again.
BUFFERED_REQUEST_BYTES = 64 * 1024
# Callers that do not say how long they wait, on routes without a timeout.
DEFAULT_TIME_LEFT_S = 30.0


@dataclass(frozen=True, slots=True)
class Body:
    """Body of a request.

    Attributes
    ----------
    data
        The whole body, or its beginning.
    rest
        What follows, or None if ``data`` is all.
    """

    data: bytes
    rest: Iterator[bytes] | None = None


@dataclass(frozen=True, slots=True)
class GatewayRequest:
    """A request that is to be served.

    Attributes
    ----------
    head
        Head as received.
    metadata
        What the caller says.
    body
        Body.
    route
        Its route.
    service
        Service that gets it.
    rank
        Rank of its priority within the service; 0 is the most urgent.
    received_at
        Monotonic time in seconds at which the head was complete.
    until
        Monotonic time at which it is given up: the caller's or the route's, what is sooner.
    caller_until
        Monotonic time until which the caller waits.
    """

    head: RequestHead
    metadata: RequestMetadata
    body: Body
    route: Route
    service: Service
    rank: int
    received_at: float
    until: float
    caller_until: float

    @property
    def is_repeatable(self) -> bool:
        """Whether it may be sent again after it may have run."""
        return self.route.kind.is_idempotent and self.body.rest is None


def read_body(caller: CallerConnection) -> Body:
    """Read the body, or its beginning if it is long.

    Raises
    ------
    damasktide.http1.errors.BadRequestError
        If it is malformed, too large or stops arriving.
    """
    parts = caller.read_body()
    data: list[bytes] = []
    size = 0
    for part in parts:
        data.append(part)
        size += len(part)
        if size > BUFFERED_REQUEST_BYTES:
            return Body(b"".join(data), parts)
    return Body(b"".join(data))


def deadlines(route: Route, metadata: RequestMetadata, received_at: float) -> tuple[float, float]:
    """Return when the request is given up, and until when its caller waits."""
    remaining_s = metadata.remaining_s
    if remaining_s is None:
        remaining_s = route.timeout_s if route.timeout_s is not None else DEFAULT_TIME_LEFT_S
    caller_until = received_at + remaining_s
    if route.timeout_s is None:
        return caller_until, caller_until
    return min(caller_until, received_at + route.timeout_s), caller_until
