"""Simulated network: message delays, message loss and partitions."""

from collections.abc import Iterable
from random import Random

from damasktide_standins.ownership_world.events import Action, EventQueue
from damasktide_standins.ownership_world.node import Node

# One-way delays of a message.
SAME_DOMAIN_DELAY_S = 0.0005
SAME_REGION_DELAY_S = 0.001
CROSS_REGION_DELAY_S = 0.03

# Upper bound of the random addition to a delay, as a share of it.
JITTER_RATIO = 0.5


class Network:
    """Delivers messages; a message sent before a partition starts still arrives.

    Parameters
    ----------
    queue
        Event queue.
    random
        Source of random delays and losses.
    """

    def __init__(self, queue: EventQueue, random: Random) -> None:
        self._queue = queue
        self._random = random
        self._partitioned_pairs: set[tuple[str, str]] = set()
        self._max_extra_delay_s_by_pair: dict[tuple[str, str], float] = {}
        self.loss_ratio = 0.0

    def send(self, source: Node, target: Node, action: Action) -> None:
        """Run ``action`` at ``target`` after a network delay, unless the message is lost."""
        if (
            source.name,
            target.name,
        ) in self._partitioned_pairs or self._random.random() < self.loss_ratio:
            return
        delay_s = self._delay_s(source, target)
        generation = target.generation

        def arrive() -> None:
            if generation == target.generation:
                target.receive(action)

        self._queue.after(delay_s, arrive)

    def is_connected(self, source: Node, target: Node) -> bool:
        """Return whether messages from ``source`` to ``target`` are delivered."""
        return (source.name, target.name) not in self._partitioned_pairs

    def partition(self, sources: Iterable[str], targets: Iterable[str], both: bool = True) -> None:
        """Drop all messages from ``sources`` to ``targets``, and the reverse if ``both``."""
        names = list(targets)
        for source in sources:
            for target in names:
                if source != target:
                    self._partitioned_pairs.add((source, target))
                    if both:
                        self._partitioned_pairs.add((target, source))

    def add_delay(self, source: str, target: str, max_extra_s: float) -> None:
        """Delay each message from ``source`` to ``target`` by up to ``max_extra_s`` more."""
        self._max_extra_delay_s_by_pair[(source, target)] = max_extra_s

    def heal(self) -> None:
        """End all partitions, extra delays and losses."""
        self._partitioned_pairs.clear()
        self._max_extra_delay_s_by_pair.clear()
        self.loss_ratio = 0.0

    def _delay_s(self, source: Node, target: Node) -> float:
        if source.domain == target.domain:
            base_s = SAME_DOMAIN_DELAY_S
        elif source.region == target.region:
            base_s = SAME_REGION_DELAY_S
        else:
            base_s = CROSS_REGION_DELAY_S
        max_extra_s = self._max_extra_delay_s_by_pair.get((source.name, target.name), 0.0)
        return (
            base_s * (1 + JITTER_RATIO * self._random.random())
            + max_extra_s * self._random.random()
        )
