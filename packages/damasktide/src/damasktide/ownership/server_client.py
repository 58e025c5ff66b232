"""Sends queries and grants to backend servers over HTTP."""

import json
from urllib.parse import quote

from loguru import logger
from returns.result import Failure, Result, Success
from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

from damasktide.ownership.constants import GRANT_TTL_S
from damasktide.ownership.effects import QueryServer, SendGrant, ServerReply

# A grant whose response takes longer than this has almost expired.
_TIMEOUT_S = 0.3

_MAX_SERVERS = 512


class ServerClient:
    """Client for the grant endpoint of the backend servers of one service.

    Parameters
    ----------
    service
        Name of the service.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._pool = PoolManager(
            num_pools=_MAX_SERVERS,
            maxsize=1,
            timeout=Timeout(total=_TIMEOUT_S),
            retries=Retry(False),
        )

    def query(self, effect: QueryServer) -> Result[ServerReply, str]:
        """Ask a server for its term and clock reading."""
        url = f"http://{effect.server.host}:{effect.server.port}"
        return self._call("GET", f"{url}/damasktide/grants/{quote(self._service)}", None)

    def grant(self, effect: SendGrant) -> Result[ServerReply, str]:
        """Send a grant; a response with status 409 refuses it and carries the server's state."""
        url = f"http://{effect.server.host}:{effect.server.port}/damasktide/grants"
        body = {
            "service": self._service,
            "version": effect.version,
            "shards": effect.shards,
            "term": effect.term,
            "basis_ms": effect.basis_ms,
            "ttl_ms": int(GRANT_TTL_S * 1000),
        }
        return self._call("POST", url, json.dumps(body, separators=(",", ":")).encode())

    def _call(self, method: str, url: str, body: bytes | None) -> Result[ServerReply, str]:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            response = self._pool.request(method, url, body=body, headers=headers)
            return Success(_decode_reply(response.data, accepted=response.status == 200))
        except (HTTPError, OSError, ValueError, KeyError, TypeError) as error:
            logger.bind(url=url).debug("no valid response from backend server: {}", error)
            return Failure(str(error))


def _decode_reply(data: bytes, accepted: bool) -> ServerReply:
    raw = json.loads(data)
    return ServerReply(
        accepted=accepted,
        boot_id=str(raw["boot_id"]),
        term=str(raw["term"]),
        now_ms=int(raw["now_ms"]),
        version=int(raw["version"]),
        draining=int(raw["draining"]),
    )
