"""The registry of measures and what one yields."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from damasktide.runtime.registry import Registry
from damasktide_standins.cluster.local_cluster import LocalCluster


@dataclass(frozen=True, slots=True)
class Target:
    """A target of the design page.

    Attributes
    ----------
    limit
        Bound of the value.
    is_upper
        Whether the value must be at most ``limit``; else at least.
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
    """One value of one repeat.

    Attributes
    ----------
    name
        What was measured.
    value, unit
        The value.
    target
        Its target, or None.
    """

    name: str
    value: float
    unit: str
    target: Target | None = None


Measure = Callable[[LocalCluster, int], Iterable[Sample]]

# Each function takes the deployment and a seed.
measures: Registry[str, Measure] = Registry("measure")
