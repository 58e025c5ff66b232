"""When keys move by load: age of the demand, rounds, and the speed of targets."""

import unittest

from damasktide.demand.messages import DemandReport, Speed, service_hash
from damasktide.keyspace.balancer import (
    MAX_DEMAND_AGE_S,
    MAX_SPEED,
    MIN_SPEED,
    REBALANCE_INTERVAL_S,
    KeyBalancer,
)
from damasktide.keyspace.key_map import KeyMap
from damasktide.keyspace.planner import plan
from damasktide.keyspace.tests.test_load_balancing import make_holders, settled, skew
from damasktide.loads.messages import incarnation_hash

SERVICE = "s"


class TestKeyBalancer(unittest.TestCase):
    def setUp(self) -> None:
        self.holders = make_holders(10)
        self.key_map = settled(plan(KeyMap(SERVICE), self.holders))
        self.balancer = KeyBalancer()
        loads = {(service_hash(SERVICE), bucket): load for bucket, load in skew(10).items()}
        self.demand = DemandReport(loads)

    def moves(self, now: float) -> bool:
        return self.balancer.assign(now, self.key_map, self.holders) is not self.key_map

    def test_rounds_are_an_interval_apart(self) -> None:
        self.balancer.set_demand(10.0, self.demand)
        self.assertFalse(self.moves(10.0))
        self.assertTrue(self.moves(10.0 + REBALANCE_INTERVAL_S))
        self.assertFalse(self.moves(10.1 + REBALANCE_INTERVAL_S))

    def test_old_demand_is_not_used(self) -> None:
        """Guards against moves by the demand of a time when this instance led before."""
        self.balancer.set_demand(10.0, self.demand)
        self.assertFalse(self.moves(10.0))
        self.assertFalse(self.moves(10.1 + MAX_DEMAND_AGE_S))

    def test_speed_needs_some_calls_and_has_bounds(self) -> None:
        for ratio, weight, low, high in (
            (2.0, 1.0, 0.8, 0.9),
            (2.0, 100.0, 0.5, 0.55),
            (100.0, 1e5, MIN_SPEED, MIN_SPEED),
            (0.01, 1e5, MAX_SPEED, MAX_SPEED),
        ):
            with self.subTest(ratio=ratio, weight=weight):
                speeds = {incarnation_hash(("t", 1)): Speed(ratio, weight)}
                self.balancer.set_demand(0.0, DemandReport({}, speeds))
                self.assertTrue(low <= self.balancer.speed(("t", 1)) <= high)
        self.assertEqual(self.balancer.speed(("unknown", 1)), 1.0)
