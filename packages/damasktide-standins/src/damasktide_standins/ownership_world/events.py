"""Event queue that advances simulated time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

Action = Callable[[], None]


class EventQueue:
    """Runs actions in order of simulated time, in seconds; ties run in the order of insertion."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = count()
        self._heap: list[tuple[float, int, Action]] = []

    def after(self, delay_s: float, action: Action) -> None:
        """Schedule ``action`` to run after ``delay_s`` seconds."""
        heappush(self._heap, (self.now + max(delay_s, 0.0), next(self._sequence), action))

    def run_until(self, end: float) -> None:
        """Run all actions due at or before the time ``end``."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heappop(self._heap)
            action()
        self.now = end
