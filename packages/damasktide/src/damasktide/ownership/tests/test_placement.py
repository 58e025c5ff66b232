import unittest

from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.constants import MAX_CONFIRMER_SETS
from damasktide.ownership.placement import CONFIRMER_CHANGE_AFTER_S, Placement
from damasktide.ownership.shard_map import ShardMap
from damasktide.ownership.shards import ShardSpace
from damasktide.ownership.tests.fixtures import REGION_BY_DOMAIN, first_map, instance


class ChangedConfirmersTest(unittest.TestCase):
    def test_replaced_instances_do_not_grow_the_row_without_bound(self) -> None:
        """Guards against a row that grows with each replaced instance while no change settles."""
        placement = Placement(ShardSpace(2, ("north",)), "a", REGION_BY_DOMAIN)
        shard_map: ShardMap = first_map()
        now = 0.0
        for number in range(20):
            cluster_state = ClusterState((instance(f"a{number + 10}"),))
            placement.changed_confirmers(shard_map, cluster_state, now)
            now += CONFIRMER_CHANGE_AFTER_S
            changed = placement.changed_confirmers(shard_map, cluster_state, now)
            shard_map = changed or shard_map
        self.assertEqual(len(shard_map.confirmer_sets), MAX_CONFIRMER_SETS)


if __name__ == "__main__":
    unittest.main()
