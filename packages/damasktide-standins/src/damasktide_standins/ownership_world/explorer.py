"""Random schedules of several faults, reproducible from their seeds."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from random import Random

from damasktide.ownership.service_ownership import ServiceOwnership
from damasktide_standins.ownership_world.cells import RECOVERY_S, find_problems
from damasktide_standins.ownership_world.faults import faults
from damasktide_standins.ownership_world.injection_points import InjectionPoint, InjectionPointKind
from damasktide_standins.ownership_world.instance import OwnershipFactory
from damasktide_standins.ownership_world.server import ServerNode
from damasktide_standins.ownership_world.simulation import SHAPE_BY_NAME, Simulation

ROUNDS = 3
ROUND_DURATION_S = 4.0
FIRST_ROUND_AT_S = 2.5


@dataclass(frozen=True, slots=True)
class Exploration:
    """A schedule of faults and the problems that were found."""

    seed: int
    schedule: tuple[str, ...]
    problems: tuple[str, ...]


def explore(
    seed: int,
    make_ownership: OwnershipFactory = ServiceOwnership,
    server_class: type[ServerNode] = ServerNode,
) -> Exploration:
    """Run rounds of faults at random times, all derived from ``seed``; heal after each round."""
    random = Random(seed)
    shape = random.choice(list(SHAPE_BY_NAME.values()))
    simulation = Simulation(shape, seed, make_ownership, server_class)
    simulation.run_until(FIRST_ROUND_AT_S)
    schedule: list[str] = []
    for _ in range(ROUNDS):
        schedule.extend(_schedule_faults(simulation, random))
        simulation.run_until(simulation.queue.now + ROUND_DURATION_S)
        simulation.heal()
        simulation.run_until(simulation.queue.now + random.uniform(0.0, 2.0))
    healed_at = simulation.queue.now
    simulation.run_until(healed_at + RECOVERY_S)
    return Exploration(seed, tuple(schedule), tuple(find_problems(simulation, healed_at)))


def _schedule_faults(simulation: Simulation, random: Random) -> Iterator[str]:
    for _ in range(random.randint(1, 4)):
        name = random.choice(list(faults))
        actor = random.choice([*simulation.instances, *simulation.servers])
        peer = random.choice([node.name for node in simulation.nodes() if node is not actor])
        point = InjectionPoint(InjectionPointKind.EFFECT, actor, peer)
        delay_s = random.uniform(0.0, 2.0)
        simulation.queue.after(delay_s, partial(faults.get(name), simulation, point))
        yield f"{name}({actor.name}, {peer})@+{delay_s:.2f}"
