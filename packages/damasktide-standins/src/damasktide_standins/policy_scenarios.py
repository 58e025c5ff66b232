"""Scenarios and candidates of the policy experiment."""

from dataclasses import dataclass
from functools import cached_property

from damasktide.balancing.targets import Target
from damasktide.membership.instances import Instance
from damasktide_standins.class_matching import Matching, match_two_classes

TARGET_COUNT = 25
SLOTS_PER_TARGET = 6
SERVICE_TIME_S = 0.02
# Arrival rate as a fraction of the capacity of all targets.
UTILIZATION = 0.5
# Factor on the service times of a straggler.
STRAGGLER_FACTOR = 10.0
# Interval after which other targets become the stragglers.
STRAGGLER_DURATION_S = 2.0
# Failure domains, each with its region.
DOMAINS = (("a", "north"), ("c", "south"), ("b", "north"), ("d", "south"))


@dataclass(frozen=True, slots=True)
class TargetKind:
    """A kind of target.

    Attributes
    ----------
    count
        Targets of this kind.
    factors
        Service time of each request class as a multiple of the standard service time.
    """

    count: int
    factors: tuple[float, float] = (1.0, 1.0)


@dataclass(frozen=True)
class Scenario:
    """Instances, targets and requests of a run.

    Attributes
    ----------
    name
        Name in the table.
    instance_count
        Number of instances that share the slots of the targets.
    stragglers
        Number of targets that are slow at any time; every 2 s others are chosen.
    kinds
        Kinds of targets.
    class_fractions
        Fraction of the requests that belong to each class.
    planned_class_fractions
        Fractions for which the matching is computed; None for ``class_fractions``.
    is_spread
        Whether instances and targets are in four failure domains instead of one.
    """

    name: str
    instance_count: int = 1
    stragglers: int = 0
    kinds: tuple[TargetKind, ...] = (TargetKind(TARGET_COUNT),)
    class_fractions: tuple[float, float] = (0.5, 0.5)
    planned_class_fractions: tuple[float, float] | None = None
    is_spread: bool = False

    @cached_property
    def targets(self) -> tuple[Target, ...]:
        """Targets, ordered by kind."""
        return tuple(
            Target(f"t{index}", "desk", *self._location(index), "127.0.0.1", 1, SLOTS_PER_TARGET)
            for index in range(sum(kind.count for kind in self.kinds))
        )

    @cached_property
    def members(self) -> tuple[Instance, ...]:
        """Instances that share the slots of the targets."""
        return tuple(
            Instance(f"i{index}", *self._location(index), "127.0.0.1", 1, 2)
            for index in range(self.instance_count)
        )

    @cached_property
    def matching(self) -> Matching:
        """Solution of the linear program for the planned fractions."""
        return self._solve_matching(self.planned_class_fractions or self.class_fractions)

    @cached_property
    def arrivals_per_s(self) -> float:
        """Requests per second of all classes, a fixed share of the targets' capacity."""
        return UTILIZATION * self._solve_matching(self.class_fractions).capacity_per_s

    def _solve_matching(self, class_fractions: tuple[float, float]) -> Matching:
        slots_per_s = SLOTS_PER_TARGET / SERVICE_TIME_S
        rates = [
            (
                kind.count * slots_per_s / kind.factors[0],
                kind.count * slots_per_s / kind.factors[1],
            )
            for kind in self.kinds
        ]
        return match_two_classes(class_fractions, rates)

    @cached_property
    def unmatched_by_class(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """For each class, the ids of the targets that spend no time on it in the matching."""
        first, second = (
            tuple(
                target.server_id
                for index, target in enumerate(self.targets)
                if delta[self._kind_by_server[index]] <= 0.0
            )
            for delta in self.matching.delta
        )
        return first, second

    def service_time_s(self, request_class: int, server: int) -> float:
        """Return the mean service time of a class at a target, in seconds."""
        return SERVICE_TIME_S * self.kinds[self._kind_by_server[server]].factors[request_class]

    @cached_property
    def _kind_by_server(self) -> tuple[int, ...]:
        return tuple(index for index, kind in enumerate(self.kinds) for _ in range(kind.count))

    def _location(self, index: int) -> tuple[str, str]:
        return DOMAINS[index % len(DOMAINS)] if self.is_spread else DOMAINS[0]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A balancing policy and the mechanisms that are used with it.

    Attributes
    ----------
    name
        Name in the table.
    policy
        Key in the registry of balancing policies.
    has_hedging, has_ejection, has_reports
        Whether calls are hedged, outliers are ejected and load reports are used.
    matching_mode
        "strict" to use only the matched targets of a class, "spill" to fall back to the others
        if these are full, or empty to use all targets alike.
    """

    name: str
    policy: str
    has_hedging: bool = False
    has_ejection: bool = True
    has_reports: bool = True
    matching_mode: str = ""


TWO_SPEEDS = (TargetKind(13, (1.0, 4.0)), TargetKind(12, (2.0, 8.0)))
AFFINITY = (TargetKind(13, (1.0, 1.0)), TargetKind(12, (1.0, 4.0)))
SHORT_AND_LONG_FRACTIONS = (0.8, 0.2)

SCENARIOS = (
    *(Scenario(f"1 instance, {n} stragglers", stragglers=n) for n in (0, 1, 3)),
    *(Scenario(f"10 instances, {n} stragglers", 10, n, is_spread=True) for n in (0, 1, 3)),
    Scenario("1 instance, two speeds", kinds=TWO_SPEEDS, class_fractions=SHORT_AND_LONG_FRACTIONS),
    Scenario("1 instance, affinity", kinds=AFFINITY),
    Scenario("10 instances, affinity", 10, kinds=AFFINITY, is_spread=True),
    # The matching is computed for another mix of classes than the one that arrives.
    Scenario(
        "1 instance, old mix",
        kinds=AFFINITY,
        class_fractions=(0.2, 0.8),
        planned_class_fractions=(0.7, 0.3),
    ),
    Scenario("10 instances, one domain", 10),
)

CANDIDATES = (
    *(Candidate(name, name) for name in ("random", "round_robin", "least_in_flight")),
    Candidate("power_of_two", "power_of_two"),
    Candidate("power_of_two, hedged", "power_of_two", has_hedging=True),
    Candidate("power_of_two, no ejection", "power_of_two", has_ejection=False),
    Candidate("power_of_two, no reports", "power_of_two", has_reports=False),
    Candidate("random, hedged", "random", has_hedging=True),
    Candidate("least_wait_by_class", "least_wait_by_class"),
    Candidate("matching", "power_of_two", matching_mode="strict"),
    Candidate("matching, spill", "power_of_two", matching_mode="spill"),
)
