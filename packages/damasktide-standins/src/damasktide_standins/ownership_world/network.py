"""Messages between the parties: delays, losses and cuts."""

from collections.abc import Iterable
from random import Random

from damasktide_standins.ownership_world.events import Action, EventQueue
from damasktide_standins.ownership_world.node import Node

SAME_DOMAIN_S = 0.0005
SAME_REGION_S = 0.001
OTHER_REGION_S = 0.03
JITTER = 0.5


class Network:
    """Carries messages; a message that was sent before a cut still arrives.

    Parameters
    ----------
    queue
        Simulated time.
    random
        Source of delays and losses.
    """

    def __init__(self, queue: EventQueue, random: Random) -> None:
        self._queue = queue
        self._random = random
        self._cuts: set[tuple[str, str]] = set()
        self._extra_delay_by_pair: dict[tuple[str, str], float] = {}
        self.loss = 0.0

    def send(self, source: Node, target: Node, action: Action) -> None:
        """Run ``action`` at ``target`` after the delay, unless the message is lost."""
        if (source.name, target.name) in self._cuts or self._random.random() < self.loss:
            return
        delay = self._delay(source, target)
        generation = target.generation

        def arrive() -> None:
            if generation == target.generation:
                target.receive(action)

        self._queue.after(delay, arrive)

    def connected(self, source: Node, target: Node) -> bool:
        """Return whether messages pass from ``source`` to ``target``."""
        return (source.name, target.name) not in self._cuts

    def cut(self, sources: Iterable[str], targets: Iterable[str], both: bool = True) -> None:
        """Lose all messages from ``sources`` to ``targets``, and back if ``both``."""
        names = list(targets)
        for source in sources:
            for target in names:
                if source != target:
                    self._cuts.add((source, target))
                    if both:
                        self._cuts.add((target, source))

    def slow(self, source: str, target: str, extra_s: float) -> None:
        """Delay each message from ``source`` to ``target`` by up to ``extra_s`` more."""
        self._extra_delay_by_pair[(source, target)] = extra_s

    def heal(self) -> None:
        """End all cuts, delays and losses."""
        self._cuts.clear()
        self._extra_delay_by_pair.clear()
        self.loss = 0.0

    def _delay(self, source: Node, target: Node) -> float:
        if source.domain == target.domain:
            base = SAME_DOMAIN_S
        elif source.region == target.region:
            base = SAME_REGION_S
        else:
            base = OTHER_REGION_S
        extra = self._extra_delay_by_pair.get((source.name, target.name), 0.0)
        return base * (1 + JITTER * self._random.random()) + extra * self._random.random()
