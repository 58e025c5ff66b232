"""Task that owns the UDP socket to statsd."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from loguru import logger
from statsd import StatsClient

from damasktide.runtime.task import Task, TaskFailed, every, handles
from damasktide.telemetry.aggregate import Aggregate
from damasktide.telemetry.metrics import PREFIX, metric_by_name

FLUSH_INTERVAL_S = 1.0
# Small enough for a datagram to fit into one Ethernet frame.
MAX_DATAGRAM_BYTES = 1432


@dataclass(frozen=True, slots=True)
class Count:
    """Adds ``amount`` to a counter."""

    name: str
    amount: int = 1


@dataclass(frozen=True, slots=True)
class Observe:
    """Adds a duration to a timer."""

    name: str
    milliseconds: float


class TelemetryTask(Task):
    """Aggregates counts and durations and sends them each second.

    Parameters
    ----------
    host, port
        UDP address of statsd.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    """

    def __init__(
        self, host: str, port: int, on_failure: Callable[[TaskFailed], None] | None = None
    ) -> None:
        super().__init__("telemetry", on_failure)
        self._address = (host, port)
        self._aggregate = Aggregate(metric_by_name(), Random())
        self._client: StatsClient | None = None

    def on_stop(self) -> None:
        """Send the remaining values and close the socket."""
        self._flush()
        if self._client is not None:
            self._client.close()

    @handles(Count)
    def _count(self, message: Count) -> None:
        self._aggregate.count(message.name, message.amount)

    @handles(Observe)
    def _observe(self, message: Observe) -> None:
        self._aggregate.observe(message.name, message.milliseconds)

    @every(FLUSH_INTERVAL_S)
    def _flush(self) -> None:
        flush = self._aggregate.flush()
        client = self._open()
        if client is None:
            return
        # The client discards what it cannot send, so an unreachable statsd has no other effect.
        with client.pipeline() as pipeline:
            for name, amount in flush.amount_by_name.items():
                pipeline.incr(name, amount)
            for name, samples in flush.samples_by_name.items():
                for sample in samples:
                    pipeline.timing(name, sample)

    def _open(self) -> StatsClient | None:
        """Return the client, or None if its address is unusable."""
        if self._client is None:
            host, port = self._address
            try:
                self._client = StatsClient(
                    host, port, prefix=PREFIX, maxudpsize=MAX_DATAGRAM_BYTES
                )
            except OSError as error:
                logger.warning("statsd at {}:{} cannot be used: {}", host, port, error)
        return self._client
