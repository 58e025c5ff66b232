"""Fits a straight line to measured points."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import linear_regression


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line.

    Attributes
    ----------
    slope
        Value per unit of size.
    intercept
        Value at size 0.
    worst_relative_error
        Largest distance of a point from the line, relative to the point.
    """

    slope: float
    intercept: float
    worst_relative_error: float

    def at(self, size: float) -> float:
        """Return the value of the line at ``size``."""
        return self.intercept + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the line through ``points``, given as size and value."""
    sizes, values = zip(*points, strict=True)
    slope, intercept = linear_regression(sizes, values)
    errors = (
        abs(intercept + slope * size - value) / abs(value) for size, value in points if value
    )
    return Line(slope, intercept, max(errors, default=0.0))
