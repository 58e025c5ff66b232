"""The task that owns the configuration in force."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from loguru import logger

from damasktide.catalog.adoption import (
    CatalogSnapshot,
    OfferConfiguration,
    OfferOutcome,
    evaluate_offer,
    may_accept_from_peers,
)
from damasktide.runtime.clock import Clock, MonotonicClock
from damasktide.runtime.task import Task, TaskFailed, handles
from damasktide.store.rows import RowRead

Subscriber = Callable[[CatalogSnapshot], None]


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Adds a subscriber, which receives the snapshot in force and each later one."""

    subscriber: Subscriber


@dataclass(frozen=True, slots=True)
class StoreProblem:
    """Reports a failed read of the row or of its object."""

    detail: str


@dataclass(frozen=True, slots=True)
class DescribeCatalog:
    """Asks for :class:`CatalogStatus`."""


@dataclass(frozen=True, slots=True)
class CatalogStatus:
    """Configuration status of an instance for operators.

    Attributes
    ----------
    version
        Version in force; 0 if there is none.
    source
        ``store``, ``peers`` or empty.
    store_version
        Version last read from the store; None if it was never read.
    store_age_s
        Seconds since the last successful read was requested; None if there was none.
    problem
        Current problem; empty if there is none.
    """

    version: int = 0
    source: str = ""
    store_version: int | None = None
    store_age_s: float | None = None
    problem: str = ""


class CatalogTask(Task):
    """Adopts higher versions only, and publishes each as an immutable snapshot.

    Parameters
    ----------
    subscribers
        Called with each snapshot; usually the ``tell`` of another task.
    clock
        Monotonic clock.
    on_failure
        Called when the task fails.
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
        self._accepted: CatalogSnapshot | None = None
        self._store_read: RowRead | None = None
        self._problem = ""

    @property
    def accepted(self) -> CatalogSnapshot | None:
        """The snapshot in force; safe to read from any greenlet."""
        return self._accepted

    @handles(OfferConfiguration)
    def _evaluate(self, offer: OfferConfiguration) -> OfferOutcome:
        accepts_peer_offers = may_accept_from_peers(
            self._store_read, offer.version, self._clock.now()
        )
        evaluation = evaluate_offer(self._accepted, offer, accepts_peer_offers)
        if evaluation.outcome in (OfferOutcome.MALFORMED, OfferOutcome.DIFFERENT_CONTENT):
            self._set_problem(evaluation.detail)
        if evaluation.accepted is not None and evaluation.accepted is not self._accepted:
            self._publish(evaluation.accepted)
        return evaluation.outcome

    @handles(RowRead)
    def _record_read(self, message: RowRead) -> None:
        self._store_read = message
        store_version = message.row.version
        in_force = self._accepted.version if self._accepted else 0
        if store_version < in_force:
            self._set_problem(
                f"the store shows version {store_version}, older than {in_force} in force"
            )
        elif (
            store_version == in_force
            and self._accepted
            and message.row.body != self._accepted.row_body
        ):
            self._set_problem(f"the store shows version {store_version} with other content")
        elif store_version == in_force:
            self._set_problem("")

    @handles(StoreProblem)
    def _record_problem(self, message: StoreProblem) -> None:
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

    def _publish(self, accepted: CatalogSnapshot) -> None:
        self._accepted = accepted
        self._set_problem("")
        logger.bind(version=accepted.version, source=accepted.source.value).info(
            "configuration accepted"
        )
        for subscriber in self._subscribers:
            subscriber(accepted)

    def _set_problem(self, problem: str) -> None:
        # A persistent problem is logged once, not on each read.
        if problem and problem != self._problem:
            logger.bind(task=self.name).warning("configuration: {}", problem)
        self._problem = problem
