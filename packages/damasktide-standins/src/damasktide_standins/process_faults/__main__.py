"""Prints a table of the process faults."""

from gevent import monkey

monkey.patch_all()

import sys

import click

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.runner import LAYOUT, run_scenarios
from damasktide_standins.process_faults.scenarios import scenarios


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--only", help="Run the scenarios whose name contains this text.")
def main(seed: int, only: str | None) -> None:
    """Run the process faults against a local deployment and print a table."""
    names = [name for name in scenarios if only is None or only in name]
    failed = 0
    with LocalCluster(LAYOUT) as cluster:
        for result in run_scenarios(cluster, names, seed):
            state = "failed" if result.problems else "held"
            failed += bool(result.problems)
            figures = " ".join(f"{key}={value:.2f}" for key, value in result.figures.items())
            click.echo(f"{state:7}{result.name:42}{result.served:6} served  {figures}")
            click.echo(f"{'':7}refusals: {result.refusals}")
            for problem in result.problems[:10]:
                click.echo(f"{'':7}{problem}")
    click.echo(f"{len(names) - failed} held, {failed} failed, seed {seed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main(prog_name="process_faults")
