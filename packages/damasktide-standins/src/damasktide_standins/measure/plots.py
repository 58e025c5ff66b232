"""Plots result rows."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl
from matplotlib.figure import Figure

from damasktide_standins.measure.table import Row

_INCHES_PER_ROW = 0.3


def plot_rows(rows: Sequence[Row], path: Path) -> None:
    """Write a bar chart of the rows that have a target, each relative to its target."""
    mpl.use("Agg")
    shown = [row for row in rows if row.is_met is not None]
    figure = Figure(figsize=(10, 2 + _INCHES_PER_ROW * len(shown)))
    axes = figure.add_subplot()
    limits = [float(row.target.split()[1]) for row in shown]
    axes.barh(
        [f"{row.user}: {row.name}" for row in shown],
        [row.middle / limit for row, limit in zip(shown, limits, strict=True)],
        color=["tab:green" if row.is_met else "tab:red" for row in shown],
    )
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set_xlabel("median over target; green: met")
    axes.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path)
