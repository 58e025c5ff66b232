"""Registry of microbenchmarks, and functions to run them."""

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
class Benchmark:
    """A function that measures the cost of a component, and the sizes to run it at.

    Attributes
    ----------
    sizes
        Sizes at which the cost is measured.
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
class BenchmarkResult:
    """Results of one benchmark.

    Attributes
    ----------
    name, size_unit, unit
        Name and units with which the benchmark is registered.
    points
        Pairs of size and measured cost.
    line
        Line fitted to the points.
    load
        Load average before the benchmark.
    """

    name: str
    size_unit: str
    unit: str
    points: tuple[tuple[int, float], ...]
    line: Line
    load: float


benchmarks: Registry[str, Benchmark] = Registry("benchmark")


def benchmark(
    name: str, sizes: Sequence[int], size_unit: str, unit: str
) -> Callable[[Measure], Measure]:
    """Return a decorator that registers a function as the measurement of a benchmark."""

    def decorate(measure: Measure) -> Measure:
        benchmarks.register(name)(Benchmark(sizes, size_unit, unit, measure))
        return measure

    return decorate


def run_benchmark(name: str) -> BenchmarkResult:
    """Run a benchmark at all of its sizes."""
    registered = benchmarks.get(name)
    load = load_average()
    points = tuple((size, registered.measure(size)) for size in registered.sizes)
    return BenchmarkResult(name, registered.size_unit, registered.unit, points, fit(points), load)


def time_us(action: Callable[[], object]) -> float:
    """Return the processor time of a call in microseconds; the median of several samples."""
    start = time.process_time()
    action()
    count = max(1, int(MIN_SAMPLE_S / max(1e-6, time.process_time() - start)))
    return median(_sample_us(action, count) for _ in range(REPEATS))


def retained_bytes(build: Callable[[], object]) -> float:
    """Return the memory that the result of ``build`` retains, in bytes."""
    build()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return after - before


def _sample_us(action: Callable[[], object], count: int) -> float:
    start = time.process_time()
    for _ in range(count):
        action()
    return (time.process_time() - start) / count * 1e6
