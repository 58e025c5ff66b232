"""Tracks reads of the map row and confirmations of peers, which allow renewing grants."""

from collections.abc import Iterator

from damasktide.ownership.constants import (
    MAP_ROW_READ_STALE_AFTER_S,
    PROPOSE_MAP_ROW_READ_MAX_AGE_S,
)
from damasktide.ownership.renewal_leases import NEVER, Confirmation, RenewalLeaseTracker
from damasktide.ownership.shard_map import ConfirmerSet


class Authority:
    """Last read of the map row at the adopted version, and the resulting renewal leases.

    Parameters
    ----------
    instance_id
        Id of this instance.
    policy
        Isolation policy of the service.
    """

    def __init__(self, instance_id: str, policy: str) -> None:
        self._instance_id = instance_id
        self._policy = policy
        self._version = 0
        self._map_row_read_at = NEVER
        self._lease_tracker_by_domain: dict[str, RenewalLeaseTracker] = {}

    @property
    def map_row_read_at(self) -> float:
        """Monotonic time of sending the last read or write that showed the adopted version."""
        return self._map_row_read_at

    def is_stale(self, now: float) -> bool:
        """Return whether the last read of the map row is so old that confirmers are asked too."""
        return now - self._map_row_read_at > MAP_ROW_READ_STALE_AFTER_S

    def may_propose(self, now: float) -> bool:
        """Return whether the last read of the map row is recent enough to propose a change."""
        return now - self._map_row_read_at <= PROPOSE_MAP_ROW_READ_MAX_AGE_S

    def has_renewal_leases(self, confirmers: ConfirmerSet, at: float) -> bool:
        """Return whether the leases for all renewed failure domains are valid at ``at``."""
        return all(
            tracker.valid_until(confirmers) > at
            for tracker in self._lease_tracker_by_domain.values()
        )

    def adopt(self, version: int) -> None:
        """Reset the state for a newer map version."""
        self._version = version
        self._map_row_read_at = NEVER
        for tracker in self._lease_tracker_by_domain.values():
            tracker.adopt(version)

    def record_map_row_read(self, version: int, requested_at: float) -> None:
        """Record that a read or write sent at ``requested_at`` showed ``version`` in the row."""
        if version != self._version:
            return
        self._map_row_read_at = max(self._map_row_read_at, requested_at)
        for tracker in self._lease_tracker_by_domain.values():
            tracker.record_map_row_read(version, requested_at)

    def record_confirmation(self, instance_id: str, version: int, requested_at: float) -> None:
        """Record that an instance has adopted ``version`` and no newer one."""
        confirmation = Confirmation(instance_id, version, requested_at)
        for tracker in self._lease_tracker_by_domain.values():
            tracker.record_confirmation(confirmation)

    def confirm_to_self(self, now: float) -> None:
        """Record this instance's own confirmation of the adopted version."""
        self.record_confirmation(self._instance_id, self._version, now)

    def valid_until(self, domain: str, confirmers: ConfirmerSet) -> float:
        """Return the monotonic time at which the renewal lease for ``domain`` expires."""
        return self._lease_tracker(domain).valid_until(confirmers)

    def confirmers_to_ask(self, confirmers: ConfirmerSet) -> Iterator[str]:
        """Yield the confirmers that can extend the renewal leases of this instance.

        These are the confirmers of the failure domains whose servers it renews, and those of
        their witness domains; an id may be yielded more than once.
        """
        for domain in self._lease_tracker_by_domain:
            yield from confirmers.own_ids(domain)
            yield from confirmers.witness_ids(domain)

    def _lease_tracker(self, domain: str) -> RenewalLeaseTracker:
        tracker = self._lease_tracker_by_domain.get(domain)
        if tracker is None:
            tracker = RenewalLeaseTracker(domain, self._policy)
            tracker.adopt(self._version)
            tracker.record_map_row_read(self._version, self._map_row_read_at)
            self._lease_tracker_by_domain[domain] = tracker
        return tracker
