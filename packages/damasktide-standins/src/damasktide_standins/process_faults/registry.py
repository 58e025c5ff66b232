"""Registry of the fault scenarios and the points of docs/design.md that each covers."""

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

# Guarantees by the number of their point in section 1.1 of docs/design.md.
GUARANTEE_BY_POINT = {
    1: "a key has at most one owner",
    2: "an acknowledged assignment survives",
    3: "a cold backend server gets no more load than it can handle",
    4: "a failure domain out of service gets no new work",
    5: "a request with home regions stays in them",
    6: "a caller gets the complete response to its own request",
    7: "a refusal that says not run is true",
    8: "a non-idempotent request runs at most once",
    9: "a leaving backend server gets no new work",
    10: "a planned stop interrupts no request",
    11: "an accepted configuration is in force everywhere and never reverts",
}


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Results of a scenario's own checks, in addition to those of the observer.

    Attributes
    ----------
    problems
        A line for each violated expectation.
    measurements
        Measured values by name, in seconds or as counts.
    exceeded_limits
        A line for each exceeded time limit; these depend on the speed of the machine.
    """

    problems: tuple[str, ...] = ()
    measurements: dict[str, float] = field(default_factory=dict)
    exceeded_limits: tuple[str, ...] = ()


Run = Callable[[LocalCluster, Callers], CheckResult]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault scenario.

    Attributes
    ----------
    run
        Causes the fault and checks the expectations that are specific to this scenario.
    points
        Numbers of the points in section 1.1 of docs/design.md that it covers.
    layout
        Layout of the deployment in which it runs.
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
        If the name is already registered or a point is unknown.
    """
    if not points or not set(points) <= set(GUARANTEE_BY_POINT):
        raise ValueError(f"{name}: {points} are not points of section 1.1")

    def decorate(run: Run) -> Run:
        scenarios.register(name)(Scenario(run, points, layout))
        return run

    return decorate


def scenarios_by_point() -> dict[int, list[str]]:
    """Return the names of the scenarios that cover each point."""
    return {
        point: [name for name in scenarios if point in scenarios.get(name).points]
        for point in GUARANTEE_BY_POINT
    }
