"""The registry of parts and the way one part is measured."""

import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import median

from damasktide.runtime.registry import Registry
from damasktide_standins.measure.fit import Line, fit
from damasktide_standins.measure.machine import load_average

REPEATS = 5
MIN_SAMPLE_S = 0.05

Measure = Callable[[int], float]


@dataclass(frozen=True, slots=True)
class Part:
    """A part whose cost is measured at several sizes.

    Attributes
    ----------
    sizes
        Sizes at which it is measured.
    size_unit, unit
        Units of the size and of the cost.
    measure
        Returns the cost at a size.
    """

    sizes: Sequence[int]
    size_unit: str
    unit: str
    measure: Measure


@dataclass(frozen=True, slots=True)
class PartResult:
    """Cost of a part.

    Attributes
    ----------
    name, size_unit, unit
        As registered.
    points
        Size and median cost.
    line
        Line through the points.
    load
        Load average at the start.
    """

    name: str
    size_unit: str
    unit: str
    points: tuple[tuple[int, float], ...]
    line: Line
    load: float


parts: Registry[str, Part] = Registry("measured part")


def part(
    name: str, sizes: Sequence[int], size_unit: str, unit: str
) -> Callable[[Measure], Measure]:
    """Return a decorator that registers the function that measures a part."""

    def decorate(measure: Measure) -> Measure:
        parts.register(name)(Part(sizes, size_unit, unit, measure))
        return measure

    return decorate


def run_part(name: str) -> PartResult:
    """Measure a part at all of its sizes."""
    item = parts.get(name)
    load = load_average()
    points = tuple((size, item.measure(size)) for size in item.sizes)
    return PartResult(name, item.size_unit, item.unit, points, fit(points), load)


def time_us(action: Callable[[], object]) -> float:
    """Return the processor time of a call in microseconds, median of several samples."""
    start = time.process_time()
    action()
    count = max(1, int(MIN_SAMPLE_S / max(1e-6, time.process_time() - start)))
    return median(_sample_us(action, count) for _ in range(REPEATS))


def kept_bytes(build: Callable[[], object]) -> float:
    """Return the memory that the result of ``build`` takes, in bytes."""
    build()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def _sample_us(action: Callable[[], object], count: int) -> float:
    start = time.process_time()
    for _ in range(count):
        action()
    return (time.process_time() - start) / count * 1e6
