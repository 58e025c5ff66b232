"""An HTTP client that acts as a caller."""

import json
from dataclasses import dataclass
from typing import Any

from urllib3 import PoolManager
from urllib3.exceptions import HTTPError, NewConnectionError

NO_RESPONSE = 0
NOT_CONNECTED = -1


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """Response to a caller's request, or the reason why there is none.

    Attributes
    ----------
    status
        HTTP status; 0 if no response arrived, -1 if the request was not sent.
    body
        Response body.
    served_by
        Backend server that responded, or an empty string.
    request_id
        Request id in the response, or an empty string.
    """

    status: int
    body: bytes = b""
    served_by: str = ""
    request_id: str = ""

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, or an empty one if it is not a JSON object."""
        try:
            document = json.loads(self.body)
        except ValueError:
            return {}
        return document if isinstance(document, dict) else {}


class Client:
    """HTTP client that sends the requests of one customer.

    Parameters
    ----------
    http
        Connection pools.
    token
        Bearer token of the customer.
    """

    def __init__(self, http: PoolManager, token: str) -> None:
        self._http = http
        self._token = token

    def call(
        self,
        method: str,
        url: str,
        request_id: str | None = None,
        attempt: int = 1,
        timeout_ms: int = 5000,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> CallerResponse:
        """Send one request and return the response."""
        request_headers = {
            "Authorization": f"Bearer {self._token}",
            "Damasktide-Timeout-Ms": str(timeout_ms),
            "Damasktide-Attempt": str(attempt),
            **(headers or {}),
        }
        if request_id is not None:
            request_headers["Idempotency-Key"] = request_id
        try:
            response = self._http.request(method, url, headers=request_headers, body=body)
        except NewConnectionError:
            return CallerResponse(NOT_CONNECTED)
        except HTTPError:
            return CallerResponse(NO_RESPONSE)
        return CallerResponse(
            response.status,
            response.data,
            response.headers.get("Damasktide-Served-By", ""),
            response.headers.get("Idempotency-Key", ""),
        )
