"""Runs the process faults one after the other against one deployment under load."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from zlib import crc32

import gevent

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults import (
    cold_start,
    configuration,
    home_regions,
    late_answers,
    leaving,
    losses,
    operators,
    refusals,
    replacement,
)
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.observer import faults
from damasktide_standins.process_faults.registry import Findings, scenarios

# Importing these modules fills the registry.
SUBJECTS = (
    losses,
    home_regions,
    configuration,
    leaving,
    cold_start,
    replacement,
    late_answers,
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
    late
        A line for each exceeded time bound.
    figures
        Measured values by name.
    served
        Responses received.
    refusals
        Refusals by code.
    """

    name: str
    problems: tuple[str, ...]
    late: tuple[str, ...]
    figures: dict[str, float]
    served: int
    refusals: dict[str, int]


def run_scenarios(
    cluster: LocalCluster, names: Iterable[str], seed: int
) -> Iterator[ScenarioResult]:
    """Yield the result of each scenario; all of them share one deployment."""
    for name in names:
        yield run_scenario(cluster, name, seed)


def run_scenario(cluster: LocalCluster, name: str, seed: int) -> ScenarioResult:
    """Run one scenario under load and check what was observed."""
    # The execution logs span all scenarios, so two of them must not draw the same request ids.
    callers = Callers(cluster, KEYS, seed ^ crc32(name.encode()))
    callers.start()
    gevent.sleep(WARM_UP_S)
    try:
        findings: Findings = scenarios.get(name).run(cluster, callers)
    finally:
        record = callers.stop()
    return ScenarioResult(
        name=name,
        problems=(*findings.problems, *faults(cluster, record)),
        late=findings.late,
        figures=dict(findings.figures),
        served=len(record.served),
        refusals=dict(record.refusals),
    )
