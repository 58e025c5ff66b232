"""HTTP handler for the readiness check and the metrics."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, generate_latest

from damasktide.http1.caller_connection import CallerConnection
from damasktide.http1.errors import BadRequestError
from damasktide.http1.messages import encode_response
from damasktide.lifecycle.probes import readyz
from damasktide.lifecycle.state import LifecycleSnapshot

_CONTENT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")


class ProbeHandler:
    """Serves connections to the listener for probes.

    Parameters
    ----------
    readiness_path, metrics_path
        Paths that are served; others return 404.
    snapshot
        Returns the current lifecycle state of the instance.
    registry
        Metrics to serve.
    """

    def __init__(
        self,
        readiness_path: str,
        metrics_path: str,
        snapshot: Callable[[], LifecycleSnapshot],
        registry: CollectorRegistry,
    ) -> None:
        self._handler_by_path: dict[bytes, Callable[[], tuple[int, bytes]]] = {
            readiness_path.encode(): self._readiness,
            metrics_path.encode(): self._metrics,
        }
        self._snapshot = snapshot
        self._registry = registry

    def serve(self, connection: CallerConnection) -> None:
        """Serve requests until the connection ends."""
        try:
            while (head := connection.read_request()) is not None:
                path = head.target.partition(b"?")[0]
                handler = self._handler_by_path.get(path, _not_found)
                status, body = handler()
                connection.send(encode_response(status, b"", (_CONTENT_TYPE,), body))
                if not head.keeps_alive:
                    return
        except BadRequestError as error:
            connection.send_plain(error.status, b"", error.detail)

    def _readiness(self) -> tuple[int, bytes]:
        response = readyz(self._snapshot())
        return response.status, f"{response.phase}\n".encode()

    def _metrics(self) -> tuple[int, bytes]:
        return 200, generate_latest(self._registry)


def _not_found() -> tuple[int, bytes]:
    return 404, b"not found\n"
