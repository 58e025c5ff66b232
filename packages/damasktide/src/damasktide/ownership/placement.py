"""Proposes the next map: first placement, lost servers, planned moves and confirmers."""

from collections.abc import Iterator, Mapping, Set
from dataclasses import replace

from damasktide.balancing.targets import Target
from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.constants import MAX_CONFIRMER_SETS, MAX_CONFIRMERS_PER_DOMAIN
from damasktide.ownership.planner import Candidates, plan_moves
from damasktide.ownership.reachability import ReachabilityTracker
from damasktide.ownership.shard_map import (
    NO_OWNER,
    MoveCause,
    OwnerServer,
    ShardMap,
    with_confirmers,
    with_moves,
)
from damasktide.ownership.shards import ShardSpace

# A server must respond for this long without a gap before it gets its first shards.
JOIN_AFTER_S = 1.0

# Pause between planned batches, so that joining servers can warm up.
PLAN_INTERVAL_S = 2.0

# A confirmer must be missing or present for this long before the set changes.
CONFIRMER_CHANGE_AFTER_S = 2.0

_DRAIN_CAUSES = frozenset({MoveCause.LEAVING, MoveCause.DOMAIN_OUT})


class Placement:
    """Computes proposals for one service.

    Parameters
    ----------
    space
        Mapping of keys to shards.
    domain
        Failure domain of this instance.
    region_by_domain
        Region of each failure domain.
    """

    def __init__(
        self, space: ShardSpace, domain: str, region_by_domain: Mapping[str, str]
    ) -> None:
        self._space = space
        self._domain = domain
        self._region_by_domain = region_by_domain
        self._last_plan_at = float("-inf")
        self._confirmers_differ_since: float | None = None

    def known_servers(
        self, shard_map: ShardMap, targets: tuple[Target, ...]
    ) -> Iterator[OwnerServer]:
        """Yield the servers of the map and of the live list."""
        yield from shard_map.servers
        mapped_ids = {server.server_id for server in shard_map.servers}
        yield from (_owner_server(t) for t in targets if t.server_id not in mapped_ids)

    def first_map(self, service: str, cluster_state: ClusterState) -> ShardMap | None:
        """Return version 1 with all shards placed, or None while no server is usable."""
        usable_by_id = _usable_by_id(cluster_state)
        if not usable_by_id:
            return None
        empty = ShardMap(service, 0, (), (NO_OWNER,) * self._space.shards)
        plan = plan_moves(empty, self._space, Candidates(usable_by_id, {}))
        placed = with_moves(empty, (m.as_tuple() for m in plan), usable_by_id.values())
        ids_by_domain = _confirmer_ids(cluster_state, self._region_by_domain, {})
        confirmed = with_confirmers(placed, ids_by_domain, self._region_by_domain)
        return _at_version(confirmed, 1)

    def returned_server_moves(
        self,
        shard_map: ShardMap,
        controlled: Set[str],
        reachability: ReachabilityTracker,
        now: float,
    ) -> ShardMap | None:
        """Return the map in which lost servers that respond again keep their shards, or None."""
        returned = [
            (move.shard, move.old_owner, move.cause)
            for move in shard_map.pending
            if move.cause is MoveCause.LOST
            and move.old_owner in controlled
            and (contact := reachability.get(move.old_owner)) is not None
            and contact.is_reached(now)
        ]
        return with_moves(shard_map, returned, ()) if returned else None

    def lost_server_moves(
        self,
        shard_map: ShardMap,
        lost: Set[str],
        reachability: ReachabilityTracker,
        cluster_state: ClusterState,
        now: float,
    ) -> ShardMap | None:
        """Return the map in which the shards of lost servers are moving, or None."""
        if not lost:
            return None
        usable_by_id = self._safe_new_owners(shard_map, reachability, cluster_state, lost, now)
        candidates = Candidates(usable_by_id, dict.fromkeys(lost, MoveCause.LOST))
        plan = plan_moves(shard_map, self._space, candidates)
        moves = [move.as_tuple() for move in plan if move.cause is MoveCause.LOST]
        return with_moves(shard_map, moves, usable_by_id.values()) if moves else None

    def planned_moves(
        self,
        shard_map: ShardMap,
        reachability: ReachabilityTracker,
        cluster_state: ClusterState,
        now: float,
    ) -> ShardMap | None:
        """Return the map with the next batch of planned moves, or None.

        Moves from lost servers may stay pending for ``MAX_STORELESS_RENEWAL_S``. Meanwhile shards
        still move away from leaving servers and from domains out of service, but none moves for
        balance, because the lost servers may return.
        """
        pending_causes = {move.cause for move in shard_map.pending}
        is_planned_pending = bool(pending_causes - {MoveCause.LOST})
        if now - self._last_plan_at < PLAN_INTERVAL_S or is_planned_pending:
            return None
        cause_by_id = _unusable_causes(cluster_state)
        usable_by_id = {
            server_id: server
            for server_id, server in _usable_by_id(cluster_state).items()
            if _owns_shards(shard_map, server_id) or _has_joined(reachability, server_id, now)
        }
        plan = plan_moves(shard_map, self._space, Candidates(usable_by_id, cause_by_id))
        if pending_causes:
            plan = tuple(move for move in plan if move.cause in _DRAIN_CAUSES)
        if not plan:
            return None
        self._last_plan_at = now
        return with_moves(shard_map, (m.as_tuple() for m in plan), usable_by_id.values())

    def changed_confirmers(
        self, shard_map: ShardMap, cluster_state: ClusterState, now: float
    ) -> ShardMap | None:
        """Return the map with a changed confirmer set for this failure domain, or None.

        The set changes only after the difference has lasted for ``CONFIRMER_CHANGE_AFTER_S``,
        because each change has to be settled afterwards.
        """
        current = shard_map.confirmers
        desired = _confirmer_ids(cluster_state, self._region_by_domain, current.ids_by_domain)
        own_ids = desired.get(self._domain, ())
        is_full = len(shard_map.confirmer_sets) >= MAX_CONFIRMER_SETS
        if is_full or frozenset(own_ids) == current.own_ids(self._domain):
            self._confirmers_differ_since = None
            return None
        if self._confirmers_differ_since is None:
            self._confirmers_differ_since = now
        if now - self._confirmers_differ_since < CONFIRMER_CHANGE_AFTER_S:
            return None
        self._confirmers_differ_since = None
        ids_by_domain = {**current.ids_by_domain, self._domain: own_ids}
        return with_confirmers(shard_map, ids_by_domain, self._region_by_domain)

    def _safe_new_owners(
        self,
        shard_map: ShardMap,
        reachability: ReachabilityTracker,
        cluster_state: ClusterState,
        lost: Set[str],
        now: float,
    ) -> dict[str, OwnerServer]:
        """Return the servers that may get shards of a lost server.

        Servers in failure domains without a live instance are excluded, because they are
        probably lost as well, and so are servers from which shards are already moving.
        """
        moving_ids = {move.old_owner for move in shard_map.pending}
        live_domains = {instance.domain for instance in cluster_state.alive}
        return {
            server_id: server
            for server_id, server in _usable_by_id(cluster_state).items()
            if server_id not in lost
            and server_id not in moving_ids
            and server.domain in live_domains
            and (_owns_shards(shard_map, server_id) or _has_joined(reachability, server_id, now))
            and not reachability.is_suspect(server_id, now)
        }


def _usable_by_id(cluster_state: ClusterState) -> dict[str, OwnerServer]:
    return {
        target.server_id: _owner_server(target)
        for target in cluster_state.targets
        if not target.leaving and target.domain not in cluster_state.domains_out
    }


def _unusable_causes(cluster_state: ClusterState) -> dict[str, MoveCause]:
    out = (t for t in cluster_state.targets if t.domain in cluster_state.domains_out)
    cause_by_id = {target.server_id: MoveCause.DOMAIN_OUT for target in out}
    leaving = (target for target in cluster_state.targets if target.leaving)
    return cause_by_id | {target.server_id: MoveCause.LEAVING for target in leaving}


def _owns_shards(shard_map: ShardMap, server_id: str) -> bool:
    return server_id in shard_map.server_by_id()


def _has_joined(reachability: ReachabilityTracker, server_id: str, now: float) -> bool:
    contact = reachability.get(server_id)
    return (
        contact is not None
        and contact.is_reached(now)
        and now - contact.reached_since >= JOIN_AFTER_S
    )


def _owner_server(target: Target) -> OwnerServer:
    return OwnerServer(target.server_id, target.domain, target.region, target.host, target.port)


def _confirmer_ids(
    cluster_state: ClusterState,
    region_by_domain: Mapping[str, str],
    current: Mapping[str, tuple[str, ...]],
) -> dict[str, tuple[str, ...]]:
    """Return the live instances to use as confirmers of each domain, current ones first."""
    ids_by_domain: dict[str, tuple[str, ...]] = {}
    for domain in region_by_domain:
        alive = sorted(i.instance_id for i in cluster_state.alive if i.domain == domain)
        kept = [name for name in current.get(domain, ()) if name in alive]
        added = [name for name in alive if name not in kept]
        ids_by_domain[domain] = tuple((kept + added)[:MAX_CONFIRMERS_PER_DOMAIN])
    return ids_by_domain


def _at_version(shard_map: ShardMap, version: int) -> ShardMap:
    sets = tuple(replace(s, since_version=version) for s in shard_map.confirmer_sets)
    return replace(shard_map, version=version, confirmer_sets=sets)
