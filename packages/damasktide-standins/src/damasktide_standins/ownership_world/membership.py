"""Membership of the world: late, and wrong when a fault says so."""

from collections.abc import Sequence
from random import Random

from damasktide.membership.instances import Instance
from damasktide_standins.ownership_world.events import EventQueue
from damasktide_standins.ownership_world.instance import InstanceNode
from damasktide_standins.ownership_world.network import Network

SCAN_INTERVAL_S = 0.1
SUSPICION_S = 1.0


class FakeMembership:
    """Each instance believes another one alive for a second after it could last reach it.

    Like the probes of the real protocol, a third instance can vouch for another one.
    """

    def __init__(
        self,
        queue: EventQueue,
        network: Network,
        random: Random,
        instances: Sequence[InstanceNode],
    ) -> None:
        self._queue = queue
        self._network = network
        self._random = random
        self._instances = instances
        self._reached_at_by_pair: dict[tuple[str, str], tuple[float, Instance]] = {}
        self._wrong_by_observer: dict[str, frozenset[str]] = {}
        self._scan()

    def alive(self, observer: InstanceNode) -> tuple[Instance, ...]:
        """Return the instances that ``observer`` believes to be alive, itself included."""
        hidden = self._wrong_by_observer.get(observer.name, frozenset())
        found = (
            self._reached_at_by_pair[(observer.name, node.name)]
            for node in self._instances
            if node is not observer
            and node.name not in hidden
            and (observer.name, node.name) in self._reached_at_by_pair
        )
        recent = (one for at, one in found if self._queue.now - at <= SUSPICION_S)
        return (observer.instance, *recent)

    def hide(self, observer: str, names: frozenset[str]) -> None:
        """Make ``observer`` believe that the instances ``names`` are not alive."""
        self._wrong_by_observer[observer] = names

    def heal(self) -> None:
        """End all wrong beliefs."""
        self._wrong_by_observer.clear()

    def _scan(self) -> None:
        self._queue.after(SCAN_INTERVAL_S * (1 + 0.2 * self._random.random()), self._scan)
        running = [node for node in self._instances if node.is_up and not node.is_frozen]
        for observer in running:
            for node in running:
                if self._reaches(observer, node, running):
                    pair = (observer.name, node.name)
                    self._reached_at_by_pair[pair] = (self._queue.now, node.instance)

    def _reaches(
        self, observer: InstanceNode, node: InstanceNode, running: list[InstanceNode]
    ) -> bool:
        if self._both_ways(observer, node):
            return True
        return any(self._both_ways(observer, w) and self._both_ways(w, node) for w in running)

    def _both_ways(self, one: InstanceNode, other: InstanceNode) -> bool:
        return self._network.connected(one, other) and self._network.connected(other, one)
