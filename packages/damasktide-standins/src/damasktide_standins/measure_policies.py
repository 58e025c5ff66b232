"""Compares balancing policies in a queueing model and prints a table.

Run it with ``python -m damasktide_standins.measure_policies``.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from statistics import fmean, median, pstdev

import click

from damasktide_standins.policy_model import PolicyModel, RunResult
from damasktide_standins.policy_scenarios import CANDIDATES, SCENARIOS, Candidate, Scenario


@dataclass(frozen=True, slots=True)
class RunStatistics:
    """Statistics of one run.

    Attributes
    ----------
    p50_ms, p99_ms, p999_ms
        Quantiles of the latency in milliseconds.
    max_over_mean, variation
        Largest load of a target divided by the mean load, and standard deviation of the loads
        divided by their mean, each averaged over windows of 10 s.
    calls
        Calls per request.
    """

    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_over_mean: float
    variation: float
    calls: float


COLUMNS: tuple[tuple[str, Callable[[RunStatistics], float], int], ...] = (
    ("p50 ms", lambda statistics: statistics.p50_ms, 1),
    ("p99 ms", lambda statistics: statistics.p99_ms, 1),
    ("p99.9 ms", lambda statistics: statistics.p999_ms, 1),
    ("max/mean", lambda statistics: statistics.max_over_mean, 2),
    ("variation", lambda statistics: statistics.variation, 3),
    ("calls", lambda statistics: statistics.calls, 3),
)


def summarize(result: RunResult) -> RunStatistics:
    """Return the statistics of one run."""
    latencies = sorted(result.latencies_s)
    loads = result.load_by_window
    return RunStatistics(
        p50_ms=_quantile_ms(latencies, 0.5),
        p99_ms=_quantile_ms(latencies, 0.99),
        p999_ms=_quantile_ms(latencies, 0.999),
        max_over_mean=fmean(max(load) / fmean(load) for load in loads),
        variation=fmean(pstdev(load) / fmean(load) for load in loads),
        calls=result.calls,
    )


def measure(
    scenario: Scenario, candidate: Candidate, seeds: int, seconds: float
) -> tuple[RunStatistics, ...]:
    """Return the statistics of one run for each of the seeds 1 to ``seeds``."""
    models = (PolicyModel(scenario, candidate, seed, seconds) for seed in range(1, seeds + 1))
    return tuple(summarize(model.run()) for model in models)


def _quantile_ms(ordered_s: list[float], quantile: float) -> float:
    return 1000.0 * ordered_s[int(quantile * (len(ordered_s) - 1))]


def _cell(
    statistics: tuple[RunStatistics, ...], value: Callable[[RunStatistics], float], digits: int
) -> str:
    values = [value(run) for run in statistics]
    low, high = min(values), max(values)
    return f"{median(values):.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"


def _candidates(scenario: Scenario) -> Iterator[Candidate]:
    for candidate in CANDIDATES:
        is_by_class = candidate.matching_mode or candidate.policy == "least_wait_by_class"
        if len(scenario.kinds) > 1 or not is_by_class:
            yield candidate


def _print_scenario(scenario: Scenario, seeds: int, seconds: float) -> None:
    click.echo(f"\n{scenario.name}; {scenario.arrivals_per_s:.0f} requests/s\n")
    click.echo("| candidate | " + " | ".join(name for name, _, _ in COLUMNS) + " |")
    click.echo("| --- |" + " --- |" * len(COLUMNS))
    for candidate in _candidates(scenario):
        statistics = measure(scenario, candidate, seeds, seconds)
        cells = (_cell(statistics, value, digits) for _, value, digits in COLUMNS)
        click.echo(f"| {candidate.name} | " + " | ".join(cells) + " |")


@click.command()
@click.option(
    "--seeds",
    default=5,
    show_default=True,
    help="Number of runs; their seeds are 1 to this number.",
)
@click.option(
    "--seconds", default=32.0, show_default=True, help="Simulated time of each run in seconds."
)
@click.option(
    "--scenario", "name_part", default="", help="Run the scenarios whose name contains this text."
)
def main(seeds: int, seconds: float, name_part: str) -> None:
    """Print median and range over the seeds for each policy in each scenario."""
    for scenario in SCENARIOS:
        if name_part in scenario.name:
            _print_scenario(scenario, seeds, seconds)


if __name__ == "__main__":
    main()
