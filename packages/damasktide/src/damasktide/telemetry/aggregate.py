"""Aggregates counts and durations between two flushes."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from damasktide.telemetry.metrics import UNDECLARED, Metric, MetricKind

# Bounds the bytes sent for each timer; at 1,200 requests/s all samples would be 40 KB/s.
MAX_SAMPLES_PER_FLUSH = 50


@dataclass(frozen=True, slots=True)
class Flush:
    """The values that one flush sends.

    Attributes
    ----------
    amount_by_name
        Sum of each counter since the last flush.
    samples_by_name
        Durations of each timer in milliseconds; a uniform sample if there were more than
        ``MAX_SAMPLES_PER_FLUSH``.
    """

    amount_by_name: Mapping[str, int]
    samples_by_name: Mapping[str, tuple[float, ...]]


@dataclass(slots=True)
class _Reservoir:
    """Uniform sample of a stream (Vitter's algorithm R)."""

    value_count: int = 0
    samples: list[float] = field(default_factory=list)

    def add(self, value: float, random: Random) -> None:
        self.value_count += 1
        if len(self.samples) < MAX_SAMPLES_PER_FLUSH:
            self.samples.append(value)
            return
        index = int(random.random() * self.value_count)
        if index < MAX_SAMPLES_PER_FLUSH:
            self.samples[index] = value


class Aggregate:
    """Values collected for the next flush.

    Parameters
    ----------
    metrics
        Declared metrics; values of other names are dropped and counted as undeclared.
    random
        Random number generator for the sampling.
    """

    def __init__(self, metrics: Mapping[str, Metric], random: Random) -> None:
        kinds = {name: metric.kind for name, metric in metrics.items()}
        self._counters = frozenset(
            name for name, kind in kinds.items() if kind is MetricKind.COUNTER
        )
        self._timers = frozenset(name for name, kind in kinds.items() if kind is MetricKind.TIMER)
        self._random = random
        self._amount_by_name: Counter[str] = Counter()
        self._reservoir_by_name: dict[str, _Reservoir] = {}

    def count(self, name: str, amount: int) -> None:
        """Add ``amount`` to a counter."""
        self._amount_by_name[name if name in self._counters else UNDECLARED] += amount

    def observe(self, name: str, milliseconds: float) -> None:
        """Add a duration to a timer."""
        if name not in self._timers:
            self._amount_by_name[UNDECLARED] += 1
            return
        reservoir = self._reservoir_by_name.get(name)
        if reservoir is None:
            reservoir = self._reservoir_by_name[name] = _Reservoir()
        reservoir.add(milliseconds, self._random)

    def flush(self) -> Flush:
        """Return the collected values and reset."""
        samples = {
            name: tuple(reservoir.samples) for name, reservoir in self._reservoir_by_name.items()
        }
        flush = Flush(dict(self._amount_by_name), samples)
        self._amount_by_name.clear()
        self._reservoir_by_name.clear()
        return flush
