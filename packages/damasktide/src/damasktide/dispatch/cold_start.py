"""The share of one instance in what a cold target tolerates."""

from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

COLD_WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class InstanceCounts:
    """How many instances may run, counted so that it is never too low.

    Attributes
    ----------
    count_by_domain
        Registered instances by failure domain.
    """

    count_by_domain: Mapping[str, int] = field(default_factory=Counter)

    @property
    def total(self) -> int:
        """All registered instances; at least 1, this one."""
        return max(1, sum(self.count_by_domain.values()))


class ColdStartLimiter:
    """Bounds the requests to a cold target in any second.

    Only the instances of the target's own failure domain use it while it is cold, so each of
    them has a larger share; a failure domain without instances is shared by all.

    Parameters
    ----------
    domain
        Failure domain of this instance.
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._sent_at_by_id: dict[str, deque[float]] = {}

    def admits(
        self, now: float, target_id: str, domain: str, per_s: float, counts: InstanceCounts
    ) -> bool:
        """Return whether one more request may be sent to a cold target in this second."""
        local = counts.count_by_domain.get(domain, 0)
        if local and domain != self._domain:
            return False
        share = per_s * COLD_WINDOW_S / (local or counts.total)
        sent_at = self._sent_at_by_id.get(target_id)
        if sent_at is None:
            return True
        window_s = COLD_WINDOW_S if share >= 1.0 else COLD_WINDOW_S / max(share, 0.01)
        while sent_at and sent_at[0] <= now - window_s:
            sent_at.popleft()
        return len(sent_at) < max(1, int(share))

    def sent(self, now: float, target_id: str) -> None:
        """Count a request that goes to a cold target."""
        self._sent_at_by_id.setdefault(target_id, deque()).append(now)

    def forget(self, target_ids: set[str]) -> None:
        """Drop the counts of all targets but ``target_ids``."""
        for target_id in set(self._sent_at_by_id) - target_ids:
            del self._sent_at_by_id[target_id]
