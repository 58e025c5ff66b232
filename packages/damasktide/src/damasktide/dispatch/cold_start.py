"""Limits on the request rate to cold targets, shared between instances."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import chain
from zlib import crc32

# Window in which the requests to a cold target are counted. It is longer for an instance that may
# send less than one request per window.
COLD_WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class RegisteredInstances:
    """The registered instances, which include every instance that may be running.

    Attributes
    ----------
    names_by_domain
        Names of the registered instances of each failure domain.
    """

    names_by_domain: Mapping[str, frozenset[str]] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """Number of registered instances; at least 1, for this instance."""
        return max(1, sum(len(names) for names in self.names_by_domain.values()))

    def in_domain_or_all(self, domain: str) -> frozenset[str]:
        """Return the names of the instances in a failure domain, or of all if it has none."""
        return self.names_by_domain.get(domain) or frozenset(
            chain.from_iterable(self.names_by_domain.values())
        )


class ColdStartLimiter:
    """Limits the number of requests sent to a cold target in any second.

    Only the instances in the target's own failure domain send to it while it is cold, or all
    instances if that domain has none. If there are more of them than the requests per second
    that the target tolerates, a hash selects only that many of them, but at least one. Every
    instance selects the same senders, and each sender has an equal share of the limit, so the
    total stays within the limit without communication between instances. A share is at least one
    request per second, except for a limit below one request per second: the only sender then
    sends at most one request in ``1 / limit`` seconds.

    Parameters
    ----------
    instance
        Name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._sent_at_by_target_id: dict[str, deque[float]] = {}

    def may_send(
        self,
        now: float,
        target_id: str,
        domain: str,
        limit_per_s: float,
        instances: RegisteredInstances,
    ) -> bool:
        """Return whether this instance may send one more request to a cold target now."""
        candidates = instances.in_domain_or_all(domain) or frozenset({self._instance})
        sender_count = max(1, min(len(candidates), int(limit_per_s)))
        if self._instance not in _select_senders(candidates, target_id, sender_count):
            return False
        sent_at = self._sent_at_by_target_id.get(target_id)
        if sent_at is None:
            return True
        share = limit_per_s * COLD_WINDOW_S / sender_count
        # A share below 0.01 counts as 0.01: one request in 100 s.
        window_s = COLD_WINDOW_S if share >= 1.0 else COLD_WINDOW_S / max(share, 0.01)
        while sent_at and sent_at[0] <= now - window_s:
            sent_at.popleft()
        return len(sent_at) < max(1, int(share))

    def record_send(self, now: float, target_id: str) -> None:
        """Record a request that is sent to a cold target."""
        self._sent_at_by_target_id.setdefault(target_id, deque()).append(now)

    def retain_only(self, target_ids: set[str]) -> None:
        """Drop the records of all targets except ``target_ids``."""
        for target_id in set(self._sent_at_by_target_id) - target_ids:
            del self._sent_at_by_target_id[target_id]


def _select_senders(names: frozenset[str], target_id: str, sender_count: int) -> list[str]:
    """Return the instances that may send to a cold target, by rendezvous hashing."""
    return sorted(names, key=lambda name: crc32(f"{target_id}/{name}".encode()))[:sender_count]
