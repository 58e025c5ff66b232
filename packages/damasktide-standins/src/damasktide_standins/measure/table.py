"""Combines the samples of all repeats into rows."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from damasktide_standins.measure.registry import Sample, Target


@dataclass(frozen=True, slots=True)
class Row:
    """One measured value over all repeats.

    Attributes
    ----------
    user, name, unit
        What was measured.
    middle, low, high
        Median and spread.
    repeats
        Number of values.
    target
        Target in words, empty if there is none.
    is_met
        Whether the median meets it, or None.
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
    """Return one row for each name."""
    samples_by_name: dict[str, list[Sample]] = {}
    for sample in samples:
        samples_by_name.setdefault(sample.name, []).append(sample)
    return [_row(user, group) for group in samples_by_name.values()]


def _row(user: str, group: list[Sample]) -> Row:
    values = [sample.value for sample in group]
    target: Target | None = group[0].target
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
