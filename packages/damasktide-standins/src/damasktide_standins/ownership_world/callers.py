"""Callers that send keyed requests through any instance."""

from itertools import count
from random import Random

from damasktide_standins.ownership_world.history import Attempt, History, Outcome, Received
from damasktide_standins.ownership_world.instance import InstanceNode
from damasktide_standins.ownership_world.network import Network
from damasktide_standins.ownership_world.node import Node

CALL_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.03
MAX_ATTEMPTS = 3


class Caller(Node):
    """Sends a request for each shard in turn; none may run more than once.

    A request that was refused as not run is sent again, through another instance; after an
    unknown outcome it is not, as a non-idempotent request has to be handled.
    """

    def __init__(
        self,
        network: Network,
        random: Random,
        history: History,
        instances: list[InstanceNode],
        home: Node,
        shards: int,
        interval_s: float,
    ) -> None:
        name = f"caller-{home.region}"
        super().__init__(home.queue, name, home.domain, home.region)
        self._network = network
        self._random = random
        self._history = history
        self._instances = instances
        self._shards = shards
        self._interval_s = interval_s
        self._request_numbers = count()
        self.after(interval_s * random.random(), self._next)

    def _next(self) -> None:
        self.after(self._interval_s / self._shards, self._next)
        number = next(self._request_numbers)
        attempt = Attempt(f"{self.name}/{number}", 1)
        self._send(number % self._shards, attempt)

    def _send(self, shard: int, attempt: Attempt) -> None:
        up = [node for node in self._instances if node.is_up] or self._instances
        instance = self._random.choice(up)
        is_open = True

        def finish(outcome: Outcome, answers: Attempt | None) -> None:
            nonlocal is_open
            if is_open:
                is_open = False
                self._receive(shard, Received(attempt, outcome, answers))

        def answer(outcome: Outcome, answers: Attempt) -> None:
            self._network.send(instance, self, lambda: finish(outcome, answers))

        self._network.send(self, instance, lambda: instance.forward(shard, attempt, answer))
        self.after(CALL_TIMEOUT_S, lambda: finish(Outcome.UNKNOWN, None))

    def _receive(self, shard: int, received: Received) -> None:
        self._history.received.append(received)
        attempt = received.attempt
        if received.outcome is Outcome.NOT_RUN and attempt.number < MAX_ATTEMPTS:
            again = Attempt(attempt.request_id, attempt.number + 1)
            self.after(RETRY_AFTER_S, lambda: self._send(shard, again))
