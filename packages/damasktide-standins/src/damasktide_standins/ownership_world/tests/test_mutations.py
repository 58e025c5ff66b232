import unittest
from unittest.mock import patch

from damasktide.ownership.effects import WriteMap
from damasktide.ownership.roles import rendezvous
from damasktide_standins.ownership_world.explorer import explore
from damasktide_standins.ownership_world.history import faults_of
from damasktide_standins.ownership_world.instance import InstanceNode
from damasktide_standins.ownership_world.moments import Moment
from damasktide_standins.ownership_world.scenarios import settled_world
from damasktide_standins.ownership_world.server import ServerNode
from damasktide_standins.ownership_world.tests.mutations import mutated
from damasktide_standins.ownership_world.world import World

SEED_BY_MUTATION = {
    "basis and term of a grant": 1,
    "expiry of a right": 1,
    "wait of R + G": 1,
    "acknowledgements that block": 5,
    "witness in the quorum": 1,
    "conditional write": 20,
    "draining": 1,
    "commit check": 5,
    "fence of a reachable owner": 1,
}


class MutationTest(unittest.TestCase):
    def test_checker_reports_each_missing_mechanism(self) -> None:
        """Guards against a matrix that holds although a mechanism does nothing."""
        for name, seed in SEED_BY_MUTATION.items():
            with self.subTest(mutation=name, seed=seed), mutated(name):
                problems = explore(seed).problems
                self.assertTrue(any("overlap" in line or "ran" in line for line in problems))

    def test_checker_reports_a_missing_version_fence(self) -> None:
        """Guards against a renewer that gives a drained shard back to its old owner.

        The renewer is cut off from the table and its peers while the server drains, and its
        right under the older version still lasts.
        """
        self.assertEqual(drain_with_late_renewer(), [])
        with mutated("version fence"):
            self.assertIn("overlap", drain_with_late_renewer()[0])


def drain_with_late_renewer() -> list[str]:
    # Without long requests the drain ends while the right of the renewer still lasts.
    with patch("damasktide_standins.ownership_world.server.LONG_SHARE", 0.0):
        world = settled_world("cocoa-commons", 2)
        server = world.servers[1]
        late = second_renewer(world, server)
        others = [node.name for node in world.instances if node is not late]

        def observe(moment: Moment) -> None:
            effect = moment.effect
            if isinstance(effect, WriteMap) and effect.shard_map.pending:
                world.network.cut([late.name], ["table", *others])

        world.observe(observe)
        world.leaving.add(server.name)
        world.run_until(6.5)
        return faults_of(world.history)


def second_renewer(world: World, server: ServerNode) -> InstanceNode:
    nodes = {n.instance.instance_id: n for n in world.instances if n.domain == server.domain}
    return nodes[rendezvous(f"server/{server.name}", nodes)[1]]
