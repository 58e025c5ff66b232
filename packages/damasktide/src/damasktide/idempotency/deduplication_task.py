"""Task that owns the history of requests that are not idempotent."""

from collections.abc import Callable
from dataclasses import dataclass

from damasktide.idempotency.records import RequestOutcome
from damasktide.idempotency.request_history import Decision, RequestHistory
from damasktide.runtime.clock import Clock
from damasktide.runtime.task import Task, TaskFailed, every, handles

SWEEP_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Begin:
    """Asks whether a request may run; the reply is a :data:`Decision`.

    Attributes
    ----------
    identity
        Identity of the request.
    attempt
        Attempt number given by the caller.
    timeout_s
        Seconds until the deadline of the request.
    """

    identity: bytes
    attempt: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Reports the outcome of a run; the reply is False if it is not the request's current run.

    Attributes
    ----------
    identity
        Identity of the request.
    run
        Number from :class:`damasktide.idempotency.request_history.Proceed`.
    outcome
        Outcome of the run.
    """

    identity: bytes
    run: int
    outcome: RequestOutcome


class DeduplicationTask(Task):
    """Owns the :class:`RequestHistory` of this instance.

    Parameters
    ----------
    history
        Requests and their outcomes.
    clock
        Monotonic clock.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    """

    def __init__(
        self,
        history: RequestHistory,
        clock: Clock,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("gatekeeper", on_failure)
        self._history = history
        self._clock = clock

    @handles(Begin)
    def _begin(self, message: Begin) -> Decision:
        now = self._clock.now()
        return self._history.begin(message.identity, message.attempt, message.timeout_s, now)

    @handles(Finish)
    def _finish(self, message: Finish) -> bool:
        now = self._clock.now()
        return self._history.finish(message.identity, message.run, message.outcome, now)

    @every(SWEEP_INTERVAL_S)
    def _sweep(self) -> None:
        self._history.sweep(self._clock.now())
