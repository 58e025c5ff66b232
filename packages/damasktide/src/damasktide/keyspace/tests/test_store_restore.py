"""Restores of the store from older copies: no key has two owners, no token is issued twice."""

import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager
from functools import partial
from unittest.mock import patch

from damasktide.keyspace import known_maps
from damasktide.keyspace.assignment_controller import HOLD_S, AssignmentController
from damasktide.keyspace.codec import decode_leader, decode_map, encode_leader, encode_map
from damasktide.keyspace.key_map import KeyMap, KeyRange
from damasktide.keyspace.known_maps import FENCES_PER_ERA, KnownMaps
from damasktide.keyspace.leadership import LEADER_RENEWAL_LEASE_S, LeaderRecord, Leadership
from damasktide.keyspace.tests.simulation import SERVICE, Instance, Simulation, Target
from damasktide.keyspace.tests.test_one_owner import (
    FULLY_SERVED,
    any_target,
    leader,
    new_simulation,
    run_with_faults,
    shares_over,
    shift_demand,
)
from damasktide.rows.store import version_of

SEEDS = range(60)
MAX_COPY_AGE_S = 8.0
MAX_OUTAGE_S = 3.0
# After this time no grant made before a restore holds, and keys move again.
RECOVERY_S = LEADER_RENEWAL_LEASE_S + 10.0

Scenario = Callable[[], Simulation]


def restore_store(simulation: Simulation) -> None:
    """Make the store unavailable for a moment, after which it returns from an older copy."""
    rng = simulation.rng
    simulation.reads_tables_apart = True
    before = simulation.now - rng.uniform(0.2, MAX_COPY_AGE_S)
    simulation.store.is_up = False
    outage_s = rng.choice((0.0, rng.uniform(0.5, MAX_OUTAGE_S)))
    simulation.schedule(outage_s, partial(return_from_copy, simulation, before))


def return_from_copy(simulation: Simulation, before: float) -> None:
    simulation.store.restore(before)
    simulation.store.is_up = True


def restore_twice(simulation: Simulation) -> None:
    restore_store(simulation)
    delay_s = simulation.rng.uniform(0.1, MAX_OUTAGE_S)
    simulation.schedule(delay_s, partial(restore_store, simulation))


FAULTS = (restore_store, restore_store, restore_twice, shift_demand, shift_demand)


def lose_keys_for_a_while(simulation: Simulation, target: Target) -> None:
    """Let the keys of a target move after their grants have expired, without a barrier."""
    target.is_unresponsive = True
    simulation.run(5.0)
    assert not target.live_holds()
    target.is_unresponsive = False


def restart_all_but(simulation: Simulation, kept: Instance | None = None) -> None:
    """Start instances anew, so that they know no map that the store does not have."""
    for instance in simulation.instances.values():
        if instance is not kept:
            instance.start()


def lose_leader_and_move() -> Simulation:
    """Lose a move together with all instances that know of it."""
    simulation = new_simulation(1)
    before = simulation.now
    lose_keys_for_a_while(simulation, any_target(simulation))
    restart_all_but(simulation)
    simulation.store.restore(before)
    simulation.run(RECOVERY_S)
    return simulation


def lose_tokens() -> Simulation:
    """Lose the moves from one target together with their leader, then drain another target."""
    simulation = new_simulation(0)
    before = simulation.now
    lost = any_target(simulation)
    lost.crash()
    simulation.run(3.0)
    restart_all_but(simulation)
    simulation.store.restore(before)
    other = next(target for target in simulation.targets.values() if target is not lost)
    other.is_draining = True
    simulation.run(RECOVERY_S)
    return simulation


def lose_successor() -> Simulation:
    """Isolate a leader, and lose its successor with the moves that it has made by barriers."""
    simulation = new_simulation(1)
    first = leader(simulation)
    before = simulation.now
    first.is_cut_from_store = True
    simulation.run(3.0)
    target = any_target(simulation)
    target.is_draining = True
    simulation.run(1.5)
    target.is_draining = False
    simulation.store.restore(before)
    restart_all_but(simulation, first)
    first.is_cut_from_store = False
    simulation.run(RECOVERY_S)
    return simulation


def isolate_leader_after_restore() -> Simulation:
    """Isolate a leader that goes on after a restore, and knows a move that the store lost."""
    simulation = new_simulation(1)
    first = leader(simulation)
    before = simulation.now
    lose_keys_for_a_while(simulation, any_target(simulation))
    restart_all_but(simulation, first)
    simulation.store.is_up = False
    simulation.run(2.0)
    return_from_copy(simulation, before)
    simulation.run(1.0)
    assert first.assignment_controller.leadership.is_leader
    first.is_cut_from_store = True
    simulation.run(RECOVERY_S)
    return simulation


def isolate_leader_that_returned() -> Simulation:
    """Restore the row to an ended leader; its successor takes over again and is then isolated."""
    simulation = new_simulation(1)
    ended = leader(simulation)
    before = simulation.now
    ended.is_up = False
    # A move without a barrier waits for the renewals of the ended leader.
    simulation.run(RECOVERY_S)
    successor = leader(simulation)
    lose_keys_for_a_while(simulation, any_target(simulation))
    for instance in simulation.instances.values():
        if instance not in (ended, successor):
            # It takes part again only after the successor.
            instance.start()
            instance.paused_until = simulation.now + 4.0
    simulation.store.restore(before)
    # A store that refuses this write is enough to make the lost map unknown to the others.
    with patch.object(AssignmentController, "_restored_map_writes", lambda *arguments: iter(())):
        simulation.run(9.0)
    assert successor.assignment_controller.leadership.is_leader
    successor.is_cut_from_store = True
    simulation.run(RECOVERY_S)
    return simulation


class TestRestores(unittest.TestCase):
    def test_seeded_faults_and_restores(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = run_with_faults(seed, FAULTS)
                self.assertEqual(simulation.violations[:3], [])
                self.assertGreaterEqual(simulation.served_share(), FULLY_SERVED)

    def run_restore(self, outage_s: float) -> Simulation:
        simulation = new_simulation(1)
        simulation.run(2.0)
        before = simulation.now - 1.5
        simulation.store.is_up = False
        simulation.run(outage_s)
        return_from_copy(simulation, before)
        return simulation

    def test_keys_stay_held(self) -> None:
        """Guards against holds that expire while a leader waits for the end of lost grants."""
        for outage_s in (0.0, 2.0):
            shares = shares_over(self.run_restore(outage_s), RECOVERY_S)
            self.assertGreaterEqual(min(share for _, share in shares), FULLY_SERVED)
        with patch.object(AssignmentController, "_is_renewable", lambda *arguments: False):
            shares = shares_over(self.run_restore(2.0), RECOVERY_S)
            self.assertLess(min(share for _, share in shares), FULLY_SERVED)

    def test_leader_that_was_not_interrupted_moves_keys_at_once(self) -> None:
        simulation = self.run_restore(0.0)
        simulation.run(1.0)
        any_target(simulation).crash()
        simulation.run(2.0)
        self.assertGreaterEqual(simulation.served_share(), FULLY_SERVED)
        row_map = simulation.store.row_by_key[f"map/{SERVICE}"][0]
        assert isinstance(row_map, KeyMap)
        self.assertEqual(row_map.era, 1)

    def test_map_that_only_an_instance_knows_is_restored(self) -> None:
        """Guards against a new leader that moves keys back because the store lost a move."""
        simulation = new_simulation(1)
        before = simulation.now
        any_target(simulation).crash()
        simulation.run(3.0)
        leading = leader(simulation)
        newest = leading.assignment_controller.map_by_service[SERVICE]
        leading.is_up = False
        simulation.store.restore(before)
        simulation.run(3.0)
        restored = simulation.store.row_by_key[f"map/{SERVICE}"][0]
        assert isinstance(restored, KeyMap)
        self.assertEqual((restored.ranges, restored.era), (newest.ranges, 0))
        simulation.run(RECOVERY_S)
        self.assertEqual(simulation.violations, [])
        self.assertGreaterEqual(simulation.served_share(), FULLY_SERVED)


class TestMutations(unittest.TestCase):
    """Each mechanism is needed: with it disabled, a key has two holders or a token two targets."""

    def assert_needed(
        self, mutation: AbstractContextManager[object], scenario: Scenario, violation: str = "hold"
    ) -> None:
        self.assertEqual(scenario().violations, [])
        with mutation:
            violations = scenario().violations
        self.assertTrue(any(violation in line for line in violations), violations)

    def test_without_waiting_for_lost_grants(self) -> None:
        always = patch.object(
            AssignmentController, "_have_lost_grants_ended", lambda *arguments: True
        )
        self.assert_needed(always, lose_leader_and_move)

    def test_with_grants_by_a_restored_map(self) -> None:
        never = patch.object(AssignmentController, "_may_be_outdated", lambda *arguments: False)
        self.assert_needed(never, lose_leader_and_move)

    def test_without_a_token_margin(self) -> None:
        self.assert_needed(
            patch.object(known_maps, "FENCES_PER_ERA", 0), lose_tokens, "token 16 issued"
        )

    def test_with_every_restored_leader_as_the_sole_one(self) -> None:
        always = property(lambda self: self.is_leader)
        self.assert_needed(patch.object(Leadership, "is_sole_leader", always), lose_successor)

    def test_without_the_renewals_of_a_leader_that_went_on(self) -> None:
        mutation = patch.object(Leadership, "lost_renewals_s", lambda *arguments: 0.0)
        self.assert_needed(mutation, isolate_leader_after_restore)

    def test_with_renewals_after_another_takeover(self) -> None:
        mutation = patch.object(
            AssignmentController,
            "_is_renewable",
            lambda self, key: key in self._renewable_ranges,
        )
        self.assert_needed(mutation, isolate_leader_that_returned)

    def test_with_the_map_of_the_row(self) -> None:
        def take_row(self: KnownMaps, key_map: KeyMap) -> None:
            self._map_by_service[key_map.service] = key_map

        with patch.object(KnownMaps, "observe", take_row):
            self.assertTrue(any(run_with_faults(seed, FAULTS * 4).violations for seed in SEEDS))


class TestKnownMaps(unittest.TestCase):
    def setUp(self) -> None:
        self.maps = KnownMaps()
        self.maps.observe_era(1)
        self.newest = self.key_map(version_of(1, 9), 20, era=1)
        self.maps.observe(self.newest)
        self.maps.observe_era(2)

    @staticmethod
    def key_map(version: int, last_fence: int, era: int, is_settled: bool = True) -> KeyMap:
        previous = None if is_settled else ("t1", 1)
        ranges = (KeyRange(0, 9, ("t", 1), last_fence, previous),)
        return KeyMap(SERVICE, version, last_fence, ranges, era)

    def known(self) -> KeyMap:
        return self.maps.by_service[SERVICE]

    def test_settled_map_is_newer_than_the_same_one_before(self) -> None:
        """Guards against a transfer that is repeated, while which the keys have no holder."""
        self.maps.observe(self.key_map(version_of(2, 5), 20, era=1, is_settled=False))
        self.assertTrue(self.known().ranges[0].is_settled)
        self.assertEqual(self.known().version, version_of(2, 5))

    def test_map_without_a_row_is_written_as_a_new_row(self) -> None:
        self.maps.record_complete_read(version_of(2, 3))
        self.assertEqual((self.known().version, self.known().last_fence), (0, 20))
        self.assertEqual(self.maps.outranked_services, {SERVICE})

    def test_tokens_rise_with_each_restore(self) -> None:
        """Guards against tokens of the era between that the copy of a second restore lacks."""
        second = self.maps.in_current_era(self.newest)
        self.maps.observe_era(3)
        third = self.maps.in_current_era(self.newest)
        self.assertGreaterEqual(second.last_fence, 20 + FENCES_PER_ERA)
        self.assertGreaterEqual(third.last_fence, second.last_fence + FENCES_PER_ERA)

    def test_maps_are_current_once_a_leader_has_written_all(self) -> None:
        """Guards against a wait of 15 s for the first keys of a service, long after a restore."""
        self.assertFalse(KnownMaps().are_current)
        self.assertFalse(self.maps.are_current)
        self.maps.observe(self.key_map(version_of(2, 12), 18 + FENCES_PER_ERA, era=2))
        self.assertTrue(self.maps.are_current)

    def test_rows_keep_their_era(self) -> None:
        version = version_of(2, 5)
        found = decode_map(SERVICE, version, encode_map(self.newest))
        self.assertEqual((found.era, found.version), (1, version))
        record = LeaderRecord("a", "b", version, 1.0, 1, 2.0)
        self.assertEqual(decode_leader(version, encode_leader(record)), record)
        self.assertNotIn(b"era", encode_map(self.key_map(5, 18, era=0)))


class TestLeadership(unittest.TestCase):
    def setUp(self) -> None:
        self.lease = Leadership("this", "boot-1")
        self.lease.observe_era(0.0, 1)
        self.lease.record_complete_read(0.0, version_of(1, 1))
        self.lease.record_write_started()
        self.lease.record_write(0.1, 0.1, version_of(1, 5))

    def restored(self, instance: str, boot: str, number: int = 3) -> LeaderRecord:
        return LeaderRecord(instance, boot, version_of(2, number), era=1)

    def test_response_from_before_the_restore_changes_nothing(self) -> None:
        """Guards against a row that goes back because a response was handled late."""
        self.lease.record_write_started()
        self.lease.observe_era(0.5, 2, knows_newest_maps=True)
        self.lease.observe(0.6, self.restored("other", "boot-7"))
        self.lease.record_write(0.7, 0.4, version_of(1, 6))
        self.assertFalse(self.lease.is_leader)

    def test_lost_resignation_is_written_again(self) -> None:
        self.lease.resign(0.2)
        self.lease.record_write_started()
        self.lease.record_resignation(version_of(1, 6))
        self.lease.observe(0.6, self.restored("this", "boot-1"))
        self.assertTrue(self.lease.is_write_due(0.7))

    def test_registration_older_than_the_leaders_row_does_not_end_it(self) -> None:
        """Guards against two leaders because a restored registration names an earlier process."""
        other = LeaderRecord("other", "boot-7", version_of(1, 9), era=1)
        for version, has_ended in ((8, False), (10, True)):
            lease = Leadership("this", "boot-1")
            lease.observe(0.0, other)
            lease.observe_boot(0.0, "other", "boot-6", version_of(1, version))
            lease.observe_boot(0.0, "other", "boot-6", version_of(2, version))
            self.assertEqual(lease.is_write_due(HOLD_S / 2), has_ended)
