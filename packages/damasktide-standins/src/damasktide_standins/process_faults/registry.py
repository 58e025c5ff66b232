"""Registry of the process faults and the points of the design page that each covers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from damasktide.runtime.registry import Registry
from damasktide_standins.cluster.layout import Layout, ServiceLayout
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.load import Callers

ONE_REGION = Layout(
    region_by_domain={"ondo-a": "ondo", "ondo-b": "ondo"},
    instances_per_domain=2,
    services=(ServiceLayout("batch-desk", 3, "yield", 48, "bookings", "recipes"),),
)
TWO_REGIONS = Layout(
    region_by_domain={"ondo-a": "ondo", "ondo-b": "ondo", "oyo-a": "oyo", "oyo-b": "oyo"},
    instances_per_domain=1,
    services=(ServiceLayout("batch-desk", 2, "yield", 48, "bookings", "recipes"),),
)

# Section 1.1 of the design page.
POINTS = {
    1: "a key has at most one owner",
    2: "an acknowledged assignment survives",
    3: "a cold backend server gets no more load than it can handle",
    4: "a failure domain out of service gets no new work",
    5: "a request with home regions stays in them",
    6: "a caller gets the whole response to its own request",
    7: "a refusal that says not run is true",
    8: "a non-idempotent request runs at most once",
    9: "a leaving backend server gets no new work",
    10: "a planned stop interrupts no request",
    11: "an accepted configuration is in force everywhere and never reverts",
}


@dataclass(frozen=True, slots=True)
class Findings:
    """What a scenario found by itself, besides the observer's checks.

    Attributes
    ----------
    problems
        A line for each violated expectation.
    figures
        Measured values by name, in seconds or as counts.
    late
        A line for each exceeded time bound; these depend on the speed of the machine.
    """

    problems: tuple[str, ...] = ()
    figures: dict[str, float] = field(default_factory=dict)
    late: tuple[str, ...] = ()


Run = Callable[[LocalCluster, Callers], Findings]


@dataclass(frozen=True, slots=True)
class Scenario:
    """One process fault.

    Attributes
    ----------
    run
        Brings the fault about and checks what only this scenario expects.
    points
        Numbers of the points in section 1.1 of the design page that it covers.
    layout
        Deployment in which it runs.
    """

    run: Run
    points: tuple[int, ...]
    layout: Layout


scenarios: Registry[str, Scenario] = Registry("process fault")


def scenario(name: str, *points: int, layout: Layout = ONE_REGION) -> Callable[[Run], Run]:
    """Return a decorator that registers a scenario covering ``points``.

    Raises
    ------
    ValueError
        If the name is taken or a point is unknown.
    """
    if not points or not set(points) <= set(POINTS):
        raise ValueError(f"{name}: {points} are not points of section 1.1")

    def decorate(run: Run) -> Run:
        scenarios.register(name)(Scenario(run, points, layout))
        return run

    return decorate


def scenarios_by_point() -> dict[int, list[str]]:
    """Return the names of the scenarios that cover each point."""
    return {
        point: [name for name in scenarios if point in scenarios.get(name).points]
        for point in POINTS
    }
