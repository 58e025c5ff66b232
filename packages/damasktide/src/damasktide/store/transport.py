"""HTTP calls with a bounded duration, over pooled connections."""

from collections.abc import Mapping
from dataclasses import dataclass

import gevent
import urllib3
from returns.result import Failure, Result, Success

POOL_SIZE = 4


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and body of a complete response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class TransportError:
    """A call that got no complete response.

    Attributes
    ----------
    may_have_been_sent
        Whether the request may have reached the server.
    detail
        What happened.
    """

    may_have_been_sent: bool
    detail: str


class HttpTransport:
    """Sends requests to one base URL; never retries.

    Parameters
    ----------
    base_url
        Scheme, host and port.
    timeout_s
        Longest time for one call, from connecting to the last byte of the response.
    """

    def __init__(self, base_url: str, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._base_url = base_url.rstrip("/")
        # Connecting may take half the time, so a host that does not respond counts as "not sent".
        timeout = urllib3.Timeout(connect=timeout_s / 2, read=timeout_s)
        self._pool = urllib3.PoolManager(maxsize=POOL_SIZE, retries=False, timeout=timeout)

    def call(
        self, method: str, path: str, body: bytes | None, headers: Mapping[str, str]
    ) -> Result[HttpResponse, TransportError]:
        """Send one request and wait for the complete response."""
        # The read timeout of urllib3 restarts with each packet; this one limits the whole call.
        timeout = gevent.Timeout(self._timeout_s)
        try:
            with timeout:
                response = self._pool.request(
                    method, self._base_url + path, body=body, headers=dict(headers)
                )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return Failure(TransportError(False, f"cannot connect to {self._base_url}"))
        except urllib3.exceptions.HTTPError as error:
            detail = f"no complete response from {self._base_url}: {type(error).__name__}"
            return Failure(TransportError(True, detail))
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            detail = f"no complete response from {self._base_url} within {self._timeout_s} s"
            return Failure(TransportError(True, detail))
        return Success(HttpResponse(response.status, response.data))

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.clear()
