"""Simulated callers that send keyed requests to any instance."""

from itertools import count
from random import Random

from damasktide_standins.ownership_world.history import Attempt, AttemptResult, History, Outcome
from damasktide_standins.ownership_world.instance import InstanceNode
from damasktide_standins.ownership_world.network import Network
from damasktide_standins.ownership_world.node import Node

CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.03
MAX_ATTEMPTS = 3


class Caller(Node):
    """Sends non-idempotent requests to each shard in turn.

    A request refused as not run is retried through a randomly chosen instance. After an unknown
    outcome it is not retried, because it may have run and must not run twice.

    Parameters
    ----------
    network, random, history
        Network, source of random choices, and history to which results are added.
    instances
        Instances to which requests are sent.
    colocated_node
        Node whose failure domain and region the caller shares.
    shards
        Number of shards.
    interval_s
        Time between two requests for the same shard.
    """

    def __init__(
        self,
        network: Network,
        random: Random,
        history: History,
        instances: list[InstanceNode],
        colocated_node: Node,
        shards: int,
        interval_s: float,
    ) -> None:
        name = f"caller-{colocated_node.region}"
        super().__init__(colocated_node.queue, name, colocated_node.domain, colocated_node.region)
        self._network = network
        self._random = random
        self._history = history
        self._instances = instances
        self._shards = shards
        self._interval_s = interval_s
        self._request_numbers = count()
        self.after(interval_s * random.random(), self._send_next)

    def _send_next(self) -> None:
        self.after(self._interval_s / self._shards, self._send_next)
        number = next(self._request_numbers)
        attempt = Attempt(f"{self.name}/{number}", 1)
        self._send(number % self._shards, attempt)

    def _send(self, shard: int, attempt: Attempt) -> None:
        candidates = [node for node in self._instances if node.is_up] or self._instances
        instance = self._random.choice(candidates)
        is_open = True

        def finish(outcome: Outcome, answered_attempt: Attempt | None) -> None:
            nonlocal is_open
            if is_open:
                is_open = False
                self._receive(shard, AttemptResult(attempt, outcome, answered_attempt))

        def reply(outcome: Outcome, answered_attempt: Attempt) -> None:
            self._network.send(instance, self, lambda: finish(outcome, answered_attempt))

        self._network.send(self, instance, lambda: instance.forward(shard, attempt, reply))
        self.after(CALL_TIMEOUT_S, lambda: finish(Outcome.UNKNOWN, None))

    def _receive(self, shard: int, received: AttemptResult) -> None:
        self._history.received.append(received)
        attempt = received.attempt
        if received.outcome is Outcome.NOT_RUN and attempt.number < MAX_ATTEMPTS:
            retry = Attempt(attempt.request_id, attempt.number + 1)
            self.after(RETRY_DELAY_S, lambda: self._send(shard, retry))
