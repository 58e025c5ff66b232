"""Rights: time-limited permissions to renew grants under one map version."""

from collections.abc import Mapping
from dataclasses import dataclass

from damasktide.ownership.constants import HOLD_LIMIT_S, RENEWAL_LEASE_TTL_S
from damasktide.ownership.quorums import has_quorum
from damasktide.ownership.shard_map import ConfirmerSet

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A confirmer's statement that it has adopted a version and nothing newer.

    Attributes
    ----------
    confirmer_id
        Id of the confirmer.
    version
        The confirmed map version.
    requested_at
        Monotonic time of the asker at which the request was sent.
    """

    confirmer_id: str
    version: int
    requested_at: float


class RenewalLeaseTracker:
    """Computes until when this instance may renew grants of its failure domain.

    Parameters
    ----------
    domain
        Failure domain of the backend servers to be renewed.
    policy
        Isolation policy of the service.
    """

    def __init__(self, domain: str, policy: str) -> None:
        self._domain = domain
        self._policy = policy
        self._version = 0
        self._table_news_at = NEVER
        self._asked_at_by_confirmer: dict[str, float] = {}

    @property
    def map_row_read_at(self) -> float:
        """Monotonic time from which the last table news of this version counts."""
        return self._table_news_at

    def adopt(self, version: int) -> None:
        """Start over for a newer map version; rights of older versions end here."""
        if version > self._version:
            self._version = version
            self._table_news_at = NEVER
            self._asked_at_by_confirmer = {}

    def record_table_news(self, version: int, requested_at: float) -> None:
        """Record that the table showed ``version`` to a read sent at ``requested_at``."""
        if version == self._version:
            self._table_news_at = max(self._table_news_at, requested_at)

    def record_confirmation(self, confirmation: Confirmation) -> None:
        """Record a confirmation; one for another version is ignored."""
        if confirmation.version == self._version:
            previous = self._asked_at_by_confirmer.get(confirmation.confirmer_id, NEVER)
            self._asked_at_by_confirmer[confirmation.confirmer_id] = max(
                previous, confirmation.requested_at
            )

    def valid_until(self, confirmers: ConfirmerSet) -> float:
        """Return the monotonic time at which the right ends."""
        by_table = self._table_news_at + RENEWAL_LEASE_TTL_S
        by_quorum = min(
            _quorum_asked_at(self._policy, confirmers, self._domain, self._asked_at_by_confirmer)
            + RENEWAL_LEASE_TTL_S,
            self._table_news_at + HOLD_LIMIT_S,
        )
        return max(by_table, by_quorum)


def _quorum_asked_at(
    policy: str,
    confirmers: ConfirmerSet,
    domain: str,
    asked_at_by_confirmer: Mapping[str, float],
) -> float:
    """Return the latest time after which a whole quorum was asked, or ``NEVER``."""
    confirmed: set[str] = set()
    newest_first = sorted(asked_at_by_confirmer.items(), key=lambda item: -item[1])
    for confirmer_id, requested_at in newest_first:
        confirmed.add(confirmer_id)
        if has_quorum(policy, confirmers, domain, confirmed):
            return requested_at
    return NEVER
