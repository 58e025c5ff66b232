"""Compares balancing policies in a queueing model and prints a table.

Run it with ``python -m damasktide_standins.measure_policies``.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from statistics import fmean, median, pstdev

import click

from damasktide_standins.policy_model import Measured, PolicyModel
from damasktide_standins.policy_scenarios import CANDIDATES, SCENARIOS, Candidate, Scenario


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one run.

    Attributes
    ----------
    p50_ms, p99_ms, p999_ms
        Quantiles of the latency in milliseconds.
    max_over_mean, variation
        Largest load of a target over the mean, and standard deviation over mean, each as the
        mean over windows of 10 s.
    calls
        Calls per request.
    """

    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_over_mean: float
    variation: float
    calls: float


COLUMNS: tuple[tuple[str, Callable[[Figures], float], int], ...] = (
    ("p50 ms", lambda item: item.p50_ms, 1),
    ("p99 ms", lambda item: item.p99_ms, 1),
    ("p99.9 ms", lambda item: item.p999_ms, 1),
    ("max/mean", lambda item: item.max_over_mean, 2),
    ("variation", lambda item: item.variation, 3),
    ("calls", lambda item: item.calls, 3),
)


def summarize(measured: Measured) -> Figures:
    """Return the figures of one run."""
    latencies = sorted(measured.latencies_s)
    loads = measured.load_by_window
    return Figures(
        p50_ms=_quantile_ms(latencies, 0.5),
        p99_ms=_quantile_ms(latencies, 0.99),
        p999_ms=_quantile_ms(latencies, 0.999),
        max_over_mean=fmean(max(load) / fmean(load) for load in loads),
        variation=fmean(pstdev(load) / fmean(load) for load in loads),
        calls=measured.calls,
    )


def measure(
    scenario: Scenario, candidate: Candidate, seeds: int, seconds: float
) -> tuple[Figures, ...]:
    """Return the figures for seeds 1 to ``seeds``."""
    runs = (PolicyModel(scenario, candidate, seed, seconds) for seed in range(1, seeds + 1))
    return tuple(summarize(run.run()) for run in runs)


def _quantile_ms(ordered_s: list[float], quantile: float) -> float:
    return 1000.0 * ordered_s[int(quantile * (len(ordered_s) - 1))]


def _cell(figures: tuple[Figures, ...], value: Callable[[Figures], float], digits: int) -> str:
    values = [value(item) for item in figures]
    low, high = min(values), max(values)
    return f"{median(values):.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"


def _candidates(scenario: Scenario) -> Iterator[Candidate]:
    for candidate in CANDIDATES:
        by_class = candidate.matching or candidate.policy == "least_wait_by_class"
        if len(scenario.kinds) > 1 or not by_class:
            yield candidate


def _print_scenario(scenario: Scenario, seeds: int, seconds: float) -> None:
    click.echo(f"\n{scenario.name}; {scenario.arrivals_per_s:.0f} requests/s\n")
    click.echo("| candidate | " + " | ".join(name for name, _, _ in COLUMNS) + " |")
    click.echo("| --- |" + " --- |" * len(COLUMNS))
    for candidate in _candidates(scenario):
        figures = measure(scenario, candidate, seeds, seconds)
        cells = (_cell(figures, value, digits) for _, value, digits in COLUMNS)
        click.echo(f"| {candidate.name} | " + " | ".join(cells) + " |")


@click.command()
@click.option("--seeds", default=5, show_default=True, help="Runs with seeds 1 to this number.")
@click.option("--seconds", default=32.0, show_default=True, help="Simulated seconds of a run.")
@click.option("--scenario", "wanted", default="", help="Only scenarios with this in their name.")
def main(seeds: int, seconds: float, wanted: str) -> None:
    """Print median and range over the seeds for each policy in each scenario."""
    for scenario in SCENARIOS:
        if wanted in scenario.name:
            _print_scenario(scenario, seeds, seconds)


if __name__ == "__main__":
    main()
