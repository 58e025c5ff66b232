"""Registry of measures and the samples that they yield."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from damasktide.runtime.registry import Registry
from damasktide_standins.cluster.local_cluster import LocalCluster


@dataclass(frozen=True, slots=True)
class DesignTarget:
    """A limit on a measured value, set in docs/design.md.

    Attributes
    ----------
    limit
        Bound for the value.
    is_upper
        Whether the value must be at most ``limit``; otherwise it must be at least ``limit``.
    """

    limit: float
    is_upper: bool = True

    def is_met(self, value: float) -> bool:
        """Return whether a value meets the target."""
        return value <= self.limit if self.is_upper else value >= self.limit

    def __str__(self) -> str:
        return f"{'<=' if self.is_upper else '>='} {self.limit:g}"


@dataclass(frozen=True, slots=True)
class Sample:
    """One measured value of one repeat.

    Attributes
    ----------
    name
        What was measured.
    value, unit
        Value and its unit.
    target
        Target for the value, or None.
    """

    name: str
    value: float
    unit: str
    target: DesignTarget | None = None


# A measure takes the deployment and a seed.
Measure = Callable[[LocalCluster, int], Iterable[Sample]]

measures: Registry[str, Measure] = Registry("measure")
