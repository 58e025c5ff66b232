"""Targets that asked for no requests for some time; a state machine without I/O."""

# Longest pause that is respected. A target that states a longer one is asked again after this
# time, with one request at a time.
MAX_PAUSE_S = 60.0


class PauseRegister:
    """Remembers until when each incarnation of a target wants no requests.

    A pause outlasts the target's entry in the list, because an entry may lapse and return. Times
    are seconds on the monotonic clock.
    """

    def __init__(self) -> None:
        self._paused_until_by_incarnation: dict[tuple[str, int], float] = {}

    def record(self, now: float, incarnation: tuple[str, int], pause_s: float) -> None:
        """Record that a target wants no requests for ``pause_s`` seconds.

        A later response with a shorter time does not end a pause.
        """
        if pause_s <= 0.0:
            return
        self._remove_expired(now)
        until = now + min(pause_s, MAX_PAUSE_S)
        known_until = self._paused_until_by_incarnation.get(incarnation, until)
        self._paused_until_by_incarnation[incarnation] = max(until, known_until)

    def remaining_s(self, now: float, incarnation: tuple[str, int]) -> float:
        """Return for how many seconds the target still wants no requests; 0 if it accepts them."""
        until = self._paused_until_by_incarnation.get(incarnation)
        return max(0.0, until - now) if until is not None else 0.0

    def _remove_expired(self, now: float) -> None:
        self._paused_until_by_incarnation = {
            incarnation: until
            for incarnation, until in self._paused_until_by_incarnation.items()
            if until > now
        }
