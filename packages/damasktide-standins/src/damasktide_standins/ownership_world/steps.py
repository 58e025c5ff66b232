"""Protocol steps: how each is provoked and recognised."""

from collections.abc import Callable
from dataclasses import dataclass

from damasktide.ownership.effects import AskAdopt, ReadMap, SendGrant, WriteMap
from damasktide.ownership.shard_map import MoveCause
from damasktide.runtime.registry import Registry
from damasktide_standins.ownership_world.injection_points import InjectionPoint, InjectionPointKind
from damasktide_standins.ownership_world.simulation import Simulation


@dataclass(frozen=True, slots=True)
class Step:
    """A protocol step at which faults can start.

    Attributes
    ----------
    provoke
        Makes the step happen.
    matches
        Returns whether an injection point is this step.
    """

    provoke: Callable[[Simulation], None]
    matches: Callable[[Simulation, InjectionPoint], bool]


steps: Registry[str, Step] = Registry("step")


def lose_server(simulation: Simulation) -> None:
    """Kill the first server, whose shards then move to others."""
    simulation.servers[0].kill()


def _do_nothing(simulation: Simulation) -> None:
    pass


def _restart_server(simulation: Simulation) -> None:
    simulation.servers[0].kill()
    simulation.queue.after(0.05, simulation.servers[0].restart)


def _take_domain_out(simulation: Simulation) -> None:
    simulation.domains_out = frozenset({simulation.servers[0].domain})


def _return_domain(simulation: Simulation) -> None:
    simulation.domains_out = frozenset()


def _drain_server(simulation: Simulation) -> None:
    simulation.leaving.add(simulation.servers[0].name)


def _is_effect(effect_type: type) -> Callable[[Simulation, InjectionPoint], bool]:
    return lambda _, point: isinstance(point.effect, effect_type)


def _is_kind(kind: InjectionPointKind) -> Callable[[Simulation, InjectionPoint], bool]:
    return lambda _, point: point.kind is kind


def _writes_move(*causes: MoveCause) -> Callable[[Simulation, InjectionPoint], bool]:
    def matches(_: Simulation, point: InjectionPoint) -> bool:
        effect = point.effect
        return isinstance(effect, WriteMap) and any(
            move.cause in causes and move.since_version == effect.shard_map.version
            for move in effect.shard_map.pending
        )

    return matches


def _completes_move(simulation: Simulation, point: InjectionPoint) -> bool:
    effect = point.effect
    if not isinstance(effect, WriteMap) or simulation.table.row is None:
        return False
    return len(effect.shard_map.pending) < len(simulation.table.row.pending)


def _grants_new_term(_: Simulation, point: InjectionPoint) -> bool:
    # The first term of a server that was restarted once is NAME/2/0.
    return isinstance(point.effect, SendGrant) and point.effect.term.endswith("/2/0")


steps.register("read")(Step(_do_nothing, _is_effect(ReadMap)))
steps.register("renew")(Step(_do_nothing, _is_effect(SendGrant)))
steps.register("acquire")(Step(_restart_server, _grants_new_term))
steps.register("move")(Step(lose_server, _writes_move(MoveCause.LOST)))
steps.register("acknowledge")(Step(lose_server, _is_effect(AskAdopt)))
steps.register("complete")(Step(lose_server, _completes_move))
steps.register("grant")(Step(_do_nothing, _is_kind(InjectionPointKind.GRANT_ARRIVES)))
steps.register("forward")(Step(_do_nothing, _is_kind(InjectionPointKind.FORWARD)))
steps.register("answer")(Step(_do_nothing, _is_kind(InjectionPointKind.COMMIT)))
steps.register("take_out")(Step(_take_domain_out, _writes_move(MoveCause.DOMAIN_OUT)))
steps.register("bring_back")(Step(_return_domain, _writes_move(MoveCause.JOIN)))
steps.register("drain")(Step(_drain_server, _writes_move(MoveCause.LEAVING)))

# Steps that require a failure domain to be out of service before they are provoked.
STEPS_WITH_DOMAIN_OUT = frozenset({"bring_back"})
