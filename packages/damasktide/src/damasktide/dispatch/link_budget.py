"""Admission control for the machine's network link; a state machine without I/O."""

# Fraction of the link's bandwidth available to long responses. The rest carries response heads,
# calls to the store and messages between instances.
USABLE_FRACTION = 0.8
# Longest time that a response may wait for the link. A caller that is refused can reach another
# instance, whose link may be free.
MAX_BACKLOG_S = 0.3
# Responses shorter than this are never refused because of the link.
LONG_RESPONSE_BYTES = 16 * 1024
# Weight of a new response in the moving average of a route's response size.
SIZE_WEIGHT = 0.1
_BITS_PER_BYTE = 8.0


class LinkBudget:
    """Reserves bandwidth of the machine's link for long responses.

    Times are seconds on the monotonic clock.

    Parameters
    ----------
    link_mbps
        Bandwidth of the link in Mbit/s, or 0 if unknown; nothing is refused then.
    """

    def __init__(self, link_mbps: float) -> None:
        self._bytes_per_s = USABLE_FRACTION * link_mbps * 1e6 / _BITS_PER_BYTE
        self._free_at = 0.0
        self._typical_bytes_by_route: dict[str, float] = {}

    def reserve(self, now: float, route: str) -> float:
        """Reserve link time for a response of ``route``.

        Returns
        -------
        float
            0 if the response is admitted, otherwise the time in seconds after which to retry.
        """
        size = self._typical_bytes_by_route.get(route, 0.0)
        if not self._bytes_per_s or size < LONG_RESPONSE_BYTES:
            return 0.0
        backlog_s = self._free_at - now
        if backlog_s > MAX_BACKLOG_S:
            return backlog_s
        self._free_at = max(self._free_at, now) + size / self._bytes_per_s
        return 0.0

    def learn(self, route: str, size: int) -> None:
        """Record the size of a response of ``route``, in bytes."""
        typical_bytes = self._typical_bytes_by_route.get(route)
        if typical_bytes is None:
            self._typical_bytes_by_route[route] = float(size)
        else:
            self._typical_bytes_by_route[route] = typical_bytes + SIZE_WEIGHT * (
                size - typical_bytes
            )
