"""Task that owns the state of the instance's lifecycle."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gevent.event import Event
from loguru import logger

from damasktide.lifecycle.state import Lifecycle, LifecycleSnapshot, Phase
from damasktide.runtime.clock import Clock
from damasktide.runtime.published import Published
from damasktide.runtime.task import Task, TaskFailed, every, handles

TICK_PERIOD_S = 0.1


@dataclass(frozen=True, slots=True)
class MarkReady:
    """All tasks have started and the instance can serve requests."""


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """Asks for a graceful stop.

    Attributes
    ----------
    reason
        Why, for the log.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A request was accepted; told without a switch after the snapshot was read."""


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """The response to a request that was accepted has been written."""


@dataclass(frozen=True, slots=True)
class _CountsConfirmed:
    """Stands in the inbox behind every request that was accepted before the refusals."""


class LifecycleTask(Task):
    """Owns the :class:`Lifecycle` and publishes its snapshot.

    Parameters
    ----------
    lifecycle
        State machine.
    clock
        Monotonic clock.
    snapshot
        Receives each new state.
    on_phase
        Called with the snapshot after each change of the phase; must not block.
    """

    def __init__(
        self,
        lifecycle: Lifecycle,
        clock: Clock,
        snapshot: Published[LifecycleSnapshot],
        on_phase: Iterable[Callable[[LifecycleSnapshot], None]] = (),
    ) -> None:
        super().__init__("lifecycle", on_failure=self._fail)
        self._lifecycle = lifecycle
        self._clock = clock
        self._snapshot = snapshot
        self._on_phase = tuple(on_phase)
        self._stopped = Event()
        self._exit_code = 1

    def wait(self, timeout_s: float | None = None) -> int | None:
        """Wait until the instance has drained; return the exit code, or None if it has not."""
        self._stopped.wait(timeout_s)
        # The event may be set in the same turn of the event loop in which the wait times out.
        return self._exit_code if self._stopped.is_set() else None

    @handles(MarkReady)
    def _mark_ready(self, message: MarkReady) -> None:
        self._lifecycle.mark_ready(self._clock.now())
        self._publish()

    @handles(BeginDrain)
    def _begin_drain(self, message: BeginDrain) -> None:
        logger.bind(reason=message.reason).info("drain begins")
        self._lifecycle.begin_drain(self._clock.now())
        self._publish()

    @handles(TaskFailed)
    def _fail_task(self, message: TaskFailed) -> None:
        logger.bind(task=message.task_name, reason=message.reason).error("drain after a failure")
        self._lifecycle.fail_task(message.task_name, self._clock.now())
        self._publish()

    @handles(RequestStarted)
    def _start_request(self, message: RequestStarted) -> None:
        self._lifecycle.start_request()

    @handles(RequestFinished)
    def _finish_request(self, message: RequestFinished) -> None:
        self._lifecycle.finish_request()

    @handles(_CountsConfirmed)
    def _confirm_counts(self, message: _CountsConfirmed) -> None:
        self._lifecycle.confirm_counts()

    @every(TICK_PERIOD_S)
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
            self.tell(_CountsConfirmed())
        for listener in self._on_phase:
            listener(new)
        if new.phase is Phase.STOPPED:
            self._stop_process(new.exit_code)

    def _stop_process(self, exit_code: int) -> None:
        logger.bind(in_flight=self._lifecycle.in_flight).info("drain has ended")
        self._exit_code = exit_code
        self._stopped.set()

    def _fail(self, failure: TaskFailed) -> None:
        # Without this task nothing can drain the instance, so the process ends at once.
        self._stopped.set()
