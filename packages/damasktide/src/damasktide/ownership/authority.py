"""What lets this instance renew grants: its table news and the confirmations of its peers."""

from collections.abc import Iterator

from damasktide.ownership.constants import NEWS_STALE_AFTER_S, PROPOSE_NEWS_MAX_AGE_S
from damasktide.ownership.rights import NEVER, Confirmation, RenewalLeaseTracker
from damasktide.ownership.shard_map import ConfirmerSet


class Authority:
    """Table news of the adopted version and the rights that follow from it.

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
        self._table_news_at = NEVER
        self._right_by_domain: dict[str, RenewalLeaseTracker] = {}

    @property
    def map_row_read_at(self) -> float:
        """Monotonic time from which the last table news of the adopted version counts."""
        return self._table_news_at

    def is_stale(self, now: float) -> bool:
        """Return whether the table news is too old to rely on the table alone."""
        return now - self._table_news_at > NEWS_STALE_AFTER_S

    def may_propose(self, now: float) -> bool:
        """Return whether the table news is fresh enough for a change of the map."""
        return now - self._table_news_at <= PROPOSE_NEWS_MAX_AGE_S

    def has_right(self, confirmers: ConfirmerSet, at: float) -> bool:
        """Return whether there is a right for each renewed failure domain at the time ``at``."""
        return all(right.valid_until(confirmers) > at for right in self._right_by_domain.values())

    def adopt(self, version: int) -> None:
        """Start over for a newer map version."""
        self._version = version
        self._table_news_at = NEVER
        for right in self._right_by_domain.values():
            right.adopt(version)

    def record_news(self, version: int, requested_at: float) -> None:
        """Record that the table showed ``version`` to a request sent at ``requested_at``."""
        if version != self._version:
            return
        self._table_news_at = max(self._table_news_at, requested_at)
        for right in self._right_by_domain.values():
            right.record_table_news(version, requested_at)

    def record_confirmation(self, instance_id: str, version: int, requested_at: float) -> None:
        """Record that an instance has adopted ``version`` and nothing newer."""
        confirmation = Confirmation(instance_id, version, requested_at)
        for right in self._right_by_domain.values():
            right.record_confirmation(confirmation)

    def confirm_to_self(self, now: float) -> None:
        """Count this instance among the confirmers that were asked now."""
        self.record_confirmation(self._instance_id, self._version, now)

    def valid_until(self, domain: str, confirmers: ConfirmerSet) -> float:
        """Return the monotonic time at which the right for ``domain`` ends."""
        return self._right(domain).valid_until(confirmers)

    def confirmers_to_ask(self, confirmers: ConfirmerSet) -> Iterator[str]:
        """Yield the confirmers of the failure domains whose servers this instance renews."""
        for domain in self._right_by_domain:
            yield from confirmers.own_ids(domain)
            yield from confirmers.witness_ids(domain)

    def _right(self, domain: str) -> RenewalLeaseTracker:
        right = self._right_by_domain.get(domain)
        if right is None:
            right = RenewalLeaseTracker(domain, self._policy)
            right.adopt(self._version)
            right.record_table_news(self._version, self._table_news_at)
            self._right_by_domain[domain] = right
        return right
