"""Cells of the fault matrix: single faults at each step, and pairs of faults at some steps."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import combinations

from damasktide_standins.ownership_world.faults import faults
from damasktide_standins.ownership_world.history import find_violations, longest_gap_by_shard
from damasktide_standins.ownership_world.injection_points import InjectionPoint
from damasktide_standins.ownership_world.simulation import SHAPE_BY_NAME, Simulation
from damasktide_standins.ownership_world.steps import STEPS_WITH_DOMAIN_OUT, steps

WARM_UP_S = 3.0
FAULT_DURATION_S = 4.0
STEP_TIMEOUT_S = 6.0
RECOVERY_S = 6.0

# Each shard must be served again within this time after all faults have ended.
MAX_GAP_AFTER_HEAL_S = 2.0

# Pairs of faults start together, at the steps at which most of the protocol is in progress.
PAIR_STEPS = ("move", "complete", "renew")


@dataclass(frozen=True, slots=True, order=True)
class Cell:
    """One test case of the matrix."""

    shape: str
    step: str
    faults: tuple[str, ...]
    seed: int

    def __str__(self) -> str:
        return f"{self.shape} {self.step} {'+'.join(self.faults)} seed {self.seed}"


@dataclass(frozen=True, slots=True)
class CellResult:
    """Result of a cell.

    Attributes
    ----------
    was_run
        Whether the step occurred.
    problems
        Violations found by the history checker, and shards that were not served in time.
    """

    was_run: bool
    problems: tuple[str, ...]


def single_cells(seed: int = 1) -> Iterator[Cell]:
    """Yield a cell for each fault at each step in each cluster shape."""
    for shape in SHAPE_BY_NAME:
        for step in steps:
            for fault in faults:
                yield Cell(shape, step, (fault,), seed)


def pair_cells(seed: int = 1) -> Iterator[Cell]:
    """Yield a cell for each pair of faults at the steps of ``PAIR_STEPS``."""
    for shape in SHAPE_BY_NAME:
        for step in PAIR_STEPS:
            for pair in combinations(faults, 2):
                yield Cell(shape, step, pair, seed)


class FaultTrigger:
    """Starts the faults of a cell when its step first occurs."""

    def __init__(self, simulation: Simulation, step: str, names: Sequence[str]) -> None:
        self._simulation = simulation
        self._step = steps.get(step)
        self._names = names
        self.started_at: float | None = None

    def observe(self, point: InjectionPoint) -> None:
        """Start the faults if ``point`` is the first occurrence of the step."""
        if self.started_at is None and self._step.matches(self._simulation, point):
            self.started_at = self._simulation.queue.now
            for name in self._names:
                faults.get(name)(self._simulation, point)


def prepare_simulation(simulation: Simulation, step: str) -> Simulation:
    """Run the simulation until it is ready for ``step`` to be provoked."""
    simulation.run_until(WARM_UP_S)
    if step in STEPS_WITH_DOMAIN_OUT:
        simulation.domains_out = frozenset({simulation.servers[0].domain})
        simulation.run_until(simulation.queue.now + FAULT_DURATION_S)
    return simulation


def run_cell(cell: Cell, simulation: Simulation | None = None) -> CellResult:
    """Run one cell, in the given simulation or a new one."""
    if simulation is None:
        simulation = Simulation(SHAPE_BY_NAME[cell.shape], cell.seed)
    prepare_simulation(simulation, cell.step)
    trigger = FaultTrigger(simulation, cell.step, cell.faults)
    simulation.observe(trigger.observe)
    steps.get(cell.step).provoke(simulation)
    step_timeout_at = simulation.queue.now + STEP_TIMEOUT_S
    while trigger.started_at is None and simulation.queue.now < step_timeout_at:
        simulation.run_until(simulation.queue.now + 0.05)
    if trigger.started_at is None:
        return CellResult(was_run=False, problems=())
    simulation.run_until(trigger.started_at + FAULT_DURATION_S)
    simulation.heal()
    healed_at = simulation.queue.now
    simulation.run_until(healed_at + RECOVERY_S)
    return CellResult(True, tuple(find_problems(simulation, healed_at)))


def find_problems(simulation: Simulation, healed_at: float) -> Iterator[str]:
    """Yield the violations in the history, and a line if shards are not served again in time."""
    yield from find_violations(simulation.history)
    end = simulation.queue.now
    gaps = longest_gap_by_shard(simulation.history, simulation.shape.shards, healed_at, end)
    late = {shard: gap for shard, gap in gaps.items() if gap > MAX_GAP_AFTER_HEAL_S}
    if late:
        yield f"{len(late)} shards not served for up to {max(late.values()):.1f} s after the heal"
