"""A caller of the HTTP interface."""

import json
from dataclasses import dataclass
from typing import Any

from urllib3 import PoolManager
from urllib3.exceptions import HTTPError, NewConnectionError

NO_ANSWER = 0
NOT_CONNECTED = -1


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """What a caller received.

    Attributes
    ----------
    status
        HTTP status; 0 without an answer, -1 if the request was never sent.
    body
        The body.
    served_by
        Backend server that responded, or an empty string.
    request_id
        Request that the answer names.
    """

    status: int
    body: bytes = b""
    served_by: str = ""
    request_id: str = ""

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, empty if it is none."""
        try:
            document = json.loads(self.body)
        except ValueError:
            return {}
        return document if isinstance(document, dict) else {}


class Client:
    """Sends requests of one customer.

    Parameters
    ----------
    http
        Connections.
    token
        Credentials of the customer.
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
    ) -> CallerAnswer:
        """Send one request and return what came back."""
        sent = {
            "Authorization": f"Bearer {self._token}",
            "Damasktide-Timeout-Ms": str(timeout_ms),
            "Damasktide-Attempt": str(attempt),
            **(headers or {}),
        }
        if request_id is not None:
            sent["Idempotency-Key"] = request_id
        try:
            response = self._http.request(method, url, headers=sent, body=body)
        except NewConnectionError:
            return CallerAnswer(NOT_CONNECTED)
        except HTTPError:
            return CallerAnswer(NO_ANSWER)
        return CallerAnswer(
            response.status,
            response.data,
            response.headers.get("Damasktide-Served-By", ""),
            response.headers.get("Idempotency-Key", ""),
        )
