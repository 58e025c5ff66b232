"""Faults that start at a step; each takes the world and the step that is about to happen."""

from collections.abc import Callable

from damasktide.runtime.registry import Registry
from damasktide_standins.ownership_world.moments import Moment
from damasktide_standins.ownership_world.node import Node
from damasktide_standins.ownership_world.world import World

# Longer than a takeover, so that a server or an instance returns after its keys have moved.
FREEZE_S = 2.5
SLOW_TABLE_S = 0.4
MESSAGE_DELAY_S = 0.5

Fault = Callable[[World, Moment], None]
faults: Registry[str, Fault] = Registry("fault")


def _peer(world: World, moment: Moment) -> Node:
    """Return the other party of the step; the table where the step has none."""
    return world.node(moment.peer) if moment.peer is not None else world.table


def _server(world: World, moment: Moment) -> Node:
    """Return the server of the step, or one of the actor's failure domain."""
    for node in (_peer(world, moment), moment.actor, *world.nodes_in(moment.actor.domain)):
        if node in world.servers:
            return node
    return world.servers[0]


def _outside(world: World, names: set[str]) -> list[str]:
    return [node.name for node in world.nodes() if node.name not in names]


@faults.register("kill_actor")
def _kill_actor(_: World, moment: Moment) -> None:
    moment.actor.kill()


@faults.register("kill_and_restart_actor")
def _kill_and_restart_actor(world: World, moment: Moment) -> None:
    moment.actor.kill()
    world.queue.after(0.2, moment.actor.restart)


@faults.register("freeze_actor")
def _freeze_actor(world: World, moment: Moment) -> None:
    moment.actor.freeze()
    world.queue.after(FREEZE_S, moment.actor.thaw)


@faults.register("freeze_actor_briefly")
def _freeze_actor_briefly(world: World, moment: Moment) -> None:
    moment.actor.freeze()
    world.queue.after(0.35, moment.actor.thaw)


@faults.register("freeze_server")
def _freeze_server(world: World, moment: Moment) -> None:
    server = _server(world, moment)
    server.freeze()
    world.queue.after(FREEZE_S, server.thaw)


@faults.register("kill_server")
def _kill_server(world: World, moment: Moment) -> None:
    _server(world, moment).kill()


@faults.register("cold_server")
def _cold_server(world: World, moment: Moment) -> None:
    server = _server(world, moment)
    server.kill()
    world.queue.after(0.05, server.restart)


@faults.register("cut_peer")
def _cut_peer(world: World, moment: Moment) -> None:
    world.network.cut([moment.actor.name], [_peer(world, moment).name])


@faults.register("cut_to_peer")
def _cut_to_peer(world: World, moment: Moment) -> None:
    world.network.cut([moment.actor.name], [_peer(world, moment).name], both=False)


@faults.register("cut_from_peer")
def _cut_from_peer(world: World, moment: Moment) -> None:
    world.network.cut([_peer(world, moment).name], [moment.actor.name], both=False)


@faults.register("cut_actor")
def _cut_actor(world: World, moment: Moment) -> None:
    world.network.cut([moment.actor.name], _outside(world, {moment.actor.name}))


@faults.register("cut_actor_outward")
def _cut_actor_outward(world: World, moment: Moment) -> None:
    world.network.cut([moment.actor.name], _outside(world, {moment.actor.name}), both=False)


@faults.register("cut_domain")
def _cut_domain(world: World, moment: Moment) -> None:
    names = {node.name for node in world.nodes_in(moment.actor.domain)}
    world.network.cut(names, _outside(world, names))


@faults.register("cut_regions")
def _cut_regions(world: World, moment: Moment) -> None:
    names = {node.name for node in world.nodes() if node.region == world.table.region}
    world.network.cut(names, _outside(world, names))


@faults.register("delay")
def _delay(world: World, moment: Moment) -> None:
    peer = _peer(world, moment).name
    world.network.slow(moment.actor.name, peer, MESSAGE_DELAY_S)
    world.network.slow(peer, moment.actor.name, MESSAGE_DELAY_S)


@faults.register("loss")
def _loss(world: World, _: Moment) -> None:
    world.network.loss = 0.2


@faults.register("table_down")
def _table_down(world: World, _: Moment) -> None:
    world.table.is_down = True


@faults.register("table_slow")
def _table_slow(world: World, _: Moment) -> None:
    world.table.delay_s = SLOW_TABLE_S


@faults.register("lost_write_answer")
def _lost_write_answer(world: World, _: Moment) -> None:
    world.table.lost_write_answers = 2


@faults.register("live_list_stuck")
def _live_list_stuck(world: World, _: Moment) -> None:
    world.is_live_list_stuck = True


@faults.register("wrong_membership")
def _wrong_membership(world: World, _: Moment) -> None:
    """Let each instance miss another half of its peers."""
    names = [node.name for node in world.instances]
    for index, name in enumerate(names):
        hidden = {other for at, other in enumerate(names) if (at + index) % 2 and other != name}
        world.membership.hide(name, frozenset(hidden))


@faults.register("operators_race")
def _operators_race(world: World, _: Moment) -> None:
    """Take one failure domain out, then another one instead."""
    first, second = list(world.shape.region_by_domain)[:2]
    world.domains_out = frozenset({first})
    world.queue.after(0.1, lambda: setattr(world, "domains_out", frozenset({second})))
    world.queue.after(1.0, lambda: setattr(world, "domains_out", frozenset()))


@faults.register("kill_domain")
def _kill_domain(world: World, moment: Moment) -> None:
    for node in world.nodes_in(moment.actor.domain):
        node.kill()
