"""Watches another failure domain, so that its loss is noticed before membership reports it."""

from collections.abc import Iterable

from damasktide.ownership.constants import SUSPECT_AFTER_S
from damasktide.ownership.rights import NEVER
from damasktide.ownership.shard_map import MoveCause, ShardMap

# After a takeover that was called off, the loss of a failure domain is left to membership,
# which also probes indirectly: a partition between two failure domains must not make shards
# pending again and again.
BACK_OFF_S = 60.0


class DomainGuard:
    """Watches the failure domain for which this instance's failure domain is the witness."""

    def __init__(self) -> None:
        self._heard_at_by_id: dict[str, float] = {}
        self._watched_since = NEVER
        self._backs_off_until = NEVER

    def restart(self, now: float) -> None:
        """Start to watch, or start again after this process was paused."""
        self._watched_since = now

    def record_reply(self, instance_id: str, requested_at: float) -> None:
        """Record a reply of an instance to a request that was sent at ``requested_at``."""
        known = self._heard_at_by_id.get(instance_id, NEVER)
        self._heard_at_by_id[instance_id] = max(known, requested_at)

    def record_change(self, old: ShardMap, new: ShardMap, domain: str, now: float) -> None:
        """Back off if the change calls off moves from lost servers of ``domain``."""
        still_pending = new.pending_by_shard()
        server_by_id = old.server_by_id()
        for move in old.pending:
            owner = new.owner_of(move.shard) if move.shard not in still_pending else None
            is_called_off = owner is not None and owner.server_id == move.old_owner
            is_guarded = server_by_id[move.old_owner].domain == domain
            if is_called_off and is_guarded and move.cause is MoveCause.LOST:
                self._backs_off_until = now + BACK_OFF_S

    def silent_since(self, instance_ids: Iterable[str]) -> float:
        """Return since when none of the instances has replied."""
        heard = (self._heard_at_by_id.get(name, NEVER) for name in instance_ids)
        return max(self._watched_since, max(heard, default=NEVER))

    def is_quiet(self, instance_ids: Iterable[str], now: float) -> bool:
        """Return whether the servers of the failure domain should be probed."""
        return now - self.silent_since(instance_ids) > SUSPECT_AFTER_S / 2

    def is_silent(self, instance_ids: Iterable[str], now: float) -> bool:
        """Return whether the failure domain is taken for lost."""
        quiet_s = now - self.silent_since(instance_ids)
        return quiet_s > SUSPECT_AFTER_S and now >= self._backs_off_until
