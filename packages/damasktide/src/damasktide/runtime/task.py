"""Tasks: greenlets that own their state and communicate by messages."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, ClassVar, TypeVar

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue
from loguru import logger

M = TypeVar("M", bound=Callable[..., Any])

DEFAULT_ASK_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Stop:
    """Asks a task to end once the messages already in its inbox are handled."""


@dataclass(frozen=True, slots=True)
class TaskFailed:
    """Reports that a handler raised and the task ended.

    Attributes
    ----------
    task_name
        Name of the failed task.
    reason
        Message of the exception.
    """

    task_name: str
    reason: str


@dataclass(frozen=True, slots=True)
class _Envelope:
    message: object
    reply: AsyncResult | None


class OnError(Enum):
    """What an unexpected exception of a handler does to its task.

    Attributes
    ----------
    END_TASK
        The task ends and reports the failure, because its state may be inconsistent.
    DROP_MESSAGE
        The error is logged, the message is dropped, and the task goes on. For messages with
        content from outside, which would end the task again after a restart.
    """

    END_TASK = "end_task"
    DROP_MESSAGE = "drop_message"


def handles(message_type: type, on_error: OnError = OnError.END_TASK) -> Callable[[M], M]:
    """Register the decorated method as the handler of ``message_type``."""

    def decorate(method: M) -> M:
        method._handled_type = message_type  # type: ignore[attr-defined]
        method._on_error = on_error  # type: ignore[attr-defined]
        return method

    return decorate


def every(seconds: float) -> Callable[[M], M]:
    """Register the decorated method to run every ``seconds`` s in the task's greenlet."""

    def decorate(method: M) -> M:
        method._interval_s = seconds  # type: ignore[attr-defined]
        return method

    return decorate


class Task:
    """A greenlet that handles one message at a time.

    Subclasses mark methods with :func:`handles` and :func:`every`. Only the task's own
    greenlet touches its state, so handlers need no locks.

    Parameters
    ----------
    name
        Name used in logs.
    on_failure
        Called with :class:`TaskFailed` when an exception ends the task. An exception of a
        handler goes to the caller of ``ask`` instead, if there is one.
    """

    _handler_by_type: ClassVar[dict[type, str]] = {}
    _interval_by_method: ClassVar[dict[str, float]] = {}

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        cls._handler_by_type = dict(cls._handler_by_type)
        cls._interval_by_method = dict(cls._interval_by_method)
        for name, member in vars(cls).items():
            if hasattr(member, "_handled_type"):
                cls._handler_by_type[member._handled_type] = name
            if hasattr(member, "_interval_s"):
                cls._interval_by_method[name] = member._interval_s

    def __init__(self, name: str, on_failure: Callable[[TaskFailed], None] | None = None) -> None:
        self.name = name
        self._on_failure = on_failure
        self._inbox: Queue = Queue()
        self._greenlet: gevent.Greenlet | None = None
        self._due_by_method: dict[str, float] = {}

    def start(self) -> None:
        """Start the greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def tell(self, message: object) -> None:
        """Queue ``message`` and return immediately."""
        self._inbox.put(_Envelope(message, None))

    def tell_later(self, message: object, delay_s: float) -> None:
        """Queue ``message`` after ``delay_s`` seconds."""
        gevent.spawn_later(delay_s, self.tell, message)

    def ask(self, message: object, timeout_s: float = DEFAULT_ASK_TIMEOUT_S) -> Any:
        """Queue ``message`` and wait for the return value of its handler.

        Raises
        ------
        gevent.Timeout
            If there is no reply within ``timeout_s`` seconds.
        Exception
            Whatever the handler raised.
        """
        reply = AsyncResult()
        self._inbox.put(_Envelope(message, reply))
        return reply.get(timeout=timeout_s)

    def stop(self, timeout_s: float = DEFAULT_ASK_TIMEOUT_S) -> None:
        """Handle the queued messages, then end; wait at most ``timeout_s`` seconds."""
        self.tell(Stop())
        if self._greenlet is not None:
            self._greenlet.join(timeout=timeout_s)

    def on_start(self) -> None:
        """Open resources; runs in the task's greenlet before the first message."""

    def on_stop(self) -> None:
        """Close resources; runs in the task's greenlet after the last message."""

    def next_wake_at(self) -> float | None:
        """Return the monotonic time at which :meth:`on_wake` is due, or None.

        It is evaluated again after each message, so a handler can change the time.
        """
        return None

    def on_wake(self) -> None:
        """Act at the time of :meth:`next_wake_at`; runs in the task's greenlet."""

    def _run(self) -> None:
        try:
            self.on_start()
            self._schedule_recurring_methods()
            while self._step():
                pass
        except Exception as error:
            logger.bind(task=self.name).exception("task failed")
            if self._on_failure is not None:
                self._on_failure(TaskFailed(self.name, str(error)))
        finally:
            self.on_stop()

    def _schedule_recurring_methods(self) -> None:
        now = time.monotonic()
        self._due_by_method = dict.fromkeys(self._interval_by_method, now)

    def _step(self) -> bool:
        self._run_due_methods()
        wake_at = self.next_wake_at()
        if wake_at is not None and wake_at <= time.monotonic():
            self.on_wake()
        try:
            envelope = self._inbox.get(timeout=self._seconds_to_next_due())
        except Empty:
            return True
        if isinstance(envelope.message, Stop):
            return False
        self._dispatch(envelope)
        return True

    def _run_due_methods(self) -> None:
        now = time.monotonic()
        for method, due in self._due_by_method.items():
            if due <= now:
                # Missed runs are skipped, so a process that was paused causes no burst.
                self._due_by_method[method] = now + self._interval_by_method[method]
                getattr(self, method)()

    def _seconds_to_next_due(self) -> float | None:
        due = list(self._due_by_method.values())
        wake_at = self.next_wake_at()
        if wake_at is not None:
            due.append(wake_at)
        return max(0.0, min(due) - time.monotonic()) if due else None

    def _dispatch(self, envelope: _Envelope) -> None:
        method = self._handler_by_type.get(type(envelope.message))
        if method is None:
            error = TypeError(f"task {self.name} has no handler for {type(envelope.message)}")
            self._reject(envelope, error)
            return
        handler = getattr(self, method)
        try:
            result = handler(envelope.message)
        except Exception as handler_error:
            if envelope.reply is None and handler._on_error is OnError.DROP_MESSAGE:
                message_name = type(envelope.message).__name__
                logger.bind(task=self.name, dropped=message_name).exception("message dropped")
                return
            self._reject(envelope, handler_error)
            return
        if envelope.reply is not None:
            envelope.reply.set(result)

    @staticmethod
    def _reject(envelope: _Envelope, error: Exception) -> None:
        if envelope.reply is None:
            raise error
        envelope.reply.set_exception(error)
