"""Answers the platform's readiness check and serves the metrics."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, generate_latest

from damasktide.http1.caller_connection import CallerConnection
from damasktide.http1.errors import BadRequestError
from damasktide.http1.messages import encode_response
from damasktide.lifecycle.probes import readyz
from damasktide.lifecycle.state import LifecycleSnapshot

_TEXT = (b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")


class ProbeHandler:
    """Serves connections to the readiness address.

    Parameters
    ----------
    readiness_path, metrics_path
        Paths that are answered; others get 404.
    snapshot
        Returns the present state of the instance.
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
        self._answer_by_path: dict[bytes, Callable[[], tuple[int, bytes]]] = {
            readiness_path.encode(): self._readiness,
            metrics_path.encode(): self._metrics,
        }
        self._snapshot = snapshot
        self._registry = registry

    def serve(self, connection: CallerConnection) -> None:
        """Answer requests until the connection ends."""
        try:
            while (head := connection.read_request()) is not None:
                path = head.target.partition(b"?")[0]
                answer = self._answer_by_path.get(path, _not_found)
                status, body = answer()
                connection.send(encode_response(status, b"", (_TEXT,), body))
                if not head.keeps_alive:
                    return
        except BadRequestError as error:
            connection.send_plain(error.status, b"", error.detail)

    def _readiness(self) -> tuple[int, bytes]:
        answer = readyz(self._snapshot())
        return answer.status, f"{answer.phase}\n".encode()

    def _metrics(self) -> tuple[int, bytes]:
        return 200, generate_latest(self._registry)


def _not_found() -> tuple[int, bytes]:
    return 404, b"not found\n"
