"""Grant expiry proofs: when an unreachable backend server can no longer hold a grant."""

from collections.abc import Set
from dataclasses import dataclass, field, replace

from damasktide.ownership.constants import (
    CLOCK_RATE_FACTOR,
    GRANT_TTL_S,
    MAX_STORELESS_RENEWAL_S,
    RENEWAL_LEASE_TTL_S,
    UNCHECKED_MARGIN_S,
)
from damasktide.ownership.quorums import is_blocked
from damasktide.ownership.shard_map import ConfirmerSet


@dataclass(frozen=True, slots=True)
class GrantExpiryProof:
    """Proof that all grants under versions before ``since_version`` have expired.

    The proof collects acknowledgements until the remaining confirmers cannot form a quorum for
    an older version. No renewal lease under an older version can be extended from then on.

    Attributes
    ----------
    domain
        Failure domain of the old owner.
    policy
        Isolation policy of the service.
    since_version
        Map version that made the move pending or changed the confirmers.
    durable_at
        Monotonic time by which this instance knew that the version was durable.
    confirmer_sets
        All confirmer sets that an instance with an older version may use.
    acked
        Confirmers that acknowledged ``since_version`` or newer.
    blocked_at
        Time of the acknowledgement that blocked the last quorum, or None.
    max_deadline_s
        Longest request deadline in seconds if the service's servers do not check grants, else
        None.
    """

    domain: str
    policy: str
    since_version: int
    durable_at: float
    confirmer_sets: tuple[ConfirmerSet, ...]
    acked: Set[str] = field(default_factory=frozenset)
    blocked_at: float | None = None
    max_deadline_s: float | None = None

    def started(self) -> "GrantExpiryProof":
        """Return the proof, already blocked if no quorum is possible at all."""
        if self._all_blocked(frozenset()):
            return replace(self, blocked_at=self.durable_at)
        return self

    def with_ack(self, confirmer_id: str, now: float) -> "GrantExpiryProof":
        """Return the proof with one more acknowledgement received at ``now``."""
        acked = frozenset(self.acked) | {confirmer_id}
        blocked_at = self.blocked_at
        if blocked_at is None and self._all_blocked(acked):
            blocked_at = now
        return replace(self, acked=acked, blocked_at=blocked_at)

    def complete_at(self) -> float:
        """Return the monotonic time from which no grant of an older version is valid.

        While a quorum is still possible, renewal leases can be extended for up to
        ``MAX_STORELESS_RENEWAL_S``.
        """
        blocked_at = self.blocked_at
        if blocked_at is None:
            blocked_at = self.durable_at + MAX_STORELESS_RENEWAL_S * CLOCK_RATE_FACTOR
        wait = (RENEWAL_LEASE_TTL_S + GRANT_TTL_S) * CLOCK_RATE_FACTOR
        if self.max_deadline_s is not None:
            wait += self.max_deadline_s * CLOCK_RATE_FACTOR + UNCHECKED_MARGIN_S
        return max(self.durable_at, blocked_at) + wait

    def missing(self) -> frozenset[str]:
        """Return the confirmers that have not acknowledged yet."""
        ids = (
            confirmer_id
            for confirmers in self.confirmer_sets
            for confirmer_id in (
                confirmers.own_ids(self.domain) | confirmers.witness_ids(self.domain)
            )
        )
        return frozenset(ids) - frozenset(self.acked)

    def _all_blocked(self, acked: Set[str]) -> bool:
        return all(
            is_blocked(self.policy, confirmers, self.domain, acked)
            for confirmers in self.confirmer_sets
        )
