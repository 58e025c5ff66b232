"""Steps of the protocol: what leads to each and how it is recognised."""

from collections.abc import Callable
from dataclasses import dataclass

from damasktide.ownership.effects import AskAdopt, ReadMap, SendGrant, WriteMap
from damasktide.ownership.shard_map import MoveCause
from damasktide.runtime.registry import Registry
from damasktide_standins.ownership_world.moments import Moment, MomentKind
from damasktide_standins.ownership_world.world import World


@dataclass(frozen=True, slots=True)
class Step:
    """A step at which a fault can start.

    Attributes
    ----------
    lead_up
        Does what makes the step happen.
    matches
        Whether a moment is this step.
    """

    lead_up: Callable[[World], None]
    matches: Callable[[World, Moment], bool]


steps: Registry[str, Step] = Registry("step")


def lose_server(world: World) -> None:
    """Kill the first server that owns something."""
    world.servers[0].kill()


def _nothing(world: World) -> None:
    pass


def _restart_server(world: World) -> None:
    world.servers[0].kill()
    world.queue.after(0.05, world.servers[0].restart)


def _take_out(world: World) -> None:
    world.domains_out = frozenset({world.servers[0].domain})


def _bring_back(world: World) -> None:
    world.domains_out = frozenset()


def _drain_server(world: World) -> None:
    world.leaving.add(world.servers[0].name)


def _is_effect(effect_type: type) -> Callable[[World, Moment], bool]:
    return lambda _, moment: isinstance(moment.effect, effect_type)


def _is_kind(kind: MomentKind) -> Callable[[World, Moment], bool]:
    return lambda _, moment: moment.kind is kind


def _writes_move(*causes: MoveCause) -> Callable[[World, Moment], bool]:
    def matches(_: World, moment: Moment) -> bool:
        effect = moment.effect
        return isinstance(effect, WriteMap) and any(
            move.cause in causes and move.since_version == effect.shard_map.version
            for move in effect.shard_map.pending
        )

    return matches


def _completes_move(world: World, moment: Moment) -> bool:
    effect = moment.effect
    if not isinstance(effect, WriteMap) or world.table.row is None:
        return False
    return len(effect.shard_map.pending) < len(world.table.row.pending)


def _grants_new_term(_: World, moment: Moment) -> bool:
    return isinstance(moment.effect, SendGrant) and moment.effect.term.endswith("/2/0")


steps.register("read")(Step(_nothing, _is_effect(ReadMap)))
steps.register("renew")(Step(_nothing, _is_effect(SendGrant)))
steps.register("acquire")(Step(_restart_server, _grants_new_term))
steps.register("move")(Step(lose_server, _writes_move(MoveCause.LOST)))
steps.register("acknowledge")(Step(lose_server, _is_effect(AskAdopt)))
steps.register("complete")(Step(lose_server, _completes_move))
steps.register("grant")(Step(_nothing, _is_kind(MomentKind.GRANT_ARRIVES)))
steps.register("forward")(Step(_nothing, _is_kind(MomentKind.FORWARD)))
steps.register("answer")(Step(_nothing, _is_kind(MomentKind.COMMIT)))
steps.register("take_out")(Step(_take_out, _writes_move(MoveCause.DOMAIN_OUT)))
steps.register("bring_back")(Step(_bring_back, _writes_move(MoveCause.JOIN)))
steps.register("drain")(Step(_drain_server, _writes_move(MoveCause.LEAVING)))

# Before this step a failure domain has to be out of service.
STEPS_AFTER_TAKE_OUT = frozenset({"bring_back"})
