"""Fits a straight line to measured points."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import linear_regression


@dataclass(frozen=True, slots=True)
class Line:
    """A line fitted by least squares.

    Attributes
    ----------
    slope
        Value per unit of size.
    intercept
        Value at size 0.
    worst_relative_error
        Largest distance between a point and the line, divided by the value of the point.
    """

    slope: float
    intercept: float
    worst_relative_error: float

    def at(self, size: float) -> float:
        """Return the value of the line at ``size``."""
        return self.intercept + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line to ``points``, given as pairs of size and value."""
    sizes, values = zip(*points, strict=True)
    slope, intercept = linear_regression(sizes, values)
    errors = (
        abs(intercept + slope * size - value) / abs(value) for size, value in points if value
    )
    return Line(slope, intercept, max(errors, default=0.0))
