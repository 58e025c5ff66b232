"""Asks targets that returned to service whether they are cold."""

from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import Protocol

from gevent.pool import Pool
from loguru import logger

from damasktide.http1.errors import CallError
from damasktide.http1.messages import ResponseHead, encode_request
from damasktide.http1.server_connection import ServerConnection
from damasktide.runtime.task import Task, handles
from damasktide.targets.target import TargetEntry

PROBE_TIMEOUT_S = 0.5
MAX_CONCURRENT_PROBES = 16
MAX_RESPONSE_BODY_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Asks a target how long it will be cold.

    Attributes
    ----------
    entry
        The target.
    health_path
        Path of its health check.
    returned_at
        Monotonic time in seconds at which it returned to service.
    """

    entry: TargetEntry
    health_path: str
    returned_at: float


@dataclass(frozen=True, slots=True)
class ColdStartReported:
    """A target stated after its return to service how long it will be cold.

    Attributes
    ----------
    incarnation
        The target.
    returned_at
        Monotonic time in seconds at which it returned to service.
    cold_start_remaining_s
        Seconds of cold start that remain; 0 if it is warm.
    """

    incarnation: tuple[str, int]
    returned_at: float
    cold_start_remaining_s: float


class HealthDecoder(Protocol):
    """Decodes responses to health checks."""

    def cold_start_remaining_s(self, head: ResponseHead, target_id: str) -> float | None:
        """Return for how many seconds a target stays cold, 0 if it is warm.

        The result is None if the target is not healthy, or if another server responds.
        """


class ColdStartProber(Task):
    """Sends each probe on a connection of its own.

    A probe that fails is not repeated. Its target stays limited until its entry states a cold
    start, or until one would have ended.

    Parameters
    ----------
    decoder
        Decodes the responses.
    notify
        Receives :class:`ColdStartReported` messages.
    """

    def __init__(
        self, decoder: HealthDecoder, notify: Callable[[ColdStartReported], None]
    ) -> None:
        super().__init__("cold-start-prober")
        self._decoder = decoder
        self._notify = notify
        self._pool = Pool(MAX_CONCURRENT_PROBES)

    @handles(ProbeTarget)
    def _probe(self, probe: ProbeTarget) -> None:
        # Blocks while MAX_CONCURRENT_PROBES are in flight.
        self._pool.spawn(self._run_probe, probe)

    def _run_probe(self, probe: ProbeTarget) -> None:
        entry = probe.entry
        remaining_s = self._ask(entry, probe.health_path)
        logger.bind(target=entry.target_id, cold_s=remaining_s).info("returned target probed")
        if remaining_s is not None:
            self._notify(ColdStartReported(entry.incarnation, probe.returned_at, remaining_s))

    def _ask(self, entry: TargetEntry, health_path: str) -> float | None:
        until = monotonic() + PROBE_TIMEOUT_S
        host, port = entry.address
        fields = ((b"Host", f"{host}:{port}".encode()),)
        request = encode_request(b"GET", health_path.encode(), fields, None)
        connection = ServerConnection(entry.address)
        try:
            connection.connect(PROBE_TIMEOUT_S)
            head, _ = connection.exchange(request, b"GET", until, MAX_RESPONSE_BODY_BYTES)
        except CallError as error:
            logger.bind(target=entry.target_id).info("probe failed: {}", error)
            return None
        finally:
            connection.close()
        return self._decoder.cold_start_remaining_s(head, entry.target_id)
