"""Seeded faults of targets, instances and the store: no two live targets hold the same key."""

import unittest
from collections.abc import Callable, Sequence
from random import Random
from unittest.mock import patch

from damasktide.demand.messages import BUCKET_KEYS, DemandReport, service_hash
from damasktide.keyspace import leadership
from damasktide.keyspace.assignment_controller import (
    HOLD_S,
    MAP_WRITE_RETRY_S,
    AssignmentController,
)
from damasktide.keyspace.grant_expiry import GrantExpiryTracker
from damasktide.keyspace.key_map import KEY_COUNT, Incarnation, KeyRange
from damasktide.keyspace.leadership import LEADER_RENEWAL_LEASE_S, Leadership
from damasktide.keyspace.messages import Grant, Release
from damasktide.keyspace.path_delay import (
    CONGESTED_ARRIVAL_DELAY_S,
    MAX_ARRIVAL_DELAY_S,
    PathDelay,
)
from damasktide.keyspace.tests.simulation import (
    GRANT_TIMEOUT_S,
    POLL_INTERVAL_S,
    SERVICE,
    SLOW_CLOCK_FACTOR,
    Instance,
    Simulation,
    Target,
)
from damasktide.runtime.registry import Registry

SEEDS = range(60)
FAULT_PERIOD_S = 40.0
RECOVERY_S = 25.0
# Once all faults have ended, every key must be held again.
FULLY_SERVED = 0.999

faults: Registry[str, Callable[[Simulation], None]] = Registry("fault")


def new_simulation(seed: int, instances: int = 3, targets: int = 5) -> Simulation:
    simulation = Simulation(Random(seed))
    for number in range(targets):
        simulation.targets[f"t{number}"] = Target(simulation, f"t{number}")
    for number in range(instances):
        simulation.instances[f"i{number}"] = Instance(simulation, f"i{number}")
    simulation.run(4.0)
    return simulation


def shares_over(simulation: Simulation, seconds: float) -> list[tuple[float, float]]:
    """Advance the time; return the length in seconds and the share of served keys of each step."""
    shares = []
    end = simulation.now + seconds
    while simulation.now < end:
        before = simulation.now
        simulation.run(0.5)
        shares.append((simulation.now - before, simulation.served_share()))
    return shares


def any_target(simulation: Simulation) -> Target:
    return simulation.rng.choice(list(simulation.targets.values()))


def leader(simulation: Simulation) -> Instance:
    """Return a leader, or any instance while there is none."""
    leaders = [
        instance
        for instance in simulation.instances.values()
        if instance.assignment_controller.leadership.is_leader
    ]
    return simulation.rng.choice(leaders or list(simulation.instances.values()))


@faults.register("crash")
def crash(simulation: Simulation) -> None:
    target = any_target(simulation)
    target.crash()
    simulation.schedule(simulation.rng.uniform(0.1, 6.0), target.restart)


@faults.register("dark")
def make_target_unresponsive(simulation: Simulation) -> None:
    target = any_target(simulation)
    target.is_unresponsive = True
    simulation.schedule(
        simulation.rng.uniform(1.0, 8.0), lambda: setattr(target, "is_unresponsive", False)
    )


@faults.register("cut_target")
def isolate_target_from_store(simulation: Simulation) -> None:
    target = any_target(simulation)
    target.is_cut_from_store = True
    simulation.schedule(
        simulation.rng.uniform(1.0, 10.0), lambda: setattr(target, "is_cut_from_store", False)
    )


@faults.register("drain")
def drain(simulation: Simulation) -> None:
    target = any_target(simulation)
    target.is_draining = True

    def rejoin() -> None:
        target.crash()
        target.is_draining = False
        target.restart()

    simulation.schedule(3.0, rejoin)


@faults.register("stop_listening")
def stop_listening(simulation: Simulation) -> None:
    """Let a target leave without notice: it accepts no connections but finishes its work."""
    target = any_target(simulation)
    target.is_listening = False

    def rejoin() -> None:
        target.crash()
        target.is_listening = True
        target.restart()

    simulation.schedule(simulation.rng.uniform(1.0, 6.0), rejoin)


@faults.register("kill_leader")
def kill_leader(simulation: Simulation) -> None:
    instance = leader(simulation)
    instance.is_up = False
    simulation.schedule(simulation.rng.uniform(0.5, 5.0), instance.start)


def stop_leader(simulation: Simulation) -> None:
    """Let the leader resign and end some seconds later, as in a planned stop."""
    instance = leader(simulation)
    instance.resign()
    ends_after_s = simulation.rng.uniform(0.5, 5.0)
    simulation.schedule(ends_after_s, lambda: setattr(instance, "is_up", False))
    simulation.schedule(ends_after_s + simulation.rng.uniform(0.1, 2.0), instance.start)


@faults.register("freeze_leader")
def pause_leader(simulation: Simulation) -> None:
    leader(simulation).paused_until = simulation.now + simulation.rng.uniform(0.5, 20.0)


@faults.register("cut_leader")
def isolate_leader_from_store(simulation: Simulation) -> None:
    instance = leader(simulation)
    instance.is_cut_from_store = True
    simulation.schedule(
        simulation.rng.uniform(1.0, 20.0), lambda: setattr(instance, "is_cut_from_store", False)
    )


@faults.register("store_down")
def store_down(simulation: Simulation) -> None:
    simulation.store.is_up = False
    simulation.schedule(
        simulation.rng.uniform(1.0, 9.0), lambda: setattr(simulation.store, "is_up", True)
    )


@faults.register("leader_loses_target")
def leader_loses_target(simulation: Simulation) -> None:
    instance, target = leader(simulation), any_target(simulation)
    instance.unreachable.add(target.name)
    simulation.schedule(
        simulation.rng.uniform(1.0, 8.0), lambda: instance.unreachable.discard(target.name)
    )


@faults.register("late")
def deliver_late(simulation: Simulation) -> None:
    simulation.late_delivery_rate = 0.3
    simulation.schedule(
        simulation.rng.uniform(1.0, 6.0), lambda: setattr(simulation, "late_delivery_rate", 0.0)
    )


def shift_demand(simulation: Simulation) -> None:
    """Make keys at a random place busy, so that the leader moves some of them."""
    rng = simulation.rng
    center = rng.randrange(KEY_COUNT // BUCKET_KEYS)
    loads = dict.fromkeys(range(0, KEY_COUNT // BUCKET_KEYS, 16), 0.04)
    for _ in range(30):
        bucket = min(KEY_COUNT // BUCKET_KEYS - 1, max(0, center + rng.randrange(-40, 40)))
        loads[bucket] = loads.get(bucket, 0.0) + rng.uniform(0.1, 0.6)
    service = service_hash(SERVICE)
    simulation.demand = DemandReport({(service, bucket): load for bucket, load in loads.items()})


def run_with_faults(
    seed: int, more_faults: Sequence[Callable[[Simulation], None]] = ()
) -> Simulation:
    simulation = new_simulation(seed)
    actions = [*(faults.get(name) for name in faults), *more_faults]
    while simulation.now < FAULT_PERIOD_S:
        simulation.rng.choice(actions)(simulation)
        simulation.run(simulation.rng.uniform(0.2, 4.0))
    simulation.run(RECOVERY_S)
    return simulation


class TestOneOwner(unittest.TestCase):
    def test_calm_start_serves_every_key(self) -> None:
        simulation = new_simulation(1)
        self.assertGreaterEqual(simulation.served_share(), FULLY_SERVED)
        self.assertEqual(simulation.violations, [])

    def test_seeded_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = run_with_faults(seed)
                self.assertEqual(simulation.violations[:3], [])
                self.assertGreaterEqual(simulation.served_share(), FULLY_SERVED)

    def test_seeded_faults_and_planned_stops(self) -> None:
        """Guards against a leader that resigned and its successor acting at the same time."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = run_with_faults(seed, (stop_leader, stop_leader))
                self.assertEqual(simulation.violations[:3], [])
                self.assertGreaterEqual(simulation.served_share(), FULLY_SERVED)

    def test_seeded_faults_while_keys_move_by_load(self) -> None:
        """Guards against moves by load that overtake each other or the moves after a loss."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = run_with_faults(seed, (shift_demand,) * 6)
                self.assertEqual(simulation.violations[:3], [])
                self.assertGreaterEqual(simulation.served_share(), FULLY_SERVED)

    def test_busy_keys_move_and_are_served(self) -> None:
        simulation = new_simulation(1)
        shift_demand(simulation)
        shares = [share for _, share in shares_over(simulation, 8.0)]
        key_map = leader(simulation).assignment_controller.map_by_service[SERVICE]
        self.assertGreater(len(key_map.ranges), len(simulation.targets))
        # A move takes the keys of a few buckets out of service for a moment.
        self.assertGreaterEqual(min(shares), 0.9)
        self.assertGreaterEqual(shares[-1], FULLY_SERVED)

    def test_keys_stay_held_while_a_leader_resigns(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                simulation = new_simulation(seed)
                leader(simulation).resign()
                shares = [share for _, share in shares_over(simulation, 4.0)]
                self.assertGreaterEqual(min(shares), FULLY_SERVED)

    def test_lost_target_is_replaced_within_two_seconds(self) -> None:
        simulation = new_simulation(2)
        any_target(simulation).crash()
        simulation.run(2.0)
        self.assertGreaterEqual(simulation.served_share(), FULLY_SERVED)

    def test_keys_of_a_permanently_unresponsive_target_move(self) -> None:
        simulation = new_simulation(6)
        unresponsive = any_target(simulation)
        unresponsive.is_unresponsive = True
        simulation.run(6.0)
        held = sum(hold.last - hold.first + 1 for hold in unresponsive.live_holds())
        self.assertEqual(held, 0)
        self.assertGreaterEqual(simulation.served_share(), FULLY_SERVED)

    def test_keys_do_not_return_to_an_unresponsive_target_every_few_seconds(self) -> None:
        """Guards against a fifth of the keys being unserved for 2.5 s of every 5 s.

        Keys return to the target twice within the 20 s: 4 s after the first loss, and 8 s after
        the second.
        """
        simulation = new_simulation(6)
        any_target(simulation).is_unresponsive = True
        simulation.run(4.5)
        shares = shares_over(simulation, 20.0)
        unserved_s = sum(seconds for seconds, share in shares if share < FULLY_SERVED)
        # An attempt leaves the keys unserved until its grant and a barrier have timed out, the
        # hold and the arrival delay have passed, and two polls of the store have settled the move.
        attempt_s = (
            2 * GRANT_TIMEOUT_S
            + SLOW_CLOCK_FACTOR * HOLD_S
            + MAX_ARRIVAL_DELAY_S
            + 2 * POLL_INTERVAL_S
        )
        self.assertLessEqual(unserved_s, 2 * attempt_s)

    def test_keys_of_an_unresponsive_target_behind_a_congested_link_move(self) -> None:
        """Guards against barriers that may arrive late and so postpone each other's expiry.

        The move may take as long as behind an idle link plus the longer arrival delay.
        """
        simulation = new_simulation(6)
        longest_s = 6.0 + CONGESTED_ARRIVAL_DELAY_S - MAX_ARRIVAL_DELAY_S
        with patch.object(
            PathDelay, "max_arrival_delay_s", return_value=CONGESTED_ARRIVAL_DELAY_S
        ):
            unresponsive = any_target(simulation)
            unresponsive.is_unresponsive = True
            shares = [share for _, share in shares_over(simulation, longest_s)]
        self.assertEqual(simulation.violations, [])
        self.assertGreaterEqual(max(shares[4:]), FULLY_SERVED)

    def test_renewals_continue_during_an_outage_of_the_store(self) -> None:
        simulation = new_simulation(3)
        simulation.store.is_up = False
        simulation.run(12.0)
        self.assertGreaterEqual(simulation.served_share(), FULLY_SERVED)

    def test_map_writes_pause_while_the_store_refuses_calls(self) -> None:
        """Guards against a leader that calls a refusing store a hundred times a second.

        Seen on hlw-match scale-1: 113 calls a second for nine seconds.
        """
        simulation = new_simulation(3)
        simulation.store.is_up = False
        simulation.store.refusal_s = 0.005
        any_target(simulation).crash()
        simulation.run(5.0)
        self.assertLessEqual(simulation.store.refused_map_writes, 5.0 / MAP_WRITE_RETRY_S + 1)

    def test_killed_leader_is_replaced_before_holds_end(self) -> None:
        simulation = new_simulation(4)
        leader(simulation).is_up = False
        simulation.run(3.5)
        self.assertGreaterEqual(simulation.served_share(), FULLY_SERVED)


class TestMutations(unittest.TestCase):
    """Each mechanism is needed: with it disabled, some seed shows two holders of a key."""

    def assert_violated(self, seeds: range) -> None:
        self.assertTrue(any(run_with_faults(seed).violations for seed in seeds))

    def test_without_waiting_for_grant_expiry(self) -> None:
        with patch.object(GrantExpiryTracker, "has_expired", lambda *arguments: True):
            self.assert_violated(range(5))

    def test_without_the_barrier(self) -> None:
        """A delayed grant, or one from an earlier leader, gives released keys back."""
        real = AssignmentController._transfer

        def release_at_once(
            self: AssignmentController,
            now: float,
            service: str,
            key_range: KeyRange,
            incarnation: Incarnation,
        ) -> Grant | Release | None:
            self._accepted_barriers.add(
                (incarnation[0], key_range.first, key_range.last, key_range.fence)
            )
            return real(self, now, service, key_range, incarnation)

        with patch.object(AssignmentController, "_transfer", release_at_once):
            self.assert_violated(SEEDS)

    def test_without_confirmation_after_a_failure(self) -> None:
        """An isolated leader renews grants at a new process, which knows no fencing token."""
        with patch.object(AssignmentController, "_is_confirmed", lambda *arguments: True):
            self.assert_violated(SEEDS)

    def test_without_waiting_for_earlier_leaders(self) -> None:
        real = GrantExpiryTracker.has_expired
        with patch.object(
            GrantExpiryTracker,
            "has_expired",
            lambda self, now, key_range, incarnation, renewals_end_at, delay_s: real(
                self, now, key_range, incarnation, float("-inf"), delay_s
            ),
        ):
            self.assertTrue(self.run_isolated_leader().violations)
        self.assertEqual(self.run_isolated_leader().violations, [])

    def test_without_the_renewals_of_leaders_before_the_predecessor(self) -> None:
        """A is isolated, B takes over and resigns, C leads while A still renews grants."""
        with patch.object(Leadership, "earlier_renewals_s", lambda self, now: 0.0):
            self.assertTrue(self.run_two_successors().violations)
        self.assertEqual(self.run_two_successors().violations, [])

    def test_without_an_end_of_the_renewals_of_a_leader_that_resigned(self) -> None:
        """A leader that resigned renews grants at a target that its successor cannot reach."""
        self.assertEqual(self.run_resigned_leader().violations, [])
        with (
            patch.object(Leadership, "earlier_renewals_s", lambda self, now: 0.0),
            patch.object(leadership, "RESIGNED_RENEWAL_S", LEADER_RENEWAL_LEASE_S),
        ):
            self.assertTrue(self.run_resigned_leader().violations)

    def run_two_successors(self) -> Simulation:
        simulation, first, _ = self.isolate_leader_with_target()
        simulation.run(3.0)
        second = next(
            instance
            for instance in simulation.instances.values()
            if instance is not first and instance.assignment_controller.leadership.is_leader
        )
        second.resign()
        simulation.run(0.2)
        second.is_up = False
        simulation.run(9.0)
        return simulation

    def run_resigned_leader(self) -> Simulation:
        simulation, first, _ = self.isolate_leader_with_target()
        first.is_cut_from_store = False
        first.resign()
        simulation.run(0.2)
        first.is_cut_from_store = True
        simulation.run(8.0)
        return simulation

    def run_isolated_leader(self) -> Simulation:
        """Let a leader without the store renew grants at a target its successor cannot reach."""
        simulation, _, _ = self.isolate_leader_with_target()
        simulation.run(12.0)
        return simulation

    @staticmethod
    def isolate_leader_with_target() -> tuple[Simulation, Instance, Target]:
        """Isolate a leader from the store, and a target from all but that leader."""
        simulation = new_simulation(5)
        old_leader = leader(simulation)
        old_leader.is_cut_from_store = True
        target = any_target(simulation)
        target.is_cut_from_store = True
        for instance in simulation.instances.values():
            if instance is not old_leader:
                instance.unreachable.add(target.name)
        return simulation, old_leader, target
