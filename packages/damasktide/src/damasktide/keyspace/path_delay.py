"""How long an order may still stand in the queue of a link after it was given up."""

from collections.abc import Mapping

# Bytes that were sent before a connection was reset may still arrive for this time.
LAST_ARRIVAL_S = 0.15
# An answer that took this long has stood in queues: a round trip between regions takes 60 ms.
QUEUED_ANSWER_S = 0.25
# Bytes in a link that is full have arrived 1.4 s after their connection was reset.
FULL_LINK_ARRIVAL_S = 3.0
# Longer than a hold and the last arrival, after which a target counts as silent.
REMEMBERED_S = 6.0


class PathDelay:
    """Remembers when orders to the targets of each region were last answered late.

    Parameters
    ----------
    region_by_domain
        Region of each failure domain; an unknown domain counts as a region of its own.
    """

    def __init__(self, region_by_domain: Mapping[str, str]) -> None:
        self._region_by_domain = region_by_domain
        self._late_at_by_region: dict[str, float] = {}

    def answered(self, ended_at: float, domain: str, duration_s: float) -> None:
        """Take in an order that was answered."""
        if duration_s >= QUEUED_ANSWER_S:
            region = self._region(domain)
            before = self._late_at_by_region.get(region, ended_at)
            self._late_at_by_region[region] = max(before, ended_at)

    def last_arrival_s(self, now: float, domain: str) -> float:
        """Return for how long after its end an order to ``domain`` may still arrive.

        A region whose targets answer late has a link that is full. One whose targets all fell
        silent without answering late before is cut off or lost, and nothing is on its way.
        """
        late_at = self._late_at_by_region.get(self._region(domain), float("-inf"))
        return FULL_LINK_ARRIVAL_S if late_at >= now - REMEMBERED_S else LAST_ARRIVAL_S

    def _region(self, domain: str) -> str:
        return self._region_by_domain.get(domain, domain)
