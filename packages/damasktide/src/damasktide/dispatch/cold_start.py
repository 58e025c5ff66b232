"""The share of one instance in what a cold target tolerates."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import chain
from zlib import crc32

COLD_WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class Instances:
    """The instances that may run; there are never too few of them.

    Attributes
    ----------
    names_by_domain
        Names of the registered instances by failure domain.
    """

    names_by_domain: Mapping[str, frozenset[str]] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """Number of registered instances; at least 1, this one."""
        return max(1, sum(len(names) for names in self.names_by_domain.values()))

    def near(self, domain: str) -> frozenset[str]:
        """Return the instances of a failure domain, or all if it has none."""
        return self.names_by_domain.get(domain) or frozenset(
            chain.from_iterable(self.names_by_domain.values())
        )


class ColdStartLimiter:
    """Bounds the requests to a cold target in any second.

    Only instances of the target's own failure domain use it while it is cold, and of those at
    most as many as it tolerates requests a second, chosen by a hash; so each sends at least one
    a second, and the sum is bounded without any exchange. A failure domain without instances is
    shared by all.

    Parameters
    ----------
    instance
        Name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._sent_at_by_id: dict[str, deque[float]] = {}

    def admits(
        self, now: float, target_id: str, domain: str, per_s: float, instances: Instances
    ) -> bool:
        """Return whether one more request may be sent to a cold target in this second."""
        near = instances.near(domain) or frozenset({self._instance})
        seats = max(1, min(len(near), int(per_s)))
        if self._instance not in _senders(near, target_id, seats):
            return False
        sent_at = self._sent_at_by_id.get(target_id)
        if sent_at is None:
            return True
        share = per_s * COLD_WINDOW_S / seats
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


def _senders(names: frozenset[str], target_id: str, seats: int) -> list[str]:
    """Return the instances that send to a cold target, by rendezvous hashing."""
    return sorted(names, key=lambda name: crc32(f"{target_id}/{name}".encode()))[:seats]
