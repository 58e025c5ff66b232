import unittest
from dataclasses import replace

from damasktide.ownership.moves import MoveProgress
from damasktide.ownership.reachability import ReachabilityTracker
from damasktide.ownership.shard_map import (
    MoveCause,
    OwnerServer,
    ShardMap,
    with_confirmers,
    with_moves,
    with_settled_confirmers,
)

REGION_BY_DOMAIN = {"a": "north", "b": "north", "c": "south", "d": "south"}
CONFIRMERS = {"a": ("a1", "a2"), "b": ("b1", "b2"), "c": ("c1",), "d": ("d1",)}
OLD = OwnerServer("old", "a", "north", "", 0)
NEW = OwnerServer("new", "b", "north", "", 0)


def first_map() -> ShardMap:
    bare = ShardMap("desk", 0, (OLD,), (0, 0))
    return with_confirmers(bare, CONFIRMERS, REGION_BY_DOMAIN)


class MoveProgressTest(unittest.TestCase):
    def test_settled_confirmers_still_have_to_be_blocked(self) -> None:
        """Guards against a grant expiry proof without any acknowledgement.

        The confirmers of an unrelated failure domain change while a move is pending. Settling
        that change proves nothing about renewal leases for the old owner's failure domain.
        """
        pending = with_moves(first_map(), [(0, "new", MoveCause.LOST)], [NEW])
        changed = with_confirmers(pending, {**CONFIRMERS, "c": ("c2",)}, REGION_BY_DOMAIN)
        settled = with_settled_confirmers(changed)
        progress = MoveProgress("yield", None)
        progress.on_new_map(settled, "d1", 0.0)
        self.assertEqual(progress.missing_acks(settled, {"old"}), {"a1", "a2", "b1", "b2"})
        self.assertIsNone(progress.completed(settled, {"old"}, ReachabilityTracker(), 10.0))

    def test_acknowledgements_after_settling_complete_a_move(self) -> None:
        """Guards against a move that can never complete once a confirmer change is settled."""
        pending = with_moves(first_map(), [(0, "new", MoveCause.LOST)], [NEW])
        changed = with_confirmers(pending, {**CONFIRMERS, "c": ("c2",)}, REGION_BY_DOMAIN)
        settled = with_settled_confirmers(changed)
        progress = MoveProgress("yield", None)
        progress.on_new_map(settled, "d1", 0.0)
        for confirmer_id in ("b1", "b2"):
            progress.record_ack(confirmer_id, settled.version, 0.1)
        completed = progress.completed(settled, {"old"}, ReachabilityTracker(), 1.3)
        self.assertEqual(completed, replace(settled, version=5, pending=()))
