"""Runs the fault scenarios and prints a table of their results."""

from gevent import monkey

monkey.patch_all()

import sys
from collections.abc import Iterator

import click

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.registry import (
    GUARANTEE_BY_POINT,
    scenarios,
    scenarios_by_point,
)
from damasktide_standins.process_faults.runner import ScenarioResult, run_scenarios


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--only", help="Run the scenarios whose name contains this text.")
@click.option(
    "--list", "list_only", is_flag=True, help="Only print the scenarios that cover each point."
)
def main(seed: int, only: str | None, list_only: bool) -> None:
    """Run the fault scenarios against local deployments and print a table."""
    names = [name for name in scenarios if only is None or only in name]
    results = [] if list_only else list(_run(names, seed))
    _print_points()
    failed = sum(bool(result.problems or result.exceeded_limits) for result in results)
    click.echo(f"{len(results) - failed} held, {failed} failed, seed {seed}")
    sys.exit(1 if failed else 0)


def _run(names: list[str], seed: int) -> Iterator[ScenarioResult]:
    """Run the scenarios; those with the same layout share one deployment."""
    names_by_layout: dict[int, list[str]] = {}
    for name in names:
        names_by_layout.setdefault(id(scenarios.get(name).layout), []).append(name)
    for layout_names in names_by_layout.values():
        with LocalCluster(scenarios.get(layout_names[0]).layout) as cluster:
            for result in run_scenarios(cluster, layout_names, seed):
                _print_result(result)
                yield result


def _print_result(result: ScenarioResult) -> None:
    problems = (*result.problems, *result.exceeded_limits)
    state = "failed" if problems else "held"
    points = ",".join(str(point) for point in scenarios.get(result.name).points)
    measurements = " ".join(f"{key}={value:.2f}" for key, value in result.measurements.items())
    click.echo(
        f"{state:7}{result.name:46}points {points:12}{result.served:6} served  {measurements}"
    )
    click.echo(f"{'':7}refusals: {result.refusals}")
    for problem in problems[:10]:
        click.echo(f"{'':7}{problem}")


def _print_points() -> None:
    for point, names in scenarios_by_point().items():
        click.echo(f"{point:3}  {GUARANTEE_BY_POINT[point]}: {'; '.join(names) or 'no scenario'}")


if __name__ == "__main__":
    main(prog_name="process_faults")
