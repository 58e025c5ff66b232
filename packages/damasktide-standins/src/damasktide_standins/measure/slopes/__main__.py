"""Prints the costs of pure parts with their slopes and writes them as JSON."""

import json
from dataclasses import asdict
from pathlib import Path

import click

from damasktide_standins.measure.machine import describe
from damasktide_standins.measure.slopes import discovery_parts, membership_parts, ownership_parts
from damasktide_standins.measure.slopes.parts import PartResult, parts, run_part

# Importing these modules fills the registry.
_PART_MODULES = (ownership_parts, discovery_parts, membership_parts)


@click.command()
@click.option("--only", default="", help="Measure the parts whose name contains this text.")
@click.option(
    "--output",
    type=click.Path(path_type=Path),
    default=Path("build/measure"),
    show_default=True,
    help="Directory of the JSON file.",
)
def main(only: str, output: Path) -> None:
    """Measure pure parts at several sizes and fit a line to each."""
    results = []
    for name in (name for name in parts if only in name):
        result = run_part(name)
        results.append(result)
        _print(result)
    output.mkdir(parents=True, exist_ok=True)
    document = {"machine": describe(), "parts": [asdict(result) for result in results]}
    (output / "slopes.json").write_text(json.dumps(document, indent=1))


def _print(result: PartResult) -> None:
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
