"""Failures for which docs/design.md bounds the unavailable time."""

from collections.abc import Callable
from dataclasses import replace

from damasktide.runtime.registry import Registry
from damasktide_standins.ownership_world.history import longest_gap_by_shard
from damasktide_standins.ownership_world.simulation import SHAPE_BY_NAME, ClusterShape, Simulation

Loss = Callable[[Simulation], None]
losses: Registry[str, Loss] = Registry("loss")

SETTLE_TIME_S = 3.0

# Short compared with a takeover, so that the measured gaps are not mostly the time between two
# requests.
REQUEST_INTERVAL_S = 0.06


def domain_at(simulation: Simulation, index: int) -> str:
    """Return the failure domain at this index in the cluster shape."""
    return list(simulation.shape.region_by_domain)[index]


def isolate_domain(simulation: Simulation, domain: str) -> None:
    """Partition a failure domain from all other nodes."""
    names = {node.name for node in simulation.nodes_in(domain)}
    simulation.network.partition(
        names, [node.name for node in simulation.nodes() if node.name not in names]
    )


def _kill_domain(simulation: Simulation, index: int) -> None:
    for node in simulation.nodes_in(domain_at(simulation, index)):
        node.kill()


@losses.register("server near the table")
def _lose_near_server(simulation: Simulation) -> None:
    simulation.servers[0].kill()


@losses.register("server far from the table")
def _lose_far_server(simulation: Simulation) -> None:
    simulation.servers[-1].kill()


@losses.register("domain near the table")
def _lose_near_domain(simulation: Simulation) -> None:
    _kill_domain(simulation, 0)


@losses.register("domain far from the table")
def _lose_far_domain(simulation: Simulation) -> None:
    _kill_domain(simulation, -2)


@losses.register("domain cut off")
def _isolate_domain_near_table(simulation: Simulation) -> None:
    isolate_domain(simulation, domain_at(simulation, 0))


@losses.register("instance")
def _lose_instance(simulation: Simulation) -> None:
    simulation.instances[0].kill()


@losses.register("instance frozen")
def _pause_instance(simulation: Simulation) -> None:
    simulation.instances[0].pause()


@losses.register("table down")
def _table_down(simulation: Simulation) -> None:
    simulation.table.is_down = True


def with_frequent_requests(shape: ClusterShape) -> ClusterShape:
    """Return the shape with a short request interval."""
    return replace(shape, request_interval_s=REQUEST_INTERVAL_S)


def settled_simulation(shape: str, seed: int, policy: str = "yield") -> Simulation:
    """Return a simulation that has run for ``SETTLE_TIME_S``, so that all shards are served."""
    simulation = Simulation(
        replace(with_frequent_requests(SHAPE_BY_NAME[shape]), policy=policy), seed
    )
    simulation.run_until(SETTLE_TIME_S)
    return simulation


def unavailable_s(simulation: Simulation, loss: Loss, watch_s: float = 5.0) -> float:
    """Return the longest time without an execution of any one shard after ``loss``, in seconds."""
    start = simulation.queue.now
    loss(simulation)
    simulation.run_until(start + watch_s)
    gaps = longest_gap_by_shard(
        simulation.history, simulation.shape.shards, start, simulation.queue.now
    )
    return max(gaps.values())
