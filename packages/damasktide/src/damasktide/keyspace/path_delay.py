"""How long a command may stay queued in a link after its sender gave up on it."""

from collections.abc import Mapping

# Bytes sent before a connection was reset may still arrive for this time.
MAX_ARRIVAL_DELAY_S = 0.15
# A response that takes this long was queued on its way: a round trip between regions takes 60 ms.
QUEUED_RESPONSE_S = 0.25
# Replaces MAX_ARRIVAL_DELAY_S for a congested link, where bytes have arrived 1.4 s after their
# connection was reset.
CONGESTED_ARRIVAL_DELAY_S = 3.0
# How long a slow response marks its region as congested. Longer than a hold plus the congested
# arrival delay, after which the grants of an unresponsive target have expired.
CONGESTION_RETENTION_S = 6.0


class PathDelay:
    """Tracks when targets of each region last responded slowly.

    Parameters
    ----------
    region_by_domain
        Region of each failure domain; an unknown domain counts as a region of its own.
    """

    def __init__(self, region_by_domain: Mapping[str, str]) -> None:
        self._region_by_domain = region_by_domain
        self._slow_response_at_by_region: dict[str, float] = {}

    def record_response(self, ended_at: float, domain: str, duration_s: float) -> None:
        """Record the response to a command."""
        if duration_s >= QUEUED_RESPONSE_S:
            region = self._region(domain)
            previous_at = self._slow_response_at_by_region.get(region, ended_at)
            self._slow_response_at_by_region[region] = max(previous_at, ended_at)

    def max_arrival_delay_s(self, now: float, domain: str) -> float:
        """Return how long after its end a command to ``domain`` may still arrive.

        Slow responses from a region show that its link is congested. A region whose targets stop
        responding without such a sign is partitioned or lost, and no command is queued.
        """
        slow_response_at = self._slow_response_at_by_region.get(
            self._region(domain), float("-inf")
        )
        return (
            CONGESTED_ARRIVAL_DELAY_S
            if slow_response_at >= now - CONGESTION_RETENTION_S
            else MAX_ARRIVAL_DELAY_S
        )

    def _region(self, domain: str) -> str:
        return self._region_by_domain.get(domain, domain)
