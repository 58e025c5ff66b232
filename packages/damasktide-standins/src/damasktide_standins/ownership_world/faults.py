"""Faults to inject into the simulation.

Each fault is called with the simulation and the protocol step just before which it starts.
"""

from collections.abc import Callable

from damasktide.runtime.registry import Registry
from damasktide_standins.ownership_world.injection_points import InjectionPoint
from damasktide_standins.ownership_world.node import Node
from damasktide_standins.ownership_world.simulation import Simulation

# Longer than a takeover, so that the paused node resumes after its keys have moved.
PAUSE_S = 2.5
SLOW_TABLE_DELAY_S = 0.4
MAX_EXTRA_DELAY_S = 0.5

Fault = Callable[[Simulation, InjectionPoint], None]
faults: Registry[str, Fault] = Registry("fault")


def _peer(simulation: Simulation, point: InjectionPoint) -> Node:
    """Return the other node of the step, or the table if there is none."""
    return simulation.node(point.peer) if point.peer is not None else simulation.table


def _server(simulation: Simulation, point: InjectionPoint) -> Node:
    """Return the server of the step, else one in the actor's failure domain, else the first."""
    for node in (_peer(simulation, point), point.actor, *simulation.nodes_in(point.actor.domain)):
        if node in simulation.servers:
            return node
    return simulation.servers[0]


def _names_except(simulation: Simulation, names: set[str]) -> list[str]:
    return [node.name for node in simulation.nodes() if node.name not in names]


@faults.register("kill_actor")
def _kill_actor(_: Simulation, point: InjectionPoint) -> None:
    point.actor.kill()


@faults.register("kill_and_restart_actor")
def _kill_and_restart_actor(simulation: Simulation, point: InjectionPoint) -> None:
    point.actor.kill()
    simulation.queue.after(0.2, point.actor.restart)


@faults.register("freeze_actor")
def _pause_actor(simulation: Simulation, point: InjectionPoint) -> None:
    point.actor.pause()
    simulation.queue.after(PAUSE_S, point.actor.resume)


@faults.register("freeze_actor_briefly")
def _pause_actor_briefly(simulation: Simulation, point: InjectionPoint) -> None:
    point.actor.pause()
    simulation.queue.after(0.35, point.actor.resume)


@faults.register("freeze_server")
def _pause_server(simulation: Simulation, point: InjectionPoint) -> None:
    server = _server(simulation, point)
    server.pause()
    simulation.queue.after(PAUSE_S, server.resume)


@faults.register("kill_server")
def _kill_server(simulation: Simulation, point: InjectionPoint) -> None:
    _server(simulation, point).kill()


@faults.register("cold_server")
def _kill_and_restart_server(simulation: Simulation, point: InjectionPoint) -> None:
    server = _server(simulation, point)
    server.kill()
    simulation.queue.after(0.05, server.restart)


@faults.register("cut_peer")
def _partition_peer(simulation: Simulation, point: InjectionPoint) -> None:
    simulation.network.partition([point.actor.name], [_peer(simulation, point).name])


@faults.register("cut_to_peer")
def _partition_to_peer(simulation: Simulation, point: InjectionPoint) -> None:
    simulation.network.partition([point.actor.name], [_peer(simulation, point).name], both=False)


@faults.register("cut_from_peer")
def _partition_from_peer(simulation: Simulation, point: InjectionPoint) -> None:
    simulation.network.partition([_peer(simulation, point).name], [point.actor.name], both=False)


@faults.register("cut_actor")
def _isolate_actor(simulation: Simulation, point: InjectionPoint) -> None:
    simulation.network.partition([point.actor.name], _names_except(simulation, {point.actor.name}))


@faults.register("cut_actor_outward")
def _isolate_actor_outward(simulation: Simulation, point: InjectionPoint) -> None:
    simulation.network.partition(
        [point.actor.name], _names_except(simulation, {point.actor.name}), both=False
    )


@faults.register("cut_domain")
def _isolate_domain(simulation: Simulation, point: InjectionPoint) -> None:
    names = {node.name for node in simulation.nodes_in(point.actor.domain)}
    simulation.network.partition(names, _names_except(simulation, names))


@faults.register("cut_regions")
def _partition_regions(simulation: Simulation, point: InjectionPoint) -> None:
    names = {node.name for node in simulation.nodes() if node.region == simulation.table.region}
    simulation.network.partition(names, _names_except(simulation, names))


@faults.register("delay")
def _delay_messages(simulation: Simulation, point: InjectionPoint) -> None:
    peer = _peer(simulation, point).name
    simulation.network.add_delay(point.actor.name, peer, MAX_EXTRA_DELAY_S)
    simulation.network.add_delay(peer, point.actor.name, MAX_EXTRA_DELAY_S)


@faults.register("loss")
def _lose_messages(simulation: Simulation, _: InjectionPoint) -> None:
    simulation.network.loss_ratio = 0.2


@faults.register("table_down")
def _table_down(simulation: Simulation, _: InjectionPoint) -> None:
    simulation.table.is_down = True


@faults.register("table_slow")
def _table_slow(simulation: Simulation, _: InjectionPoint) -> None:
    simulation.table.delay_s = SLOW_TABLE_DELAY_S


@faults.register("lost_write_answer")
def _drop_write_replies(simulation: Simulation, _: InjectionPoint) -> None:
    simulation.table.write_replies_to_drop = 2


@faults.register("live_list_stuck")
def _stop_live_list(simulation: Simulation, _: InjectionPoint) -> None:
    simulation.is_live_list_stuck = True


@faults.register("wrong_membership")
def _split_membership(simulation: Simulation, _: InjectionPoint) -> None:
    """Split the instances into two groups, each of which sees only its own members."""
    names = [node.name for node in simulation.instances]
    for index, name in enumerate(names):
        hidden = {
            other
            for other_index, other in enumerate(names)
            if (other_index + index) % 2 and other != name
        }
        simulation.membership.hide(name, frozenset(hidden))


@faults.register("operators_race")
def _operators_race(simulation: Simulation, _: InjectionPoint) -> None:
    """Act as two operators who each take a different failure domain out of service.

    The second change replaces the first one after 0.1 s; after 1 s all domains are in service.
    """
    first, second = list(simulation.shape.region_by_domain)[:2]
    simulation.domains_out = frozenset({first})
    simulation.queue.after(0.1, lambda: setattr(simulation, "domains_out", frozenset({second})))
    simulation.queue.after(1.0, lambda: setattr(simulation, "domains_out", frozenset()))


@faults.register("kill_domain")
def _kill_domain(simulation: Simulation, point: InjectionPoint) -> None:
    for node in simulation.nodes_in(point.actor.domain):
        node.kill()
