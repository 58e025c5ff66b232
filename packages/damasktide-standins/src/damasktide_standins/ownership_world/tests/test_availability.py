import unittest
from dataclasses import replace

from damasktide_standins.ownership_world.history import find_violations, longest_gap_by_shard
from damasktide_standins.ownership_world.scenarios import (
    domain_at,
    isolate_domain,
    losses,
    settled_simulation,
    unavailable_s,
)
from damasktide_standins.ownership_world.simulation import SHAPE_BY_NAME, Simulation

SEEDS = (1,)
MAX_TAKEOVER_GAP_S = 2.0

# Without a takeover, a shard is idle only between two requests. Lost requests and retries through
# another instance make this gap longer.
MAX_GAP_WITHOUT_TAKEOVER_S = 1.0


def owners(simulation: Simulation) -> list[str]:
    assert simulation.table.row is not None
    row = simulation.table.row
    return [row.servers[index].server_id for index in row.owners]


class AvailabilityTest(unittest.TestCase):
    def assert_served_again(self, loss: str, bound_s: float) -> None:
        for shape in SHAPE_BY_NAME:
            for seed in SEEDS:
                with self.subTest(loss=loss, shape=shape, seed=seed):
                    simulation = settled_simulation(shape, seed)
                    self.assertLessEqual(unavailable_s(simulation, losses.get(loss)), bound_s)
                    self.assertEqual(find_violations(simulation.history), [])

    def test_lost_server(self) -> None:
        """Guards against a takeover from a lost server that takes longer than 2 s."""
        self.assert_served_again("server near the table", MAX_TAKEOVER_GAP_S)
        self.assert_served_again("server far from the table", MAX_TAKEOVER_GAP_S)

    def test_lost_domain(self) -> None:
        """Guards against a takeover that waits for membership to report the lost domain."""
        self.assert_served_again("domain near the table", MAX_TAKEOVER_GAP_S)
        self.assert_served_again("domain far from the table", MAX_TAKEOVER_GAP_S)

    def test_lost_instance(self) -> None:
        """Guards against servers that stop serving because one renewer is lost."""
        self.assert_served_again("instance", MAX_GAP_WITHOUT_TAKEOVER_S)
        self.assert_served_again("instance frozen", MAX_GAP_WITHOUT_TAKEOVER_S)

    def test_isolated_domain(self) -> None:
        """Guards against an isolated domain that keeps serving with yield or stops with hold."""
        for policy, is_serving in (("yield", False), ("hold", True)):
            with self.subTest(policy=policy):
                simulation = settled_simulation("cocoa-commons", 1, policy)
                domain = domain_at(simulation, 0)
                isolate_domain(simulation, domain)
                simulation.run_until(simulation.queue.now + 5)
                served = {
                    execution.server
                    for execution in simulation.history.executions
                    if execution.start > simulation.queue.now - 3
                }
                inside = {server.name for server in simulation.servers if server.domain == domain}
                self.assertEqual(bool(served & inside), is_serving)
                self.assertEqual(find_violations(simulation.history), [])

    def test_partition_between_domain_and_witness(self) -> None:
        """Guards against moving the keys of a domain that only its witness domain cannot reach."""
        simulation = settled_simulation("cocoa-commons", 1)
        before = owners(simulation)
        first, second = (
            [n.name for n in simulation.nodes_in(domain_at(simulation, i))] for i in (0, 1)
        )
        simulation.network.partition(first, second)
        simulation.run_until(simulation.queue.now + 10)
        self.assertEqual(owners(simulation), before)
        self.assertEqual(find_violations(simulation.history), [])

    def test_ten_minutes_without_table(self) -> None:
        """Guards against renewal leases that end while only the table is down.

        An instance is restarted meanwhile and has to learn the map from its peers.
        """
        sparse = replace(SHAPE_BY_NAME["cocoa-commons"], request_interval_s=2.0)
        simulation = Simulation(sparse, 1)
        simulation.run_until(3.0)
        simulation.table.is_down = True
        simulation.queue.after(100, simulation.instances[0].kill)
        simulation.queue.after(101, simulation.instances[0].restart)
        simulation.run_until(603.0)
        gaps = longest_gap_by_shard(simulation.history, 48, 3.0, 603.0)
        self.assertLess(max(gaps.values()), 2 * 2.0 + MAX_GAP_WITHOUT_TAKEOVER_S)
        self.assertEqual(find_violations(simulation.history), [])
        self.assertIsNotNone(simulation.instances[0].ownership.shard_map)
