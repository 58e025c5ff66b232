"""TCP load balancer that selects ready entry instances by round robin."""

import contextlib
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import gevent
import urllib3
from gevent.pool import Pool
from gevent.server import StreamServer
from urllib3.exceptions import HTTPError

from damasktide.runtime.task import Task, every

PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.5
_CHUNK_BYTES = 65536


@dataclass(frozen=True, slots=True)
class Endpoint:
    """HTTP address of an entry instance."""

    host: str
    port: int


class RoundRobin:
    """Selects ready endpoints in turn.

    Parameters
    ----------
    ready
        Initial ready endpoints.
    """

    def __init__(self, ready: tuple[Endpoint, ...] = ()) -> None:
        self._ready = ready
        self._next = 0

    def replace(self, ready: tuple[Endpoint, ...]) -> None:
        """Replace the ready endpoints."""
        self._ready = ready

    def candidates(self) -> Iterator[Endpoint]:
        """Yield each ready endpoint once, starting with the next in turn."""
        ready = self._ready
        first = self._next
        self._next += 1
        for offset in range(len(ready)):
            yield ready[(first + offset) % len(ready)]


class ReadinessTask(Task):
    """Probes ``/readyz`` of all endpoints and publishes those that respond with 200.

    Parameters
    ----------
    endpoints
        All entry instances.
    publish
        Called with the ready endpoints after each round of probes.
    """

    def __init__(
        self, endpoints: tuple[Endpoint, ...], publish: Callable[[tuple[Endpoint, ...]], None]
    ) -> None:
        super().__init__("readiness")
        self._endpoints = endpoints
        self._publish = publish
        self._probes = Pool(len(endpoints))
        self._http = urllib3.PoolManager(
            num_pools=len(endpoints), retries=False, timeout=PROBE_TIMEOUT_S
        )

    @every(PROBE_INTERVAL_S)
    def _probe_all(self) -> None:
        results = self._probes.map(self._is_ready, self._endpoints)
        pairs = zip(self._endpoints, results, strict=True)
        self._publish(tuple(endpoint for endpoint, is_ready in pairs if is_ready))

    def _is_ready(self, endpoint: Endpoint) -> bool:
        try:
            url = f"http://{endpoint.host}:{endpoint.port}/readyz"
            return self._http.request("GET", url).status == 200
        except HTTPError:
            return False

    def on_stop(self) -> None:
        """Close the connections of the probes."""
        self._http.clear()


class TcpLoadBalancer:
    """Accepts connections and forwards each to a ready entry instance.

    Parameters
    ----------
    endpoints
        All entry instances.
    port
        TCP port on loopback; 0 selects a free one.
    """

    def __init__(self, endpoints: tuple[Endpoint, ...], port: int = 0) -> None:
        self._round_robin = RoundRobin()
        self._readiness = ReadinessTask(endpoints, self._round_robin.replace)
        self._listener = StreamServer(("127.0.0.1", port), self._forward)

    @property
    def port(self) -> int:
        """TCP port on which the balancer listens."""
        return int(self._listener.server_port)

    def start(self) -> None:
        """Start probing and accepting connections."""
        self._readiness.start()
        self._listener.start()

    def stop(self) -> None:
        """Stop probing and accepting connections; open connections are not closed."""
        self._listener.stop(timeout=0)
        self._readiness.stop()

    def _forward(self, client: socket.socket, address: tuple[str, int]) -> None:
        server = self._connect()
        if server is None:
            client.close()
            return
        for side in (client, server):
            side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        to_client = gevent.spawn(_copy_until_eof, server, client)
        _copy_until_eof(client, server)
        to_client.join()
        client.close()
        server.close()

    def _connect(self) -> socket.socket | None:
        for endpoint in self._round_robin.candidates():
            with contextlib.suppress(OSError):
                address = (endpoint.host, endpoint.port)
                connection = socket.create_connection(address, CONNECT_TIMEOUT_S)
                connection.settimeout(None)
                return connection
        return None


def _copy_until_eof(source: socket.socket, sink: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while chunk := source.recv(_CHUNK_BYTES):
            sink.sendall(chunk)
    with contextlib.suppress(OSError):
        sink.shutdown(socket.SHUT_WR)
