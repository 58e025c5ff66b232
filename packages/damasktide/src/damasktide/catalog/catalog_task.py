"""The task that owns the configuration in force."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from loguru import logger

from damasktide.catalog.adoption import (
    CatalogAccepted,
    OfferConfiguration,
    Verdict,
    judge_offer,
    may_take_from_peers,
)
from damasktide.runtime.clock import Clock, MonotonicClock
from damasktide.runtime.task import Task, TaskFailed, handles
from damasktide.store.rows import RowRead

Subscriber = Callable[[CatalogAccepted], None]


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Adds a subscriber, which gets the snapshot in force at once and each later one."""

    subscriber: Subscriber


@dataclass(frozen=True, slots=True)
class StoreProblem:
    """Reports a read of the row or of its object that failed."""

    detail: str


@dataclass(frozen=True, slots=True)
class DescribeCatalog:
    """Asks for :class:`CatalogStatus`."""


@dataclass(frozen=True, slots=True)
class CatalogStatus:
    """What an operator wants to know about the configuration of an instance.

    Attributes
    ----------
    version
        Version in force; 0 if there is none.
    source
        ``store``, ``peers`` or empty.
    store_version
        Version that the store showed last; None if it was never read.
    store_age_s
        Seconds since the last successful read was asked; None if it was never read.
    problem
        What is wrong now; empty if nothing is.
    """

    version: int = 0
    source: str = ""
    store_version: int | None = None
    store_age_s: float | None = None
    problem: str = ""


class CatalogTask(Task):
    """Adopts only higher versions and publishes each as an immutable snapshot.

    Parameters
    ----------
    subscribers
        Called with each snapshot; usually the ``tell`` of another task.
    clock
        Source of the times in seconds.
    on_failure
        Called when the task ends because of an error.
    """

    def __init__(
        self,
        subscribers: Iterable[Subscriber] = (),
        clock: Clock | None = None,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("catalog", on_failure)
        self._subscribers = list(subscribers)
        self._clock = clock or MonotonicClock()
        self._accepted: CatalogAccepted | None = None
        self._store_read: RowRead | None = None
        self._problem = ""

    @property
    def accepted(self) -> CatalogAccepted | None:
        """The snapshot in force; safe to read from any greenlet."""
        return self._accepted

    @handles(OfferConfiguration)
    def _judge(self, offer: OfferConfiguration) -> Verdict:
        peers_count = may_take_from_peers(self._store_read, offer.version, self._clock.now())
        judgement = judge_offer(self._accepted, offer, peers_count)
        if judgement.verdict in (Verdict.MALFORMED, Verdict.DIFFERENT_CONTENT):
            self._set_problem(judgement.detail)
        if judgement.accepted is not None and judgement.accepted is not self._accepted:
            self._publish(judgement.accepted)
        return judgement.verdict

    @handles(RowRead)
    def _note_read(self, message: RowRead) -> None:
        self._store_read = message
        shown = message.row.version
        in_force = self._accepted.version if self._accepted else 0
        if shown < in_force:
            self._set_problem(f"the store shows version {shown}, older than {in_force} in force")
        elif shown == in_force and self._accepted and message.row.body != self._accepted.row_body:
            self._set_problem(f"the store shows version {shown} with other content")
        elif shown == in_force:
            self._set_problem("")

    @handles(StoreProblem)
    def _note_problem(self, message: StoreProblem) -> None:
        self._set_problem(message.detail)

    @handles(Subscribe)
    def _subscribe(self, message: Subscribe) -> None:
        self._subscribers.append(message.subscriber)
        if self._accepted is not None:
            message.subscriber(self._accepted)

    @handles(DescribeCatalog)
    def _describe(self, _: DescribeCatalog) -> CatalogStatus:
        status = CatalogStatus(problem=self._problem)
        if self._accepted is not None:
            source = self._accepted.source.value
            status = replace(status, version=self._accepted.version, source=source)
        if self._store_read is not None:
            age_s = self._clock.now() - self._store_read.requested_at
            version = self._store_read.row.version
            status = replace(status, store_version=version, store_age_s=age_s)
        return status

    def _publish(self, accepted: CatalogAccepted) -> None:
        self._accepted = accepted
        self._set_problem("")
        logger.bind(version=accepted.version, source=accepted.source.value).info(
            "configuration accepted"
        )
        for subscriber in self._subscribers:
            subscriber(accepted)

    def _set_problem(self, problem: str) -> None:
        # A lasting problem is logged once, not with each poll.
        if problem and problem != self._problem:
            logger.bind(task=self.name).warning("configuration: {}", problem)
        self._problem = problem
