"""Measures deployments of the users' present sizes; prints a table, writes JSON and a plot."""

from gevent import monkey

monkey.patch_all()

import json
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path

import click

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.measure import ownership_churn, traffic, unavailability
from damasktide_standins.measure.layouts import LAYOUT_BY_USER
from damasktide_standins.measure.machine import describe_machine
from damasktide_standins.measure.maps import MapWatch
from damasktide_standins.measure.plots import plot_rows
from damasktide_standins.measure.registry import Sample, measures
from damasktide_standins.measure.shutdown import exit_on_sigterm, kill_instances
from damasktide_standins.measure.table import Row, rows_of

# Importing these modules registers the measures.
_MEASURE_MODULES = (traffic, ownership_churn, unavailability)


@click.command()
@click.option("--user", type=click.Choice([*LAYOUT_BY_USER, "both"]), default="both")
@click.option("--only", default="", help="Run the measures whose name contains this text.")
@click.option("--repeats", default=3, show_default=True)
@click.option("--output", type=click.Path(path_type=Path), default=Path("build/measure"))
def main(user: str, only: str, repeats: int, output: Path) -> None:
    """Measure the deployment of one user or of both."""
    exit_on_sigterm()
    output.mkdir(parents=True, exist_ok=True)
    users = list(LAYOUT_BY_USER) if user == "both" else [user]
    machine = describe_machine()
    rows: list[Row] = []
    for name in users:
        rows += rows_of(name, _samples(name, only, repeats))
    for row in rows:
        click.echo(str(row))
    document = {"machine": machine, "rows": [asdict(row) for row in rows]}
    (output / "measure.json").write_text(json.dumps(document, indent=1))
    plot_rows(rows, output / "measure.png")


def _samples(user: str, only: str, repeats: int) -> Iterator[Sample]:
    names = [name for name in measures if only in name]
    with LocalCluster(LAYOUT_BY_USER[user]) as cluster:
        _wait_until_maps_settle(cluster)
        for name in names:
            for seed in range(1, repeats + 1):
                click.echo(f"{user}: {name}, seed {seed}; {describe_machine()}", err=True)
                yield from _run(cluster, name, seed)
        kill_instances(cluster)


def _run(cluster: LocalCluster, name: str, seed: int) -> Iterator[Sample]:
    for sample in measures.get(name)(cluster, seed):
        click.echo(f"    {sample.name}: {sample.value:.4g} {sample.unit}", err=True)
        yield sample


def _wait_until_maps_settle(cluster: LocalCluster) -> None:
    for service in cluster.layout.services:
        watch = MapWatch(cluster, service.name)
        watch.settle()
        watch.close()


if __name__ == "__main__":
    main(prog_name="measure")
