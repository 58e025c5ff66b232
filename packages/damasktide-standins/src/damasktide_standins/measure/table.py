"""Combines the samples of all repeats into result rows."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from damasktide_standins.measure.registry import DesignTarget, Sample


@dataclass(frozen=True, slots=True)
class Row:
    """One measured value over all repeats.

    Attributes
    ----------
    user, name, unit
        User whose deployment was measured, name of the value and its unit.
    middle, low, high
        Median, minimum and maximum.
    repeats
        Number of measured values.
    target
        Target as text; empty if there is none.
    is_met
        Whether the median meets the target; None if there is none.
    """

    user: str
    name: str
    unit: str
    middle: float
    low: float
    high: float
    repeats: int
    target: str
    is_met: bool | None

    def __str__(self) -> str:
        verdict = {None: "", True: "met", False: "missed"}[self.is_met]
        spread = f"{self.middle:10.3f} ({self.low:.3f} to {self.high:.3f}, n={self.repeats})"
        return f"{self.user:14} {self.name:52} {spread:38} {self.unit:9} {self.target:9} {verdict}"


def rows_of(user: str, samples: Iterable[Sample]) -> list[Row]:
    """Return one row for each name of a sample."""
    samples_by_name: dict[str, list[Sample]] = {}
    for sample in samples:
        samples_by_name.setdefault(sample.name, []).append(sample)
    return [_row(user, group) for group in samples_by_name.values()]


def _row(user: str, group: list[Sample]) -> Row:
    values = [sample.value for sample in group]
    target: DesignTarget | None = group[0].target
    middle = median(values)
    return Row(
        user=user,
        name=group[0].name,
        unit=group[0].unit,
        middle=middle,
        low=min(values),
        high=max(values),
        repeats=len(values),
        target=str(target) if target else "",
        is_met=target.is_met(middle) if target else None,
    )
