"""The cold-start ramp of a target."""

RAMP_S = 10.0
# A response within this time after a connection failure indicates a cold start if it is slower
# than this multiple of the median.
RESET_WINDOW_S = 2.0
COLD_LATENCY_FACTOR = 3.0


class ColdStartRamp:
    """Grows the limit of a target from 1 slot to all slots after a cold start.

    A new boot id indicates a cold start. Because boot ids can arrive late, a connection that was
    reset or could not be established, followed by a response far slower than the median, also
    counts as one.
    """

    __slots__ = ("_boot_id", "_reset_at", "_started_at")

    def __init__(self) -> None:
        self._boot_id: str | None = None
        self._started_at: float | None = None
        self._reset_at: float | None = None

    def start(self, now: float) -> None:
        """Begin the ramp at ``now``."""
        self._started_at = now
        self._reset_at = None

    def on_boot(self, now: float, boot_id: str) -> bool:
        """Record a boot id and return whether it started the ramp."""
        known, self._boot_id = self._boot_id, boot_id
        if known is None or known == boot_id:
            return False
        self.start(now)
        return True

    def on_reset(self, now: float) -> None:
        """Record a connection that was reset or could not be established."""
        self._reset_at = now

    def on_latency(self, now: float, latency_s: float, median_s: float) -> bool:
        """Check the latency of a response and return whether it started the ramp."""
        if self._reset_at is None or now - self._reset_at > RESET_WINDOW_S:
            return False
        if latency_s <= COLD_LATENCY_FACTOR * median_s or median_s <= 0.0 or self.is_active(now):
            return False
        self.start(now)
        return True

    def on_shed(self, now: float, slots: int) -> None:
        """Halve the limit after the target shed a request, and let it grow again from there.

        All instances together use no more than the target's slots, so a target that sheds
        currently has less capacity than its slots. This also covers a cold start whose boot id has
        not reached this instance.
        """
        halved = max(1, self.limit(now, slots) // 2)
        grown_fraction = (halved - 1) / max(1, slots - 1)
        self._started_at = now - RAMP_S * grown_fraction

    def is_active(self, now: float) -> bool:
        """Return whether the target is still in its ramp."""
        return self._started_at is not None and now < self._started_at + RAMP_S

    def limit(self, now: float, slots: int) -> int:
        """Return how many of ``slots`` may be in use at ``now`` by all instances."""
        if self._started_at is None or now >= self._started_at + RAMP_S:
            return slots
        elapsed = max(0.0, now - self._started_at)
        return min(slots, 1 + int((slots - 1) * elapsed / RAMP_S))
