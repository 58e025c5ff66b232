"""Runs the process faults one after the other against one deployment under load."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import gevent

from damasktide_standins.cluster.layout import Layout, ServiceLayout
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.observer import faults
from damasktide_standins.process_faults.scenarios import Findings, scenarios

LAYOUT = Layout(
    region_by_domain={"ondo-a": "ondo", "ondo-b": "ondo"},
    instances_per_domain=2,
    services=(ServiceLayout("batch-desk", 3, "yield", 48, "bookings", "recipes"),),
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
    figures
        Measured values by name.
    served
        Responses received.
    refusals
        Refusals by code.
    """

    name: str
    problems: tuple[str, ...]
    figures: dict[str, float]
    served: int
    refusals: dict[str, int]


def run_scenarios(
    cluster: LocalCluster, names: Iterable[str], seed: int
) -> Iterator[ScenarioResult]:
    """Yield the result of each scenario; all of them share one deployment."""
    for index, name in enumerate(names):
        yield run_scenario(cluster, name, seed * 1000 + index)


def run_scenario(cluster: LocalCluster, name: str, seed: int) -> ScenarioResult:
    """Run one scenario under load and check what was observed."""
    callers = Callers(cluster, KEYS, seed)
    callers.start()
    gevent.sleep(WARM_UP_S)
    try:
        findings: Findings = scenarios.get(name)(cluster, callers)
    finally:
        record = callers.stop()
    problems = (*findings.problems, *faults(cluster, record))
    return ScenarioResult(
        name, problems, dict(findings.figures), len(record.served), dict(record.refusals)
    )
