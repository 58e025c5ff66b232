"""Points of the protocol at which a fault can be injected."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from damasktide.ownership.effects import Effect
from damasktide_standins.ownership_world.node import Node


class InjectionPointKind(Enum):
    """Kind of protocol step that is about to run."""

    EFFECT = "effect"
    GRANT_ARRIVES = "grant_arrives"
    FORWARD = "forward"
    COMMIT = "commit"


@dataclass(frozen=True, slots=True)
class InjectionPoint:
    """A protocol step that is about to run.

    Attributes
    ----------
    kind
        Kind of step.
    actor
        Node that runs the step.
    peer
        Name of the other node involved, or None.
    effect
        Effect to be executed, for steps of kind ``EFFECT``; None if unknown or of another kind.
    """

    kind: InjectionPointKind
    actor: Node
    peer: str | None = None
    effect: Effect | None = None


Observer = Callable[[InjectionPoint], None]
