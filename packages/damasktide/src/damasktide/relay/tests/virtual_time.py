"""Greenlets that wait on a virtual clock, so that seconds of simulated time take milliseconds."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from heapq import heappop, heappush
from itertools import count
from typing import Any, Protocol
from unittest.mock import patch

import greenlet


class Process(Protocol):
    """Owner of greenlets; they stand still while it is paused, and never run after its end."""

    paused_until: float
    has_ended: bool


class _OwnedGreenlet(greenlet.greenlet):  # type: ignore[misc]
    owner: Process | None = None


class VirtualTime:
    """Runs greenlets in the order of their wake times; the creating greenlet is the scheduler."""

    def __init__(self) -> None:
        self._now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._scheduler = greenlet.getcurrent()

    def now(self) -> float:
        return self._now

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        heappush(self._queue, (self._now + max(0.0, delay_s), next(self._order), action))

    def spawn(self, owner: Process | None, function: Callable[..., Any], *args: Any) -> None:
        """Start a greenlet; without an owner it belongs to the one that calls this."""
        started = _OwnedGreenlet(lambda: function(*args), self._scheduler)
        started.owner = owner or getattr(greenlet.getcurrent(), "owner", None)
        self.schedule(0.0, lambda: self._resume(started))

    def sleep(self, seconds: float) -> None:
        current = greenlet.getcurrent()
        self.schedule(seconds, lambda: self._resume(current))
        self._scheduler.switch()

    def wait(self, waiter: "Waiter", timeout_s: float | None) -> None:
        """Switch to the scheduler until ``waiter`` is woken or the timeout ends."""
        if timeout_s is not None:
            self.schedule(timeout_s, waiter.wake)
        self._scheduler.switch()

    def run(self, until: float) -> None:
        """Advance the time; the scheduler calls this."""
        while self._queue and self._queue[0][0] <= until:
            self._now, _, action = heappop(self._queue)
            action()
        self._now = until

    def _resume(self, target: Any) -> None:
        owner = getattr(target, "owner", None)
        if owner is not None and owner.has_ended:
            return
        if owner is not None and owner.paused_until > self._now:
            self.schedule(owner.paused_until - self._now, lambda: self._resume(target))
            return
        target.switch()

    def waiter(self) -> "Waiter":
        return Waiter(self, greenlet.getcurrent())

    def event_type(self) -> type:
        """Return a stand-in for :class:`gevent.event.Event` on this clock."""
        time = self

        class VirtualEvent:
            def __init__(self) -> None:
                self._is_set = False
                self._waiters: list[Waiter] = []

            def is_set(self) -> bool:
                return self._is_set

            def set(self) -> None:
                self._is_set = True
                waiters, self._waiters = self._waiters, []
                for waiter in waiters:
                    time.schedule(0.0, waiter.wake)

            def wait(self, timeout: float | None = None) -> bool:
                if not self._is_set:
                    waiter = time.waiter()
                    self._waiters.append(waiter)
                    time.wait(waiter, timeout)
                return self._is_set

        return VirtualEvent


class Waiter:
    """A greenlet that waits and is resumed once."""

    def __init__(self, time: VirtualTime, target: Any) -> None:
        self._time = time
        self._target = target
        self._is_done = False

    def wake(self) -> None:
        if not self._is_done:
            self._is_done = True
            self._time._resume(self._target)


@contextmanager
def patched_clocks(time: VirtualTime) -> Iterator[None]:
    """Let the followers, the relay and published snapshots use the virtual clock."""

    class VirtualClock:
        def now(self) -> float:
            return time.now()

    class VirtualGevent:
        sleep = staticmethod(time.sleep)

    replacements: dict[str, Any] = {
        "damasktide.rows.follower.monotonic": time.now,
        "damasktide.rows.follower.LeaseClock": VirtualClock,
        "damasktide.relay.relayed_store.monotonic": time.now,
        "damasktide.relay.relayed_store.LeaseClock": VirtualClock,
        "damasktide.relay.relayed_store.gevent": VirtualGevent,
        "damasktide.runtime.published.Event": time.event_type(),
    }
    with ExitStack() as stack:
        for name, replacement in replacements.items():
            stack.enter_context(patch(name, replacement))
        yield
