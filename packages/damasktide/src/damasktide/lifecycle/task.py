"""Task that owns the state of the instance's lifecycle."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gevent.event import Event
from loguru import logger

from damasktide.lifecycle.state import Lifecycle, LifecycleSnapshot, Phase
from damasktide.runtime.clock import Clock
from damasktide.runtime.published import Published
from damasktide.runtime.task import Task, TaskFailed, every, handles

TICK_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class MarkReady:
    """Reports that all tasks have started and the instance can serve requests."""


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """Requests a graceful stop.

    Attributes
    ----------
    reason
        Why the instance stops, for the log.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """Reports an accepted request.

    The sender must not switch greenlets between reading the snapshot and sending this message.
    Otherwise :class:`_CountBarrier` could overtake it.
    """


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """Reports that the response to an accepted request has been written."""


@dataclass(frozen=True, slots=True)
class _CountBarrier:
    """Barrier message, queued behind all requests accepted before the refusing phase."""


class LifecycleTask(Task):
    """Owns the :class:`Lifecycle` and publishes its snapshot.

    Parameters
    ----------
    lifecycle
        State machine.
    clock
        Monotonic clock.
    snapshot
        Published state.
    on_phase_change
        Called with the snapshot after each change of phase; must not block.
    """

    def __init__(
        self,
        lifecycle: Lifecycle,
        clock: Clock,
        snapshot: Published[LifecycleSnapshot],
        on_phase_change: Iterable[Callable[[LifecycleSnapshot], None]] = (),
    ) -> None:
        super().__init__("lifecycle", on_failure=self._on_own_failure)
        self._lifecycle = lifecycle
        self._clock = clock
        self._snapshot = snapshot
        self._on_phase_change = tuple(on_phase_change)
        self._stopped = Event()
        self._exit_code = 1

    def wait(self, timeout_s: float | None = None) -> int | None:
        """Wait until the instance has drained; return the exit code, or None on timeout."""
        self._stopped.wait(timeout_s)
        # The event may be set in the same event loop iteration in which the wait times out.
        return self._exit_code if self._stopped.is_set() else None

    @handles(MarkReady)
    def _mark_ready(self, message: MarkReady) -> None:
        self._lifecycle.mark_ready(self._clock.now())
        self._publish()

    @handles(BeginDrain)
    def _begin_drain(self, message: BeginDrain) -> None:
        logger.bind(reason=message.reason).info("drain started")
        self._lifecycle.begin_drain(self._clock.now())
        self._publish()

    @handles(TaskFailed)
    def _fail_task(self, message: TaskFailed) -> None:
        logger.bind(task=message.task_name, reason=message.reason).error(
            "task failed; drain started"
        )
        self._lifecycle.fail_task(message.task_name, self._clock.now())
        self._publish()

    @handles(RequestStarted)
    def _start_request(self, message: RequestStarted) -> None:
        self._lifecycle.start_request()

    @handles(RequestFinished)
    def _finish_request(self, message: RequestFinished) -> None:
        self._lifecycle.finish_request()

    @handles(_CountBarrier)
    def _confirm_counts(self, message: _CountBarrier) -> None:
        self._lifecycle.confirm_counts()

    @every(TICK_INTERVAL_S)
    def _tick(self) -> None:
        self._lifecycle.tick(self._clock.now())
        self._publish()

    def _publish(self) -> None:
        old, new = self._snapshot.value, self._lifecycle.snapshot
        if new == old:
            return
        self._snapshot.publish(new)
        if new.phase is old.phase:
            return
        if new.phase is Phase.REFUSING:
            self.tell(_CountBarrier())
        for listener in self._on_phase_change:
            listener(new)
        if new.phase is Phase.STOPPED:
            self._end_drain(new.exit_code)

    def _end_drain(self, exit_code: int) -> None:
        logger.bind(in_flight=self._lifecycle.in_flight).info("drain finished")
        self._exit_code = exit_code
        self._stopped.set()

    def _on_own_failure(self, failure: TaskFailed) -> None:
        # Only this task can drain the instance, so the process exits immediately.
        self._stopped.set()
