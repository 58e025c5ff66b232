"""Keeps the queue of the machine's own link short; a state machine without network."""

# Part of the link that long responses may fill; the rest carries heads, calls to the store and
# what instances tell each other.
USABLE_PART = 0.8
# Time that the bytes of a response may wait for the link. A caller that is refused reaches
# another instance, whose link may be free.
LONGEST_BACKLOG_S = 0.3
# Responses of fewer bytes are never refused for the link.
LONG_RESPONSE_BYTES = 16 * 1024
SIZE_WEIGHT = 0.1
_BITS = 8.0


class LinkBudget:
    """Reserves the machine's link for long responses.

    Times are seconds on the monotonic clock.

    Parameters
    ----------
    link_mbps
        Bandwidth of the link in Mbit/s; 0 if it is not known, then nothing is refused.
    """

    def __init__(self, link_mbps: float) -> None:
        self._bytes_per_s = USABLE_PART * link_mbps * 1e6 / _BITS
        self._free_at = 0.0
        self._usual_bytes_by_route: dict[str, float] = {}

    def reserve(self, now: float, route: str) -> float:
        """Reserve the link for a response of ``route``.

        Returns
        -------
        float
            0, or the seconds after which to come back if nothing was reserved.
        """
        size = self._usual_bytes_by_route.get(route, 0.0)
        if not self._bytes_per_s or size < LONG_RESPONSE_BYTES:
            return 0.0
        backlog_s = self._free_at - now
        if backlog_s > LONGEST_BACKLOG_S:
            return backlog_s
        self._free_at = max(self._free_at, now) + size / self._bytes_per_s
        return 0.0

    def learn(self, route: str, size: int) -> None:
        """Take in the size of a response of ``route`` in bytes."""
        usual = self._usual_bytes_by_route.get(route)
        if usual is None:
            self._usual_bytes_by_route[route] = float(size)
        else:
            self._usual_bytes_by_route[route] = usual + SIZE_WEIGHT * (size - usual)
