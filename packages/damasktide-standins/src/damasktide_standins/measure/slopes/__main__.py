"""Runs the microbenchmarks, prints costs and fitted lines, and writes them as JSON."""

import json
from dataclasses import asdict
from pathlib import Path

import click

from damasktide_standins.measure.machine import describe_machine
from damasktide_standins.measure.slopes import (
    discovery_benchmarks,
    membership_benchmarks,
    ownership_benchmarks,
)
from damasktide_standins.measure.slopes.benchmarks import (
    BenchmarkResult,
    benchmarks,
    run_benchmark,
)

# Importing these modules registers the benchmarks.
_BENCHMARK_MODULES = (ownership_benchmarks, discovery_benchmarks, membership_benchmarks)


@click.command()
@click.option("--only", default="", help="Run the benchmarks whose name contains this text.")
@click.option(
    "--output",
    type=click.Path(path_type=Path),
    default=Path("build/measure"),
    show_default=True,
    help="Directory of the JSON file.",
)
def main(only: str, output: Path) -> None:
    """Run each benchmark at several sizes and fit a line to its results."""
    results = []
    for name in (name for name in benchmarks if only in name):
        result = run_benchmark(name)
        results.append(result)
        _print(result)
    output.mkdir(parents=True, exist_ok=True)
    document = {"machine": describe_machine(), "parts": [asdict(result) for result in results]}
    (output / "slopes.json").write_text(json.dumps(document, indent=1))


def _print(result: BenchmarkResult) -> None:
    points = "  ".join(f"{size}: {value:.4g}" for size, value in result.points)
    line = result.line
    click.echo(f"{result.name} ({result.unit} by {result.size_unit}; load {result.load:.1f})")
    click.echo(f"    {points}")
    click.echo(
        f"    slope {line.slope:.4g}  intercept {line.intercept:.4g}"
        f"  worst point {line.worst_relative_error:.0%}"
    )


if __name__ == "__main__":
    main(prog_name="slopes")
