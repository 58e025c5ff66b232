import unittest
from dataclasses import replace

from damasktide_standins.ownership_world.history import faults_of, longest_gap_by_shard
from damasktide_standins.ownership_world.scenarios import (
    cut_off,
    domain_at,
    losses,
    settled_world,
    unavailable_s,
)
from damasktide_standins.ownership_world.world import SHAPE_BY_NAME, World

SEEDS = (1,)
SERVED_AGAIN_S = 2.0

# While nothing stops, a shard is idle only between two requests; retries through another
# instance and a lost request make this longer, but not a takeover.
NOTHING_STOPS_S = 1.0


def owners(world: World) -> list[str]:
    assert world.table.row is not None
    row = world.table.row
    return [row.servers[index].server_id for index in row.owners]


class AvailabilityTest(unittest.TestCase):
    def assert_served_again(self, loss: str, bound_s: float) -> None:
        for shape in SHAPE_BY_NAME:
            for seed in SEEDS:
                with self.subTest(loss=loss, shape=shape, seed=seed):
                    world = settled_world(shape, seed)
                    self.assertLessEqual(unavailable_s(world, losses.get(loss)), bound_s)
                    self.assertEqual(faults_of(world.history), [])

    def test_lost_server(self) -> None:
        """Guards against a takeover of a lost server that takes longer than 2 s."""
        self.assert_served_again("server near the table", SERVED_AGAIN_S)
        self.assert_served_again("server far from the table", SERVED_AGAIN_S)

    def test_lost_domain(self) -> None:
        """Guards against a takeover that waits until membership reports the domain."""
        self.assert_served_again("domain near the table", SERVED_AGAIN_S)
        self.assert_served_again("domain far from the table", SERVED_AGAIN_S)

    def test_lost_instance(self) -> None:
        """Guards against servers that stop because one renewer is gone."""
        self.assert_served_again("instance", NOTHING_STOPS_S)
        self.assert_served_again("instance frozen", NOTHING_STOPS_S)

    def test_isolated_domain(self) -> None:
        """Guards against a cut-off domain that goes on with yield or stops with hold."""
        for policy, is_serving in (("yield", False), ("hold", True)):
            with self.subTest(policy=policy):
                world = settled_world("cocoa-commons", 1, policy)
                domain = domain_at(world, 0)
                cut_off(world, domain)
                world.run_until(world.queue.now + 5)
                served = {
                    item.server
                    for item in world.history.executions
                    if item.start > world.queue.now - 3
                }
                inside = {server.name for server in world.servers if server.domain == domain}
                self.assertEqual(bool(served & inside), is_serving)
                self.assertEqual(faults_of(world.history), [])

    def test_partition_between_domain_and_witness(self) -> None:
        """Guards against a guard that moves the keys of a domain only it cannot reach."""
        world = settled_world("cocoa-commons", 1)
        before = owners(world)
        first, second = ([n.name for n in world.nodes_in(domain_at(world, i))] for i in (0, 1))
        world.network.cut(first, second)
        world.run_until(world.queue.now + 10)
        self.assertEqual(owners(world), before)
        self.assertEqual(faults_of(world.history), [])

    def test_ten_minutes_without_table(self) -> None:
        """Guards against rights that end while only the table is down.

        An instance is replaced meanwhile, and a replacement has to learn the map from peers.
        """
        sparse = replace(SHAPE_BY_NAME["cocoa-commons"], request_interval_s=2.0)
        world = World(sparse, 1)
        world.run_until(3.0)
        world.table.is_down = True
        world.queue.after(100, world.instances[0].kill)
        world.queue.after(101, world.instances[0].restart)
        world.run_until(603.0)
        gaps = longest_gap_by_shard(world.history, 48, 3.0, 603.0)
        self.assertLess(max(gaps.values()), 2 * 2.0 + NOTHING_STOPS_S)
        self.assertEqual(faults_of(world.history), [])
        self.assertIsNotNone(world.instances[0].ownership.shard_map)
