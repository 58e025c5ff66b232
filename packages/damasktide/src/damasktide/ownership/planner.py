"""Plans which shards move to which backend server, with as few moves as possible."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from math import ceil

from damasktide.ownership.shard_map import NO_OWNER, MoveCause, OwnerServer, ShardMap
from damasktide.ownership.shards import ShardPool, ShardSpace

# If the ratio of the fullest server to the mean exceeds this, shards move for balance alone.
MAX_IMBALANCE = 1.15

# Largest fraction of its fair share that a joining server gets in one plan, so that a failure
# domain that returns cold is not overloaded.
JOIN_BATCH_FRACTION = 1 / 8


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """One move of a plan.

    Attributes
    ----------
    shard
        Number of the shard.
    new_owner
        Id of the server that gets the shard.
    cause
        Why the shard moves.
    """

    shard: int
    new_owner: str
    cause: MoveCause

    def as_tuple(self) -> tuple[int, str, MoveCause]:
        """Return the move in the form that :func:`with_moves` expects."""
        return self.shard, self.new_owner, self.cause


@dataclass(frozen=True, slots=True)
class Candidates:
    """Backend servers that a plan may move shards to or must move shards away from.

    Attributes
    ----------
    usable_by_id
        Servers that may get shards, by server id.
    cause_by_unusable_id
        Why the shards of a server have to move away, by server id.
    """

    usable_by_id: Mapping[str, OwnerServer]
    cause_by_unusable_id: Mapping[str, MoveCause]


def plan_moves(
    shard_map: ShardMap, space: ShardSpace, candidates: Candidates
) -> tuple[PlannedMove, ...]:
    """Return the next moves towards a balanced map on usable servers.

    Only these shards move: those without an owner or with an unusable one, a bounded number to
    servers that have joined, and as many as bring the imbalance down to ``MAX_IMBALANCE``.
    """
    return tuple(
        move for pool in space.pools() for move in _PoolPlan(shard_map, pool, candidates).moves()
    )


class _PoolPlan:
    """Plans the moves within one pool; the shard counts include moves already planned."""

    def __init__(self, shard_map: ShardMap, pool: ShardPool, candidates: Candidates) -> None:
        self._map = shard_map
        self._pool = pool
        self._cause_by_id = candidates.cause_by_unusable_id
        self._usable_by_id = {
            server_id: server
            for server_id, server in candidates.usable_by_id.items()
            if pool.region is None or server.region == pool.region
        }
        self._pending_shards = frozenset(move.shard for move in shard_map.pending)
        self._shards_by_id: dict[str, list[int]] = {name: [] for name in self._usable_by_id}
        self._orphans: list[tuple[int, OwnerServer | None]] = []
        self._group_shards()

    def moves(self) -> Iterator[PlannedMove]:
        if not self._usable_by_id:
            return
        yield from self._orphan_moves()
        yield from self._balance_moves()

    def _group_shards(self) -> None:
        for shard in range(self._pool.start, self._pool.start + self._pool.size):
            index = self._map.owners[shard]
            owner = self._map.servers[index] if index != NO_OWNER else None
            if owner is not None and owner.server_id in self._shards_by_id:
                self._shards_by_id[owner.server_id].append(shard)
            elif owner is None or owner.server_id in self._cause_by_id:
                self._orphans.append((shard, owner))

    def _orphan_moves(self) -> Iterator[PlannedMove]:
        for shard, owner in self._orphans:
            new_owner = self._best_server(owner)
            self._shards_by_id[new_owner].append(shard)
            cause = self._cause_by_id[owner.server_id] if owner else MoveCause.JOIN
            yield PlannedMove(shard, new_owner, cause)

    def _best_server(self, old_owner: OwnerServer | None) -> str:
        """Return the server with the fewest shards; break ties by closeness to the old owner."""

        def rank(server_id: str) -> tuple[int, bool, bool, str]:
            server = self._usable_by_id[server_id]
            is_other_domain = old_owner is not None and server.domain != old_owner.domain
            is_other_region = old_owner is not None and server.region != old_owner.region
            return len(self._shards_by_id[server_id]), is_other_region, is_other_domain, server_id

        return min(self._usable_by_id, key=rank)

    def _balance_moves(self) -> Iterator[PlannedMove]:
        fair_share = self._pool.size / len(self._usable_by_id)
        min_share = fair_share / MAX_IMBALANCE
        joining_ids = {
            name for name, shards in self._shards_by_id.items() if len(shards) < min_share
        }
        budget_by_id = dict.fromkeys(joining_ids, ceil(fair_share * JOIN_BATCH_FRACTION))
        while True:
            emptiest = min(self._shards_by_id, key=self._count)
            fullest = max(self._shards_by_id, key=self._count)
            joining = self._next_joining(fair_share, budget_by_id)
            if joining is not None:
                budget_by_id[joining] -= 1
                emptiest = joining
            elif self._count(fullest)[0] <= max(fair_share * MAX_IMBALANCE, ceil(fair_share)):
                return
            shard = self._movable_shard(fullest)
            if shard is None or emptiest == fullest:
                return
            self._shards_by_id[fullest].remove(shard)
            self._shards_by_id[emptiest].append(shard)
            cause = MoveCause.JOIN if joining is not None else MoveCause.BALANCE
            yield PlannedMove(shard, emptiest, cause)

    def _next_joining(self, fair_share: float, budget_by_id: Mapping[str, int]) -> str | None:
        """Return the joining server that gets the next shard, or None."""
        eligible_ids: Iterable[str] = (
            name
            for name, budget in budget_by_id.items()
            if budget > 0 and len(self._shards_by_id[name]) < int(fair_share)
        )
        return min(eligible_ids, key=self._count, default=None)

    def _count(self, server_id: str) -> tuple[int, str]:
        """Return the sort key that orders servers by their number of shards, then by id."""
        return len(self._shards_by_id[server_id]), server_id

    def _movable_shard(self, server_id: str) -> int | None:
        shards = self._shards_by_id[server_id]
        return next(
            (shard for shard in reversed(shards) if shard not in self._pending_shards), None
        )
