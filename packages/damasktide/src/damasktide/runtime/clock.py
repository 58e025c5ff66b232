"""Sources of time, so that tests can inject their own."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""


class MonotonicClock:
    """The operating system's monotonic clock."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


class LeaseClock:
    """A clock that also runs while the machine is suspended, so that leases end in time."""

    def now(self) -> float:
        """Return the seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that only moves when a test moves it.

    Parameters
    ----------
    start
        First reading in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the time set by the test in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._now += seconds
