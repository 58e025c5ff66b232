"""A backend server that follows the grant rules of section 3.2 of the design page."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from damasktide.ownership.constants import GRANT_TTL_S
from damasktide.ownership.effects import SendGrant, ServerReply
from damasktide_standins.ownership_world.events import EventQueue
from damasktide_standins.ownership_world.history import Attempt, Execution, History, Outcome
from damasktide_standins.ownership_world.moments import Moment, MomentKind, Observer
from damasktide_standins.ownership_world.node import Node

SHORT_SERVICE_S = 0.02
LONG_SERVICE_S = 0.25
LONG_SHARE = 0.1
NO_GRANT = float("-inf")

ReplyCallback = Callable[[Outcome, Attempt], None]


@dataclass(frozen=True, slots=True)
class Running:
    """A request that a server has started; times are the server's, in seconds."""

    shard: int
    attempt: Attempt
    started_at: float
    commit_until: float | None = None


class ServerNode(Node):
    """A backend server.

    A refused grant changes nothing; the version rises with accepted grants only, and starts
    at 0 with each boot.
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
        """Start cold: without a grant, with a term that was never used."""
        self._lapses = 0
        self.version = 0
        self.shards: frozenset[int] = frozenset()
        self.grant_until = NO_GRANT
        self._running_by_attempt: dict[Attempt, Running] = {}

    @property
    def term(self) -> str:
        """The present term."""
        return f"{self.name}/{self.generation}/{self._lapses}"

    def query(self, answer: Callable[[ServerReply], None]) -> None:
        """Answer with the term and the clock reading."""
        self._lapse()
        answer(self._reply(accepted=True))

    def grant(self, grant: SendGrant, answer: Callable[[ServerReply], None]) -> None:
        """Accept or refuse a grant."""
        self._observer(Moment(MomentKind.GRANT_ARRIVES, self))
        self.receive(lambda: self._grant(grant, answer))

    def handle(self, shard: int, attempt: Attempt, answer: ReplyCallback) -> None:
        """Start a request if this server owns its shard, and commit it later."""
        self._lapse()
        if not self.may_start(shard):
            answer(Outcome.NOT_RUN, attempt)
            return
        self._running_by_attempt[attempt] = Running(shard, attempt, self.queue.now)
        mean = LONG_SERVICE_S if self._random.random() < LONG_SHARE else SHORT_SERVICE_S
        self.after(mean * self._random.uniform(0.5, 1.5), lambda: self._finish(attempt, answer))

    def may_start(self, shard: int) -> bool:
        """Return whether a request for ``shard`` may start now."""
        return shard in self.shards and self.clock() < self.grant_until

    def may_commit(self, running: Running) -> bool:
        """Return whether the effect of a request may still be committed."""
        until = self.grant_until if running.commit_until is None else running.commit_until
        return self.clock() < until

    def is_current(self, grant: SendGrant) -> bool:
        """Return whether a grant is for the present term and its time has not passed."""
        return grant.term == self.term and self.clock() < _grant_end(grant)

    def is_fenced(self, grant: SendGrant) -> bool:
        """Return whether a grant is older than one that was accepted."""
        return grant.version < self.version

    def _grant(self, grant: SendGrant, answer: Callable[[ServerReply], None]) -> None:
        self._lapse()
        accepted = self.is_current(grant) and not self.is_fenced(grant)
        if accepted:
            self._drain(self.shards - set(grant.shards))
            self.version = grant.version
            self.shards = frozenset(grant.shards)
            self.grant_until = max(self.grant_until, _grant_end(grant))
        answer(self._reply(accepted))

    def _drain(self, lost: frozenset[int]) -> None:
        for attempt, running in list(self._running_by_attempt.items()):
            if running.shard in lost and running.commit_until is None:
                self._running_by_attempt[attempt] = Running(
                    running.shard, attempt, running.started_at, self.grant_until
                )

    def _lapse(self) -> None:
        """Raise the term once a grant has passed; what still runs can no longer commit."""
        if self.grant_until != NO_GRANT and self.clock() >= self.grant_until:
            self._drain(self.shards)
            self.shards = frozenset()
            self.grant_until = NO_GRANT
            self._lapses += 1

    def _finish(self, attempt: Attempt, answer: ReplyCallback) -> None:
        self._observer(Moment(MomentKind.COMMIT, self))
        self.receive(lambda: self._commit(attempt, answer))

    def _commit(self, attempt: Attempt, answer: ReplyCallback) -> None:
        self._lapse()
        running = self._running_by_attempt.pop(attempt)
        if not self.may_commit(running):
            answer(Outcome.NOT_RUN, attempt)
            return
        self._history.executions.append(
            Execution(self.name, running.shard, running.started_at, self.queue.now, attempt)
        )
        answer(Outcome.DONE, attempt)

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
