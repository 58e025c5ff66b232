import unittest
from dataclasses import replace

from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.moves import MoveProgress
from damasktide.ownership.placement import Placement
from damasktide.ownership.proposals import Proposals
from damasktide.ownership.reachability import ReachabilityTracker
from damasktide.ownership.roles import Roles
from damasktide.ownership.shard_map import MoveCause, ShardMap, with_moves
from damasktide.ownership.shards import ShardSpace
from damasktide.ownership.tests.fixtures import (
    NEW,
    OLD,
    REGION_BY_DOMAIN,
    first_map,
    instance,
    server_reply,
    target,
)
from damasktide.ownership.views import View


class ProposalsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reachability = ReachabilityTracker()
        self.reachability.watch({"old": 0.0, "new": 0.0})
        self.moves = MoveProgress("yield", None)
        placement = Placement(ShardSpace(2, ("north",)), "a", REGION_BY_DOMAIN)
        self.proposals = Proposals(placement, self.moves, self.reachability)

    def next_map(self, shard_map: ShardMap, is_leaving: bool, now: float) -> ShardMap | None:
        alive = (instance("a1"),)
        targets = (replace(target(OLD), leaving=is_leaving), target(NEW))
        cluster_state = ClusterState(alive, targets)
        roles = Roles("a1", "a", "desk", alive)
        self.moves.on_new_map(shard_map, "a1", now)
        return self.proposals.next_map(View(shard_map, roles, {"old"}, cluster_state, now))

    def test_returned_server_keeps_its_shards(self) -> None:
        """Guards against moving shards of a lost server that responds again in time.

        On its return the server accepts the grant that fences it, which would complete the moves.
        """
        pending = with_moves(first_map(), [(0, "new", MoveCause.LOST)], [NEW])
        self.reachability.record_reply("old", server_reply(version=pending.version), 1.0)
        proposed = self.next_map(pending, False, 1.0)
        assert proposed is not None
        self.assertEqual((proposed.pending, proposed.owners), ((), (0, 0)))

    def test_leaving_server_drains_while_another_is_lost(self) -> None:
        """Guards against a leaving server that waits up to 15 min for the moves of a lost one."""
        both_own = replace(first_map(), servers=(NEW, OLD), owners=(0, 1))
        pending = with_moves(both_own, [(0, "old", MoveCause.LOST)], [])
        third = replace(NEW, server_id="third")
        cluster_state = ClusterState(
            (instance("a1"),), (replace(target(OLD), leaving=True), target(third))
        )
        placement = Placement(ShardSpace(2, ("north",)), "a", REGION_BY_DOMAIN)
        self.reachability.watch({"third": 0.0})
        for now in (1.0, 1.3, 1.6, 1.9, 2.2):
            self.reachability.record_reply("third", server_reply(), now)
        planned = placement.planned_moves(pending, self.reachability, cluster_state, 2.3)
        assert planned is not None
        self.assertEqual(
            [(m.old_owner, m.new_owner) for m in planned.pending],
            [("new", "third"), ("old", "third")],
        )
