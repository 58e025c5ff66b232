"""Calls a target once and classifies the outcome."""

import contextlib
import time
from dataclasses import dataclass
from urllib.parse import quote

import gevent
from urllib3 import HTTPConnectionPool, PoolManager, Retry, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)
from urllib3.response import BaseHTTPResponse

from damasktide.admission.request import BackendResponse, CallerRequest
from damasktide.forwarding.failures import FailureKind, UpstreamFailure
from damasktide.http1.messages import contains_status_line

NOT_RUN_HEADER = "Damasktide-Not-Run"
REQUEST_ID_HEADER = "Idempotency-Key"

_CONNECT_TIMEOUT_S = 0.25
_CANCEL_TIMEOUT_S = 0.5
_NOT_OWNER_STATUS = 409


@dataclass(frozen=True, slots=True)
class Destination:
    """Destination of a call: the target and the limits on the call.

    Attributes
    ----------
    server_id
        Id of the backend server.
    host, port
        TCP address.
    shard
        Shard of the key, or None for unkeyed requests.
    map_version
        Version of the shard map that names the server as owner, 0 for unkeyed requests.
    connections
        Concurrent TCP connections that the server accepts.
    renewal_lease_until
        Monotonic time in seconds at which this instance's renewal lease expires and by which
        the call must have ended, or None.
    max_call_s
        Maximum duration of a call in seconds, or None.
    has_balancer_slot
        Whether the call occupies a slot of the target at the balancer.
    """

    server_id: str
    host: str
    port: int
    shard: int | None = None
    map_version: int = 0
    connections: int = 110
    renewal_lease_until: float | None = None
    max_call_s: float | None = None
    has_balancer_slot: bool = True

    def call_timeout_s(self, remaining_s: float, now: float) -> float:
        """Return the timeout in seconds of a call that starts at ``now``.

        A result of 0 or less means that the call must not be sent.
        """
        bounds = [remaining_s]
        if self.max_call_s is not None:
            bounds.append(self.max_call_s)
        if self.renewal_lease_until is not None:
            bounds.append(self.renewal_lease_until - now)
        return min(bounds)


class Upstream:
    """Pools connections to the targets and sends requests without retries.

    Parameters
    ----------
    max_targets
        Maximum number of targets with pooled connections.
    max_connections
        Maximum number of pooled connections per target.
    """

    def __init__(self, max_targets: int = 256, max_connections: int = 24) -> None:
        # The router decides on retries, because it knows whether a request may run twice.
        self._pools = PoolManager(
            num_pools=max_targets, maxsize=max_connections, retries=Retry(False), block=False
        )

    def send(
        self, request: CallerRequest, destination: Destination, timeout_s: float
    ) -> BackendResponse | UpstreamFailure:
        """Send the request once.

        Parameters
        ----------
        request
            The caller's request.
        destination
            The target.
        timeout_s
            Upper bound of the call's duration in seconds.
        """
        pool = self._pools.connection_from_host(destination.host, destination.port, "http")
        started_at = time.monotonic()
        # Checked immediately before the write: nothing may be sent after the lease has expired.
        timeout_s = destination.call_timeout_s(timeout_s, started_at)
        if timeout_s <= 0:
            return UpstreamFailure(FailureKind.LEASE_EXPIRED, destination.server_id)
        try:
            response = self._exchange(pool, request, destination, timeout_s)
        except (NewConnectionError, ConnectTimeoutError):
            return UpstreamFailure(FailureKind.NOT_CONNECTED, destination.server_id)
        except ReadTimeoutError:
            return UpstreamFailure(FailureKind.TIMED_OUT, destination.server_id)
        except (HTTPError, OSError):
            is_late = time.monotonic() - started_at >= timeout_s
            kind = FailureKind.TIMED_OUT if is_late else FailureKind.RESET
            return UpstreamFailure(kind, destination.server_id)
        return self._read(response, request, destination)

    def _exchange(
        self,
        pool: HTTPConnectionPool,
        request: CallerRequest,
        destination: Destination,
        timeout_s: float,
    ) -> BaseHTTPResponse:
        return pool.urlopen(
            request.method,
            _path(request),
            body=request.body or None,
            headers=_headers(request, destination, timeout_s),
            timeout=Timeout(connect=min(_CONNECT_TIMEOUT_S, timeout_s), read=timeout_s),
            redirect=False,
            retries=False,
            preload_content=False,
        )

    def _read(
        self, response: BaseHTTPResponse, request: CallerRequest, destination: Destination
    ) -> BackendResponse | UpstreamFailure:
        """Read the complete body; a truncated body is a failure."""
        server_id = destination.server_id
        # Reading to the end returns the connection to the pool.
        connection = response.connection
        try:
            body = response.read(decode_content=False)
            response.release_conn()
        except ReadTimeoutError:
            return UpstreamFailure(FailureKind.TIMED_OUT, server_id)
        except (HTTPError, OSError):
            return UpstreamFailure(FailureKind.INCOMPLETE, server_id)
        failure = _failure_in(response, request)
        if failure is not None:
            # The response may be a copy of an earlier one, so another one may follow it here. Nor
            # may a further attempt use the connection, as a copy of this response has its id.
            if connection is not None:
                connection.close()
            return UpstreamFailure(failure, server_id)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return BackendResponse(response.status, content_type, body, server_id, {})

    def cancel(self, request_id: str, destination: Destination) -> None:
        """Ask a target, in the background, to cancel a request."""
        gevent.spawn(self._send_cancel, request_id, destination)

    def _send_cancel(self, request_id: str, destination: Destination) -> None:
        pool = self._pools.connection_from_host(destination.host, destination.port, "http")
        timeout = Timeout(connect=_CONNECT_TIMEOUT_S, read=_CANCEL_TIMEOUT_S)
        with contextlib.suppress(HTTPError, OSError):
            pool.urlopen(
                "DELETE",
                f"/damasktide/requests/{quote(request_id)}",
                timeout=timeout,
                retries=False,
            )

    def close(self) -> None:
        """Close all connections."""
        self._pools.clear()


def _failure_in(response: BaseHTTPResponse, request: CallerRequest) -> FailureKind | None:
    """Return the failure that a complete response reports, or None if it is the target's own."""
    texts = (response.reason or "", *response.headers.values())
    if contains_status_line(text.encode("latin-1", "replace") for text in texts):
        return FailureKind.WRONG_ANSWER
    if response.headers.get(REQUEST_ID_HEADER) != request.request_id:
        return FailureKind.WRONG_ANSWER
    if response.headers.get(NOT_RUN_HEADER) != "1":
        return None
    is_owner_refusal = response.status == _NOT_OWNER_STATUS
    return FailureKind.NOT_OWNER if is_owner_refusal else FailureKind.SHED


def _path(request: CallerRequest) -> str:
    path = f"/{request.service}/{request.operation}"
    if request.key is not None:
        path = f"{path}/{quote(request.key)}"
    return f"{path}?{request.query}" if request.query else path


def _headers(request: CallerRequest, destination: Destination, timeout_s: float) -> dict[str, str]:
    headers = {
        REQUEST_ID_HEADER: request.request_id,
        "Damasktide-Deadline-Ms": str(int(timeout_s * 1000)),
    }
    if request.content_type:
        headers["Content-Type"] = request.content_type
    if destination.shard is not None:
        headers["Damasktide-Shard"] = str(destination.shard)
        headers["Damasktide-Map-Version"] = str(destination.map_version)
    return headers
