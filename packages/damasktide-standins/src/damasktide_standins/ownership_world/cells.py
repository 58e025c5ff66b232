"""The cells of the fault matrix: each fault, and pairs of faults, at each step."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import combinations

from damasktide_standins.ownership_world.faults import faults
from damasktide_standins.ownership_world.history import faults_of, longest_gap_by_shard
from damasktide_standins.ownership_world.moments import Moment
from damasktide_standins.ownership_world.steps import STEPS_AFTER_TAKE_OUT, steps
from damasktide_standins.ownership_world.world import SHAPE_BY_NAME, World

START_S = 3.0
FAULT_S = 4.0
STEP_TIMEOUT_S = 6.0
RECOVERY_S = 6.0

# After all faults have healed, a shard without an owner has to be served again in this time.
SERVED_AGAIN_S = 2.0

# Pairs start together, at the steps where most of the protocol is in progress.
PAIR_STEPS = ("move", "complete", "renew")


@dataclass(frozen=True, slots=True, order=True)
class Cell:
    """One case of the matrix."""

    shape: str
    step: str
    faults: tuple[str, ...]
    seed: int

    def __str__(self) -> str:
        return f"{self.shape} {self.step} {'+'.join(self.faults)} seed {self.seed}"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a cell.

    Attributes
    ----------
    was_run
        Whether the step happened.
    problems
        What the history checker and the bounds found.
    """

    was_run: bool
    problems: tuple[str, ...]


def single_cells(seed: int = 1) -> Iterator[Cell]:
    """Yield a cell for each fault at each step in both shapes."""
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


class Trigger:
    """Starts the faults of a cell the first time that its step happens."""

    def __init__(self, world: World, step: str, names: Sequence[str]) -> None:
        self._world = world
        self._step = steps.get(step)
        self._names = names
        self.started_at: float | None = None

    def observe(self, moment: Moment) -> None:
        """Take a step that is about to happen."""
        if self.started_at is None and self._step.matches(self._world, moment):
            self.started_at = self._world.queue.now
            for name in self._names:
                faults.get(name)(self._world, moment)


def prepared_world(world: World, step: str) -> World:
    """Let the world settle and do what leads up to ``step``."""
    world.run_until(START_S)
    if step in STEPS_AFTER_TAKE_OUT:
        world.domains_out = frozenset({world.servers[0].domain})
        world.run_until(world.queue.now + FAULT_S)
    return world


def run_cell(cell: Cell, world: World | None = None) -> Verdict:
    """Run one cell; a caller may pass a world of its own making."""
    if world is None:
        world = World(SHAPE_BY_NAME[cell.shape], cell.seed)
    prepared_world(world, cell.step)
    trigger = Trigger(world, cell.step, cell.faults)
    world.observe(trigger.observe)
    steps.get(cell.step).lead_up(world)
    deadline = world.queue.now + STEP_TIMEOUT_S
    while trigger.started_at is None and world.queue.now < deadline:
        world.run_until(world.queue.now + 0.05)
    if trigger.started_at is None:
        return Verdict(was_run=False, problems=())
    world.run_until(trigger.started_at + FAULT_S)
    world.heal()
    healed_at = world.queue.now
    world.run_until(healed_at + RECOVERY_S)
    return Verdict(True, tuple(problems_of(world, healed_at)))


def problems_of(world: World, healed_at: float) -> Iterator[str]:
    """Yield what the history checker finds, and the shards that are not served again."""
    yield from faults_of(world.history)
    end = world.queue.now
    gaps = longest_gap_by_shard(world.history, world.shape.shards, healed_at, end)
    late = {shard: gap for shard, gap in gaps.items() if gap > SERVED_AGAIN_S}
    if late:
        yield f"{len(late)} shards not served for up to {max(late.values()):.1f} s after the heal"
