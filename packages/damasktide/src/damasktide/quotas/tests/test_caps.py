"""The bound of an organisation over all instances, and what is refused within the cap."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from damasktide.organisations.organisation import Organisation
from damasktide.quotas.tests.simulation import LIMITS, Instance, World, world

SMALL = Organisation("small", requests_per_s=5.0, burst=5.0)
LARGE = Organisation("large", requests_per_s=100.0, burst=50.0)
LOAD_BY_NAME = {"small": 3.0, "large": 70.0}
OVERLOAD = 7.5
FAULT_AT_S = 8.0

Fault = Callable[[World], None]


def kill_leader(simulation: World) -> None:
    simulation.kill(simulation.leader().name)


def freeze_leader(simulation: World) -> None:
    """Pause the leader, which goes on with outdated state while another one leads."""
    simulation.leader().paused_until = simulation.time.now() + 4.0


def cut_region_of_leader(simulation: World) -> None:
    """Cut the leader's region off from the other one and from the store."""
    region = simulation.leader().domain[0]

    def is_cut(one: Instance, other: Instance) -> bool:
        return one.domain[0] != other.domain[0] or (one is other and one.domain[0] == region)

    simulation.is_cut = is_cut
    simulation.time.schedule(8.0, lambda: reconnect(simulation))


def separate_regions(simulation: World) -> None:
    simulation.is_cut = lambda one, other: one.domain[0] != other.domain[0]
    simulation.time.schedule(4.0, lambda: reconnect(simulation))


def reconnect(simulation: World) -> None:
    simulation.is_cut = lambda one, other: False


def freeze_a_third(simulation: World) -> None:
    for peer in simulation.peers[4::3]:
        simulation.instance_by_name[peer.name].paused_until = simulation.time.now() + 3.0


def restart_half(simulation: World) -> None:
    for peer in simulation.peers[4::2]:
        simulation.start(peer.name)


def stop_store(simulation: World) -> None:
    simulation.store_fails_until = simulation.time.now() + 5.0


def lose_messages(simulation: World) -> None:
    simulation.loss = 0.3


class SimulationTest(unittest.TestCase):
    def run_world(
        self,
        count: int,
        fault: Fault | None = None,
        overloaded: str = "",
        overload_s: float = 6.5,
    ) -> World:
        """Run the usual load, and 7.5 times the load of one organisation during the fault."""
        until = 16.0
        with world(count, (SMALL, LARGE)) as simulation:
            for organisation in (SMALL, LARGE):
                rate = LOAD_BY_NAME[organisation.name]
                simulation.load(organisation, rate, until, tries=3)
                if organisation.name == overloaded:
                    extra = (OVERLOAD - 1.0) * rate
                    start = FAULT_AT_S - 1.0
                    add_load = partial(simulation.load, organisation, extra, start + overload_s, 3)
                    simulation.time.schedule(start, add_load)
            if fault is not None:
                simulation.time.schedule(FAULT_AT_S, lambda: fault(simulation))
            simulation.time.run(until + 2.0)
        return simulation

    def assert_within_bounds(self, simulation: World) -> None:
        for organisation in (SMALL, LARGE):
            self.assertLessEqual(
                simulation.largest_window(organisation.name), LIMITS.bound(organisation)
            )

    def refused_share(self, simulation: World, name: str) -> float:
        return simulation.refused[name] / simulation.arrived[name]


class TestCalmTimes(SimulationTest):
    def test_requests_within_the_cap_are_not_refused(self) -> None:
        """Guards against a cap that is only usable where the tokens happen to be."""
        for count in (61, 300):
            simulation = self.run_world(count)
            for name in LOAD_BY_NAME:
                self.assertLess(self.refused_share(simulation, name), 0.003)

    def test_leader_receives_a_bounded_number_of_calls(self) -> None:
        for count in (61, 300):
            simulation = self.run_world(count)
            self.assertLess(simulation.calls / 16.0, 250.0)

    def test_no_calls_without_demand(self) -> None:
        with world(61, (SMALL, LARGE)) as simulation:
            simulation.load(SMALL, 20.0, 2.0)
            simulation.time.run(20.0)
            calls = simulation.calls
            simulation.time.run(40.0)
            self.assertEqual(simulation.calls, calls)

    def test_no_calls_without_limits(self) -> None:
        with world(61, (Organisation("free"),)) as simulation:
            simulation.load(Organisation("free"), 50.0, 5.0)
            simulation.time.run(6.0)
            self.assertEqual((simulation.calls, simulation.refused.total()), (0, 0))


class TestBound(SimulationTest):
    def check_fault(
        self,
        fault: Fault | None,
        overloaded: str = "small",
        count: int = 61,
        overload_s: float = 6.5,
    ) -> None:
        simulation = self.run_world(count, fault, overloaded, overload_s)
        self.assert_within_bounds(simulation)
        self.assertGreater(simulation.refused[overloaded], 0)

    def test_overload_of_a_small_organisation(self) -> None:
        self.check_fault(None, count=300)

    def test_overload_of_a_large_organisation_does_not_affect_another_one(self) -> None:
        for count in (61, 300):
            simulation = self.run_world(count, overloaded="large")
            self.assert_within_bounds(simulation)
            self.assertLess(self.refused_share(simulation, "small"), 0.003)

    def test_overload_may_use_the_whole_cap(self) -> None:
        """Guards against tokens that are lost on the way while the cap is used up."""
        simulation = self.run_world(61, overloaded="large")
        at = simulation.admitted_at["large"]
        served = sum(FAULT_AT_S <= time < FAULT_AT_S + 5.0 for time in at)
        self.assertGreater(served, 0.95 * LARGE.requests_per_s * 5.0)

    def test_leader_killed(self) -> None:
        self.check_fault(kill_leader)

    def test_leader_killed_during_overload_of_a_large_organisation(self) -> None:
        self.check_fault(kill_leader, "large")

    def test_leader_frozen(self) -> None:
        self.check_fault(freeze_leader, "large")

    def test_region_of_the_leader_cut_off(self) -> None:
        """Guards against a new allocator that ignores the standing rates of another term."""
        self.check_fault(cut_region_of_leader, "large", overload_s=9.0)

    def test_regions_separated(self) -> None:
        self.check_fault(separate_regions)

    def test_regions_separated_during_overload_of_a_large_organisation(self) -> None:
        """Guards against handing out the part of the cap that others use at standing rates."""
        self.check_fault(separate_regions, "large", 300)

    def test_instances_frozen(self) -> None:
        self.check_fault(freeze_a_third, "large")

    def test_instances_restarted(self) -> None:
        self.check_fault(restart_half, "large")

    def test_store_unavailable(self) -> None:
        """Guards against a burst of saved tokens when the allocator returns."""
        self.check_fault(stop_store, "large", 300)

    def test_messages_lost(self) -> None:
        self.check_fault(lose_messages, "large")

    def test_lowered_cap_is_in_force_within_three_seconds(self) -> None:
        lowered = replace(LARGE, requests_per_s=30.0, burst=10.0)
        with world(61, (SMALL, LARGE)) as simulation:
            simulation.load(LARGE, 90.0, 16.0, tries=2)
            simulation.time.schedule(6.0, lambda: simulation.set_organisations((SMALL, lowered)))
            simulation.time.run(17.0)
        self.assertLessEqual(simulation.largest_window("large", 9.0), LIMITS.bound(lowered))
        self.assertLessEqual(simulation.largest_window("large"), LIMITS.bound(LARGE))


class TestService(SimulationTest):
    """What is refused within the cap while a part has failed."""

    def test_large_organisation_is_served_while_there_is_no_leader(self) -> None:
        simulation = self.run_world(61, kill_leader)
        self.assertLess(self.refused_share(simulation, "large"), 0.01)

    def test_small_organisation_is_served_soon_after_a_change_of_the_leader(self) -> None:
        """Guards against waiting for standing rates that no instance has."""
        simulation = self.run_world(61, kill_leader)
        at = simulation.admitted_at["small"]
        served = sum(FAULT_AT_S + 3.0 <= time < FAULT_AT_S + 8.0 for time in at)
        self.assertGreater(served, 10)

    def test_large_organisation_is_served_while_the_store_is_unavailable(self) -> None:
        simulation = self.run_world(61, stop_store)
        self.assertLess(self.refused_share(simulation, "large"), 0.02)
