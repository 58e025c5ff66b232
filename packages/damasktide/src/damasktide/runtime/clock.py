"""Clocks, which tests can replace by a manual one."""

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
    """A clock that also runs while the machine is suspended, so that leases expire on time."""

    def now(self) -> float:
        """Return the seconds since the machine booted, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that tests advance explicitly.

    Parameters
    ----------
    start
        Initial time in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current manual time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        self._now += seconds
