"""Renewal leases: time-limited permissions to renew grants under one map version."""

from collections.abc import Mapping
from dataclasses import dataclass

from damasktide.ownership.constants import MAX_STORELESS_RENEWAL_S, RENEWAL_LEASE_TTL_S
from damasktide.ownership.quorums import has_quorum
from damasktide.ownership.shard_map import ConfirmerSet

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A confirmer's confirmation that it has adopted a version and no newer one.

    Attributes
    ----------
    confirmer_id
        Id of the confirmer.
    version
        The confirmed map version.
    requested_at
        Time at which the request was sent, on the monotonic clock of the requesting instance.
    """

    confirmer_id: str
    version: int
    requested_at: float


class RenewalLeaseTracker:
    """Computes until when this instance may renew grants in one failure domain.

    Parameters
    ----------
    domain
        Failure domain of the backend servers whose grants are renewed.
    policy
        Isolation policy of the service.
    """

    def __init__(self, domain: str, policy: str) -> None:
        self._domain = domain
        self._policy = policy
        self._version = 0
        self._map_row_read_at = NEVER
        self._requested_at_by_confirmer: dict[str, float] = {}

    @property
    def map_row_read_at(self) -> float:
        """Monotonic time at which the latest read or write that showed this version was sent."""
        return self._map_row_read_at

    def adopt(self, version: int) -> None:
        """Reset the state for a newer map version; leases under older versions end here."""
        if version > self._version:
            self._version = version
            self._map_row_read_at = NEVER
            self._requested_at_by_confirmer = {}

    def record_map_row_read(self, version: int, requested_at: float) -> None:
        """Record that a read or write sent at ``requested_at`` showed ``version`` in the row."""
        if version == self._version:
            self._map_row_read_at = max(self._map_row_read_at, requested_at)

    def record_confirmation(self, confirmation: Confirmation) -> None:
        """Record a confirmation; one for another version is ignored."""
        if confirmation.version == self._version:
            previous = self._requested_at_by_confirmer.get(confirmation.confirmer_id, NEVER)
            self._requested_at_by_confirmer[confirmation.confirmer_id] = max(
                previous, confirmation.requested_at
            )

    def valid_until(self, confirmers: ConfirmerSet) -> float:
        """Return the monotonic time at which the lease expires.

        A read of the map row and a quorum of confirmations each extend the lease; a quorum does
        so only up to ``MAX_STORELESS_RENEWAL_S`` after the last read.
        """
        by_read = self._map_row_read_at + RENEWAL_LEASE_TTL_S
        by_quorum = min(
            _quorum_requested_at(
                self._policy, confirmers, self._domain, self._requested_at_by_confirmer
            )
            + RENEWAL_LEASE_TTL_S,
            self._map_row_read_at + MAX_STORELESS_RENEWAL_S,
        )
        return max(by_read, by_quorum)


def _quorum_requested_at(
    policy: str,
    confirmers: ConfirmerSet,
    domain: str,
    requested_at_by_confirmer: Mapping[str, float],
) -> float:
    """Return the time of the oldest request in the most recent quorum, or ``NEVER``."""
    confirmed: set[str] = set()
    newest_first = sorted(requested_at_by_confirmer.items(), key=lambda item: -item[1])
    for confirmer_id, requested_at in newest_first:
        confirmed.add(confirmer_id)
        if has_quorum(policy, confirmers, domain, confirmed):
            return requested_at
    return NEVER
