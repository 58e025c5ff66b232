"""Simulated backend server that follows the grant rules of section 3.2 of docs/design.md."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from damasktide.ownership.constants import GRANT_TTL_S
from damasktide.ownership.effects import SendGrant, ServerReply
from damasktide_standins.ownership_world.events import EventQueue
from damasktide_standins.ownership_world.history import Attempt, Execution, History, Outcome
from damasktide_standins.ownership_world.injection_points import (
    InjectionPoint,
    InjectionPointKind,
    Observer,
)
from damasktide_standins.ownership_world.node import Node

SHORT_SERVICE_TIME_S = 0.02
LONG_SERVICE_TIME_S = 0.25
LONG_REQUEST_PROBABILITY = 0.1
NO_GRANT = float("-inf")

ReplyCallback = Callable[[Outcome, Attempt], None]


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request that a server has started.

    Attributes
    ----------
    shard
        Shard of the request.
    attempt
        Attempt that runs.
    started_at
        Simulated time of the start in seconds.
    commit_until
        Reading of the server's clock in seconds before which the request may still commit, set
        when the server loses the shard; None while it owns the shard.
    """

    shard: int
    attempt: Attempt
    started_at: float
    commit_until: float | None = None


class ServerNode(Node):
    """A backend server.

    A refused grant changes nothing. The version increases only with accepted grants and is 0
    after each start.
    """

    def __init__(
        self,
        queue: EventQueue,
        random: Random,
        history: History,
        observer: Observer,
        name: str,
        domain: str,
        region: str,
    ) -> None:
        offset = random.uniform(0, 1000)
        super().__init__(queue, name, domain, region, offset, random.uniform(0.995, 1.005))
        self._random = random
        self._history = history
        self._observer = observer
        self.on_start()

    def on_start(self) -> None:
        """Start without a grant and with a term that was never used before."""
        self._expired_grant_count = 0
        self.version = 0
        self.shards: frozenset[int] = frozenset()
        self.grant_until = NO_GRANT
        self._running_by_attempt: dict[Attempt, RunningRequest] = {}

    @property
    def term(self) -> str:
        """The current term."""
        return f"{self.name}/{self.generation}/{self._expired_grant_count}"

    def query(self, reply: Callable[[ServerReply], None]) -> None:
        """Reply with the current term and clock reading."""
        self._expire_grant()
        reply(self._reply(accepted=True))

    def grant(self, grant: SendGrant, reply: Callable[[ServerReply], None]) -> None:
        """Accept or refuse a grant."""
        self._observer(InjectionPoint(InjectionPointKind.GRANT_ARRIVES, self))
        self.receive(lambda: self._grant(grant, reply))

    def handle(self, shard: int, attempt: Attempt, reply: ReplyCallback) -> None:
        """Start a request if this server owns its shard, and commit it after its service time."""
        self._expire_grant()
        if not self.may_start(shard):
            reply(Outcome.NOT_RUN, attempt)
            return
        self._running_by_attempt[attempt] = RunningRequest(shard, attempt, self.queue.now)
        mean_s = (
            LONG_SERVICE_TIME_S
            if self._random.random() < LONG_REQUEST_PROBABILITY
            else SHORT_SERVICE_TIME_S
        )
        self.after(mean_s * self._random.uniform(0.5, 1.5), lambda: self._finish(attempt, reply))

    def may_start(self, shard: int) -> bool:
        """Return whether a request for ``shard`` may start now."""
        return shard in self.shards and self.clock() < self.grant_until

    def may_commit(self, running: RunningRequest) -> bool:
        """Return whether a running request may still commit its effect."""
        until = self.grant_until if running.commit_until is None else running.commit_until
        return self.clock() < until

    def is_current(self, grant: SendGrant) -> bool:
        """Return whether a grant is for the current term and has not expired."""
        return grant.term == self.term and self.clock() < _grant_end(grant)

    def is_fenced(self, grant: SendGrant) -> bool:
        """Return whether a grant's version is lower than one that was accepted."""
        return grant.version < self.version

    def _grant(self, grant: SendGrant, reply: Callable[[ServerReply], None]) -> None:
        self._expire_grant()
        accepted = self.is_current(grant) and not self.is_fenced(grant)
        if accepted:
            self._drain(self.shards - set(grant.shards))
            self.version = grant.version
            self.shards = frozenset(grant.shards)
            self.grant_until = max(self.grant_until, _grant_end(grant))
        reply(self._reply(accepted))

    def _drain(self, lost: frozenset[int]) -> None:
        for attempt, running in list(self._running_by_attempt.items()):
            if running.shard in lost and running.commit_until is None:
                self._running_by_attempt[attempt] = RunningRequest(
                    running.shard, attempt, running.started_at, self.grant_until
                )

    def _expire_grant(self) -> None:
        """Start a new term if the grant has expired; running requests can no longer commit."""
        if self.grant_until != NO_GRANT and self.clock() >= self.grant_until:
            self._drain(self.shards)
            self.shards = frozenset()
            self.grant_until = NO_GRANT
            self._expired_grant_count += 1

    def _finish(self, attempt: Attempt, reply: ReplyCallback) -> None:
        self._observer(InjectionPoint(InjectionPointKind.COMMIT, self))
        self.receive(lambda: self._commit(attempt, reply))

    def _commit(self, attempt: Attempt, reply: ReplyCallback) -> None:
        self._expire_grant()
        running = self._running_by_attempt.pop(attempt)
        if not self.may_commit(running):
            reply(Outcome.NOT_RUN, attempt)
            return
        self._history.executions.append(
            Execution(self.name, running.shard, running.started_at, self.queue.now, attempt)
        )
        reply(Outcome.DONE, attempt)

    def draining(self) -> int:
        """Return the number of running requests for shards that are no longer owned."""
        return sum(
            running.commit_until is not None and self.clock() < running.commit_until
            for running in self._running_by_attempt.values()
        )

    def _reply(self, accepted: bool) -> ServerReply:
        return ServerReply(
            accepted=accepted,
            boot_id=f"{self.name}/{self.generation}",
            term=self.term,
            now_ms=int(self.clock() * 1000),
            version=self.version,
            draining=self.draining(),
        )


def _grant_end(grant: SendGrant) -> float:
    return grant.basis_ms / 1000 + GRANT_TTL_S
