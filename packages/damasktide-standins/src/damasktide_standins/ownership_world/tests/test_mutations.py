import unittest
from unittest.mock import patch

from damasktide.ownership.effects import WriteMap
from damasktide.ownership.roles import rendezvous
from damasktide_standins.ownership_world.explorer import explore
from damasktide_standins.ownership_world.history import find_violations
from damasktide_standins.ownership_world.injection_points import InjectionPoint
from damasktide_standins.ownership_world.instance import InstanceNode
from damasktide_standins.ownership_world.scenarios import settled_simulation
from damasktide_standins.ownership_world.server import ServerNode
from damasktide_standins.ownership_world.simulation import Simulation
from damasktide_standins.ownership_world.tests.mutations import mutated

SEED_BY_MUTATION = {
    "basis and term of a grant": 1,
    "expiry of a renewal lease": 1,
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
        """Guards against a checker that does not notice a disabled mechanism of the protocol."""
        for name, seed in SEED_BY_MUTATION.items():
            with self.subTest(mutation=name, seed=seed), mutated(name):
                problems = explore(seed).problems
                self.assertTrue(any("overlap" in line or "ran" in line for line in problems))

    def test_checker_reports_a_missing_version_fence(self) -> None:
        """Guards against a renewer that grants a drained shard to its old owner again.

        The renewer is partitioned from the table and its peers while the server drains, and its
        renewal lease under the older version is still valid.
        """
        self.assertEqual(violations_with_isolated_renewer(), [])
        with mutated("version fence"):
            self.assertIn("overlap", violations_with_isolated_renewer()[0])


def violations_with_isolated_renewer() -> list[str]:
    # Without long requests the drain ends while the renewer's lease is still valid.
    with patch("damasktide_standins.ownership_world.server.LONG_REQUEST_PROBABILITY", 0.0):
        simulation = settled_simulation("cocoa-commons", 2)
        server = simulation.servers[1]
        isolated_renewer = second_renewer(simulation, server)
        others = [node.name for node in simulation.instances if node is not isolated_renewer]

        def observe(point: InjectionPoint) -> None:
            effect = point.effect
            if isinstance(effect, WriteMap) and effect.shard_map.pending:
                simulation.network.partition([isolated_renewer.name], ["table", *others])

        simulation.observe(observe)
        simulation.leaving.add(server.name)
        simulation.run_until(6.5)
        return find_violations(simulation.history)


def second_renewer(simulation: Simulation, server: ServerNode) -> InstanceNode:
    node_by_id = {
        n.instance.instance_id: n for n in simulation.instances if n.domain == server.domain
    }
    return node_by_id[rendezvous(f"server/{server.name}", node_by_id)[1]]
