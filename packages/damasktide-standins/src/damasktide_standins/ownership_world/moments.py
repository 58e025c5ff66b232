"""Steps of the protocol at which a fault can start."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from damasktide.ownership.effects import Effect
from damasktide_standins.ownership_world.node import Node


class MomentKind(Enum):
    """What is about to happen."""

    EFFECT = "effect"
    GRANT_ARRIVES = "grant_arrives"
    FORWARD = "forward"
    COMMIT = "commit"


@dataclass(frozen=True, slots=True)
class Moment:
    """A step that is about to happen.

    Attributes
    ----------
    kind
        Kind of step.
    actor
        Party that takes the step.
    peer
        Name of the other party, or None.
    effect
        The effect, for steps of the decisions.
    """

    kind: MomentKind
    actor: Node
    peer: str | None = None
    effect: Effect | None = None


Observer = Callable[[Moment], None]
