"""Monitors another failure domain, to detect its loss before membership reports it."""

from collections.abc import Iterable

from damasktide.ownership.constants import SUSPECT_AFTER_S
from damasktide.ownership.renewal_leases import NEVER
from damasktide.ownership.shard_map import MoveCause, ShardMap

# After a cancelled takeover, only membership decides for this long whether a failure domain is
# lost, because membership also probes indirectly. Otherwise a partition between two failure
# domains would make shards pending again and again.
BACK_OFF_S = 60.0


class DomainMonitor:
    """Monitors the failure domain for which this instance's failure domain is the witness."""

    def __init__(self) -> None:
        self._contacted_at_by_id: dict[str, float] = {}
        self._watched_since = NEVER
        self._back_off_until = NEVER

    def restart(self, now: float) -> None:
        """Start monitoring, or restart it after this process was paused."""
        self._watched_since = now

    def record_reply(self, instance_id: str, requested_at: float) -> None:
        """Record a reply of an instance to a request that was sent at ``requested_at``."""
        previous = self._contacted_at_by_id.get(instance_id, NEVER)
        self._contacted_at_by_id[instance_id] = max(previous, requested_at)

    def record_change(self, old: ShardMap, new: ShardMap, domain: str, now: float) -> None:
        """Back off if the change cancels moves from lost servers of ``domain``."""
        still_pending = new.pending_by_shard()
        server_by_id = old.server_by_id()
        for move in old.pending:
            owner = new.owner_of(move.shard) if move.shard not in still_pending else None
            is_cancelled = owner is not None and owner.server_id == move.old_owner
            is_monitored = server_by_id[move.old_owner].domain == domain
            if is_cancelled and is_monitored and move.cause is MoveCause.LOST:
                self._back_off_until = now + BACK_OFF_S

    def no_contact_since(self, instance_ids: Iterable[str]) -> float:
        """Return the monotonic time since which none of the instances has replied."""
        contacted_at = (self._contacted_at_by_id.get(name, NEVER) for name in instance_ids)
        return max(self._watched_since, max(contacted_at, default=NEVER))

    def is_unresponsive(self, instance_ids: Iterable[str], now: float) -> bool:
        """Return whether no instance has replied within half of the suspicion timeout.

        This instance then also probes the servers of the failure domain.
        """
        return now - self.no_contact_since(instance_ids) > SUSPECT_AFTER_S / 2

    def is_presumed_lost(self, instance_ids: Iterable[str], now: float) -> bool:
        """Return whether no instance has replied within the suspicion timeout.

        While backing off, no failure domain is presumed lost.
        """
        no_contact_s = now - self.no_contact_since(instance_ids)
        return no_contact_s > SUSPECT_AFTER_S and now >= self._back_off_until
