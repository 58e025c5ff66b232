"""Schedules the ticks of the ownership decisions."""

from collections.abc import Iterable

from damasktide.ownership.constants import (
    MIN_TICK_GAP_S,
    PAUSED_AFTER_S,
    RENEW_INTERVAL_S,
    TICK_MARGIN_S,
)
from damasktide.ownership.renewal_leases import NEVER


class TickSchedule:
    """Tracks the last tick and whether an event has brought the next one forward."""

    def __init__(self) -> None:
        self.last_at = NEVER
        self.is_due = False

    def start(self, now: float) -> bool:
        """Start a tick and return whether the process was paused before it."""
        was_paused = now - self.last_at > PAUSED_AFTER_S
        self.last_at = now
        self.is_due = False
        return was_paused

    def next_at(self, due_times: Iterable[float]) -> float:
        """Return the time of the next tick; due times before the last tick are ignored."""
        earliest = self.last_at + MIN_TICK_GAP_S
        if self.is_due:
            return earliest
        tick_times = (time + TICK_MARGIN_S for time in due_times)
        times = [time for time in tick_times if time > self.last_at]
        return max(earliest, min([self.last_at + RENEW_INTERVAL_S, *times]))
