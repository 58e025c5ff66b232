"""Selects the change of the map that an instance proposes next."""

from collections.abc import Iterator

from damasktide.ownership.moves import MoveProgress
from damasktide.ownership.placement import Placement
from damasktide.ownership.reachability import ReachabilityTracker
from damasktide.ownership.shard_map import ShardMap
from damasktide.ownership.views import View


class Proposals:
    """Selects the most urgent change of the map that one instance can propose for one service.

    Parameters
    ----------
    placement
        Computes the moves of shards and the confirmer sets.
    moves
        Tracks which pending moves and confirmer changes may complete.
    reachability
        Tracks the exchanges with the servers.
    """

    def __init__(
        self, placement: Placement, moves: MoveProgress, reachability: ReachabilityTracker
    ) -> None:
        self._placement = placement
        self._moves = moves
        self._reachability = reachability

    def next_map(self, view: View) -> ShardMap | None:
        """Return the next version of the map to propose, or None."""
        return next((proposed for proposed in self._by_urgency(view) if proposed), None)

    def _lost_ids(self, view: View) -> frozenset[str]:
        """Return the controlled servers that are presumed lost.

        The servers of a lost failure domain were last reached at slightly different times. As
        soon as the first one is suspect, the shards of all of them move in one batch, so that
        they wait for the expiry of old grants at the same time.
        """
        suspect = {one for one in view.controlled if self._reachability.is_suspect(one, view.now)}
        domain_by_id = {server.server_id: server.domain for server in view.shard_map.servers}
        if not view.is_unresponsive_domain_lost or view.unresponsive_domain not in map(
            domain_by_id.get, suspect
        ):
            return frozenset(suspect)
        unresponsive = {
            one
            for one in view.controlled
            if domain_by_id[one] == view.unresponsive_domain
            and self._reachability.is_unresponsive(one, view.now)
        }
        return frozenset(suspect | unresponsive)

    def _by_urgency(self, view: View) -> Iterator[ShardMap | None]:
        shard_map, now = view.shard_map, view.now
        # This precedes completed(): a returning server immediately accepts the grant that fences
        # it, which would complete the moves of its shards although it is available again.
        yield self._placement.returned_server_moves(
            shard_map, view.controlled, self._reachability, now
        )
        yield self._moves.completed(shard_map, view.controlled, self._reachability, now)
        yield self._placement.lost_server_moves(
            shard_map, self._lost_ids(view), self._reachability, view.cluster_state, now
        )
        if view.roles.is_confirmer_manager():
            yield self._placement.changed_confirmers(shard_map, view.cluster_state, now)
            if self._moves.is_settled(shard_map, now):
                yield self._moves.settled(shard_map)
        if view.roles.is_placer():
            yield self._placement.planned_moves(
                shard_map, self._reachability, view.cluster_state, now
            )
