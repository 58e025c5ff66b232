"""Prints throughput and latency of the router and the bare hop, and a profile of the router."""

import json
from collections import Counter
from dataclasses import asdict, fields
from pathlib import Path

import click

from damasktide_standins.measure.hop.comparison import HopRun, compare, median_and_range, profile
from damasktide_standins.measure.machine import describe_machine
from damasktide_standins.measure.shutdown import exit_on_sigterm

MIN_THROUGHPUT_SHARE = 0.9
MAX_ADDED_P99_MS = 3.0
_PROFILE_LINES = 60


@click.command()
@click.option("--repeats", default=3, show_default=True)
@click.option("--profile", "is_profiled", is_flag=True, help="Also sample the router's stacks.")
@click.option("--output", type=click.Path(path_type=Path), default=Path("build/measure"))
def main(repeats: int, is_profiled: bool, output: Path) -> None:
    """Compare the router and the bare hop in the same deployment."""
    exit_on_sigterm()
    output.mkdir(parents=True, exist_ok=True)
    runs = list(compare(repeats))
    for field in fields(HopRun):
        middle, low, high = median_and_range(runs, field.name)
        click.echo(f"{field.name:15} {middle:9.2f}  ({low:.2f} to {high:.2f})")
    _print_targets(runs)
    document = {"machine": describe_machine(), "runs": [asdict(run) for run in runs]}
    (output / "hop.json").write_text(json.dumps(document, indent=1))
    if is_profiled:
        total, inclusive, own = profile()
        _print_profile("inclusive", total, inclusive)
        _print_profile("own", total, own)


def _print_targets(runs: list[HopRun]) -> None:
    share = median_and_range(runs, "router_per_s")[0] / median_and_range(runs, "bare_per_s")[0]
    added_ms = (
        median_and_range(runs, "router_p99_ms")[0] - median_and_range(runs, "bare_p99_ms")[0]
    )
    for text, is_met in (
        (
            f"throughput {share:.2f} of the bare hop (target {MIN_THROUGHPUT_SHARE})",
            share >= MIN_THROUGHPUT_SHARE,
        ),
        (f"added p99 {added_ms:.2f} ms (target {MAX_ADDED_P99_MS})", added_ms < MAX_ADDED_P99_MS),
    ):
        click.echo(f"{text}: {'met' if is_met else 'missed'}")


def _print_profile(kind: str, total: int, counts: Counter[str]) -> None:
    click.echo(f"{kind}, {total} samples")
    for name, count in counts.most_common(_PROFILE_LINES):
        click.echo(f"  {count / total:6.1%}  {name}")


if __name__ == "__main__":
    main(prog_name="hop")
