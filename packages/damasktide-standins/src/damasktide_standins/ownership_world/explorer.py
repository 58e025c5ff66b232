"""Random schedules of several faults, each repeatable by its seed."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from random import Random

from damasktide.ownership.service_ownership import ServiceOwnership
from damasktide_standins.ownership_world.cells import RECOVERY_S, problems_of
from damasktide_standins.ownership_world.faults import faults
from damasktide_standins.ownership_world.instance import Decisions
from damasktide_standins.ownership_world.moments import Moment, MomentKind
from damasktide_standins.ownership_world.server import ServerNode
from damasktide_standins.ownership_world.world import SHAPE_BY_NAME, World

ROUNDS = 3
ROUND_S = 4.0
FIRST_FAULT_S = 2.5


@dataclass(frozen=True, slots=True)
class Exploration:
    """Result of one schedule."""

    seed: int
    schedule: tuple[str, ...]
    problems: tuple[str, ...]


def explore(
    seed: int,
    decisions: Decisions = ServiceOwnership,
    server_class: type[ServerNode] = ServerNode,
) -> Exploration:
    """Run the schedule of ``seed``: several rounds of faults at random times, each healed."""
    random = Random(seed)
    shape = random.choice(list(SHAPE_BY_NAME.values()))
    world = World(shape, seed, decisions, server_class)
    world.run_until(FIRST_FAULT_S)
    schedule: list[str] = []
    for _ in range(ROUNDS):
        schedule.extend(_start_faults(world, random))
        world.run_until(world.queue.now + ROUND_S)
        world.heal()
        world.run_until(world.queue.now + random.uniform(0.0, 2.0))
    healed_at = world.queue.now
    world.run_until(healed_at + RECOVERY_S)
    return Exploration(seed, tuple(schedule), tuple(problems_of(world, healed_at)))


def _start_faults(world: World, random: Random) -> Iterator[str]:
    for _ in range(random.randint(1, 4)):
        name = random.choice(list(faults))
        actor = random.choice([*world.instances, *world.servers])
        peer = random.choice([node.name for node in world.nodes() if node is not actor])
        moment = Moment(MomentKind.EFFECT, actor, peer)
        delay = random.uniform(0.0, 2.0)
        world.queue.after(delay, partial(faults.get(name), world, moment))
        yield f"{name}({actor.name}, {peer})@+{delay:.2f}"
