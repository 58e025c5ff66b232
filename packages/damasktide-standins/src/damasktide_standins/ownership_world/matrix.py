"""Runs the fault matrix and the explorer and prints their results."""

from collections import Counter
from collections.abc import Iterable

import click

from damasktide_standins.ownership_world.cells import Cell, pair_cells, run_cell, single_cells
from damasktide_standins.ownership_world.explorer import explore

HELD, FAILED, NOT_RUN = "held", "failed", "not run"


def _run(cells: Iterable[Cell]) -> Counter[str]:
    count_by_result: Counter[str] = Counter()
    for cell in cells:
        cell_result = run_cell(cell)
        result = (FAILED if cell_result.problems else HELD) if cell_result.was_run else NOT_RUN
        count_by_result[result] += 1
        click.echo(f"{result:8} {cell} {'; '.join(cell_result.problems[:2])}".rstrip())
    return count_by_result


@click.command()
@click.option("--seed", default=1, help="Seed of the cells.")
@click.option("--pairs/--no-pairs", default=True, help="Whether to run pairs of faults.")
@click.option("--first", default=0, help="First seed of the explorer.")
@click.option("--schedules", default=60, help="Number of schedules of the explorer.")
@click.option("--every", default=1, help="Run every n-th cell only.")
@click.option("--offset", default=0, help="Number of cells to skip at the start.")
def main(seed: int, pairs: bool, first: int, schedules: int, every: int, offset: int) -> None:
    """Run the matrix and the explorer; the exit code is 1 if a cell or a schedule failed."""
    cells = [*single_cells(seed), *(pair_cells(seed) if pairs else ())]
    totals = _run(cells[offset::every])
    failed_seeds = []
    for explorer_seed in range(first, first + schedules):
        exploration = explore(explorer_seed)
        if exploration.problems:
            failed_seeds.append(explorer_seed)
            click.echo(f"seed {explorer_seed}: {exploration.schedule}: {exploration.problems[:2]}")
    totals_text = ", ".join(f"{totals[name]} {name}" for name in (HELD, FAILED, NOT_RUN))
    click.echo(f"cells: {totals_text}")
    click.echo(f"explorer: seeds {first} to {first + schedules - 1}, failed: {failed_seeds}")
    raise SystemExit(1 if totals[FAILED] or failed_seeds else 0)


if __name__ == "__main__":
    main()
