"""Runs fault scenarios one after the other against one deployment under load."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from zlib import crc32

import gevent

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults import (
    cold_start,
    configuration,
    home_regions,
    late_responses,
    leaving,
    losses,
    operators,
    refusals,
    replacement,
)
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.observer import violations
from damasktide_standins.process_faults.registry import CheckResult, scenarios

# Importing these modules registers the scenarios.
SCENARIO_MODULES = (
    losses,
    home_regions,
    configuration,
    leaving,
    cold_start,
    replacement,
    late_responses,
    refusals,
    operators,
)
KEYS = tuple(f"line-{number}" for number in range(1, 7))
WARM_UP_S = 1.0


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Result of one scenario.

    Attributes
    ----------
    name
        Name in the registry.
    problems
        A line for each violation.
    exceeded_limits
        A line for each exceeded time limit.
    measurements
        Measured values by name.
    served
        Number of successful responses.
    refusals
        Number of refusals by code.
    """

    name: str
    problems: tuple[str, ...]
    exceeded_limits: tuple[str, ...]
    measurements: dict[str, float]
    served: int
    refusals: dict[str, int]


def run_scenarios(
    cluster: LocalCluster, names: Iterable[str], seed: int
) -> Iterator[ScenarioResult]:
    """Run the scenarios in one deployment and yield the result of each."""
    for name in names:
        yield run_scenario(cluster, name, seed)


def run_scenario(cluster: LocalCluster, name: str, seed: int) -> ScenarioResult:
    """Run one scenario under load and check the observed history."""
    # All scenarios share the execution logs, so no two of them may generate the same request ids.
    callers = Callers(cluster, KEYS, seed ^ crc32(name.encode()))
    callers.start()
    gevent.sleep(WARM_UP_S)
    try:
        check_result: CheckResult = scenarios.get(name).run(cluster, callers)
    finally:
        record = callers.stop()
    return ScenarioResult(
        name=name,
        problems=(*check_result.problems, *violations(cluster, record)),
        exceeded_limits=check_result.exceeded_limits,
        measurements=dict(check_result.measurements),
        served=len(record.served),
        refusals=dict(record.refusals),
    )
