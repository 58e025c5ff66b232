"""Simulated time and the order of events."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

Action = Callable[[], None]


class EventQueue:
    """Runs actions in the order of their simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = count()
        self._heap: list[tuple[float, int, Action]] = []

    def after(self, delay: float, action: Action) -> None:
        """Run ``action`` after ``delay`` seconds."""
        heappush(self._heap, (self.now + max(delay, 0.0), next(self._sequence), action))

    def run_until(self, end: float) -> None:
        """Run all actions up to the time ``end``."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heappop(self._heap)
            action()
        self.now = end
