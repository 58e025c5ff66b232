"""Simulated membership, which detects failures late and can be made wrong by faults."""

from collections.abc import Sequence
from random import Random

from damasktide.membership.instances import Instance
from damasktide_standins.ownership_world.events import EventQueue
from damasktide_standins.ownership_world.instance import InstanceNode
from damasktide_standins.ownership_world.network import Network

SCAN_INTERVAL_S = 0.1
SUSPICION_TIMEOUT_S = 1.0


class FakeMembership:
    """Membership as each instance sees it.

    An instance counts as alive for ``SUSPICION_TIMEOUT_S`` after it was last reachable, either
    directly or through a third instance, like the indirect probes of the real protocol.
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
        self._last_contact_by_pair: dict[tuple[str, str], tuple[float, Instance]] = {}
        self._hidden_by_observer: dict[str, frozenset[str]] = {}
        self._scan()

    def alive(self, observer: InstanceNode) -> tuple[Instance, ...]:
        """Return the instances that ``observer`` believes to be alive, itself included."""
        hidden = self._hidden_by_observer.get(observer.name, frozenset())
        contacts = (
            self._last_contact_by_pair[(observer.name, node.name)]
            for node in self._instances
            if node is not observer
            and node.name not in hidden
            and (observer.name, node.name) in self._last_contact_by_pair
        )
        recent = (
            instance
            for reached_at, instance in contacts
            if self._queue.now - reached_at <= SUSPICION_TIMEOUT_S
        )
        return (observer.instance, *recent)

    def hide(self, observer: str, names: frozenset[str]) -> None:
        """Make ``observer`` see the instances ``names`` as not alive."""
        self._hidden_by_observer[observer] = names

    def heal(self) -> None:
        """Make all hidden instances visible again."""
        self._hidden_by_observer.clear()

    def _scan(self) -> None:
        self._queue.after(SCAN_INTERVAL_S * (1 + 0.2 * self._random.random()), self._scan)
        running = [node for node in self._instances if node.is_up and not node.is_paused]
        for observer in running:
            for node in running:
                if self._is_reachable(observer, node, running):
                    pair = (observer.name, node.name)
                    self._last_contact_by_pair[pair] = (self._queue.now, node.instance)

    def _is_reachable(
        self, observer: InstanceNode, node: InstanceNode, running: list[InstanceNode]
    ) -> bool:
        if self._has_two_way_path(observer, node):
            return True
        return any(
            self._has_two_way_path(observer, relay) and self._has_two_way_path(relay, node)
            for relay in running
        )

    def _has_two_way_path(self, one: InstanceNode, other: InstanceNode) -> bool:
        return self._network.is_connected(one, other) and self._network.is_connected(other, one)
