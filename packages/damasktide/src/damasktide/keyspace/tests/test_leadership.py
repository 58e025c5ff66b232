"""The leader's lease: takeovers, lost responses, observers, restarts."""

import unittest
from random import Random

from damasktide.keyspace.leadership import (
    LEADER_RENEWAL_LEASE_S,
    RESIGNED_RENEWAL_S,
    TAKEOVER_AFTER_S,
    TAKEOVER_JITTER_S,
    LeaderRecord,
    Leadership,
)

LATEST_TAKEOVER_S = TAKEOVER_AFTER_S + TAKEOVER_JITTER_S
OTHER = LeaderRecord("other", "boot-1", 5)


class TestLeadership(unittest.TestCase):
    def setUp(self) -> None:
        self.lease = Leadership("this", "boot-9", Random(1))

    def take_over(self, now: float, version: int = 6) -> None:
        self.lease.record_write_started()
        self.lease.record_write(now, now, version)

    def test_live_leader_is_not_replaced(self) -> None:
        for step in range(20):
            self.lease.observe(step * 1.0, LeaderRecord("other", "boot-1", step + 1))
            self.assertFalse(self.lease.is_write_due(step * 1.0 + 0.9))

    def test_unchanged_row_is_taken_over(self) -> None:
        self.lease.observe(0.0, OTHER)
        self.assertFalse(self.lease.is_write_due(TAKEOVER_AFTER_S - 0.01))
        self.assertTrue(self.lease.is_write_due(LATEST_TAKEOVER_S))

    def test_observer_waits_for_its_observation_delay(self) -> None:
        """Guards against replacing a live leader whose row the observer reads only every 4 s."""
        self.lease.set_observation_delay(5.0)
        self.lease.observe(0.0, OTHER)
        self.assertFalse(self.lease.is_write_due(LATEST_TAKEOVER_S))
        self.assertTrue(self.lease.is_write_due(LATEST_TAKEOVER_S + 5.0))

    def test_row_is_not_taken_over_before_it_was_read(self) -> None:
        self.assertFalse(self.lease.is_write_due(100.0))

    def test_leader_stops_acting_as_the_only_one_before_another_can_take_over(self) -> None:
        """Guards against two instances that hand out the same tokens."""
        self.lease.observe(0.0, OTHER)
        self.take_over(3.0)
        self.assertTrue(self.lease.may_allocate(3.0 + 1.1))
        self.assertFalse(self.lease.may_allocate(3.0 + TAKEOVER_AFTER_S - 0.1))

    def test_leader_that_resigned_does_not_allocate(self) -> None:
        self.lease.observe(0.0, OTHER)
        self.take_over(3.0)
        self.lease.resign(3.1)
        self.assertFalse(self.lease.may_allocate(3.1))

    def test_predecessor_may_renew_until_its_renewal_lease_ends(self) -> None:
        self.lease.observe(0.0, OTHER)
        self.take_over(3.0)
        self.assertGreaterEqual(
            self.lease.predecessor_renewals_end_at(), 3.0 + LEADER_RENEWAL_LEASE_S
        )

    def test_restarted_predecessor_renews_no_grant(self) -> None:
        self.lease.observe(0.0, OTHER)
        self.take_over(3.0)
        self.lease.observe_boot(4.0, "other", "boot-2", 7)
        self.assertLessEqual(self.lease.predecessor_renewals_end_at(), 4.0)

    def test_write_without_a_response_that_took_effect_is_a_takeover(self) -> None:
        self.lease.observe(0.0, OTHER)
        self.lease.record_write_started()
        self.lease.record_write_failure(3.0, is_conflict=False)
        self.lease.observe(4.0, LeaderRecord("this", "boot-9", 6))
        self.assertTrue(self.lease.is_leader)
        self.assertEqual(self.lease.took_over_at(), 4.0)
        self.assertGreaterEqual(
            self.lease.predecessor_renewals_end_at(), 4.0 + LEADER_RENEWAL_LEASE_S
        )

    def test_renewal_lease_ends_without_the_store(self) -> None:
        self.lease.observe(0.0, OTHER)
        self.take_over(3.0)
        self.assertTrue(self.lease.may_renew(3.0 + LEADER_RENEWAL_LEASE_S - 0.01))
        self.assertFalse(self.lease.may_renew(3.0 + LEADER_RENEWAL_LEASE_S))

    def test_resigned_instance_does_not_take_over(self) -> None:
        self.lease.observe(0.0, OTHER)
        self.lease.resign(0.0)
        self.assertFalse(self.lease.is_write_due(100.0))

    def test_renewals_of_all_earlier_leaders_are_passed_on(self) -> None:
        """Guards against two owners after a leader is isolated and its successor resigns."""
        self.lease.observe(0.0, OTHER)
        self.assertGreaterEqual(self.lease.earlier_renewals_s(3.0), LEADER_RENEWAL_LEASE_S)
        self.take_over(3.0)
        self.assertGreaterEqual(self.lease.earlier_renewals_s(8.0), LEADER_RENEWAL_LEASE_S - 5.0)
        successor = Leadership("third", "boot-3", Random(2))
        written_s = self.lease.earlier_renewals_s(8.0)
        successor.observe(8.1, LeaderRecord("", "", 7, written_s))
        successor.record_write_started()
        successor.record_write(8.2, 8.1, 8)
        self.assertGreaterEqual(
            successor.predecessor_renewals_end_at(), 3.0 + LEADER_RENEWAL_LEASE_S
        )

    def test_resigned_leader_stops_to_renew_and_says_when(self) -> None:
        self.lease.observe(0.0, OTHER)
        self.lease.observe_boot(1.0, "other", "boot-2", 6)
        self.take_over(3.0)
        self.lease.resign(5.0)
        self.assertTrue(self.lease.may_renew(5.0 + RESIGNED_RENEWAL_S - 0.1))
        self.assertFalse(self.lease.may_renew(5.0 + RESIGNED_RENEWAL_S))
        self.assertGreaterEqual(self.lease.earlier_renewals_s(5.0), RESIGNED_RENEWAL_S)

    def test_resignation_is_written_after_a_write_in_flight(self) -> None:
        """Guards against a resignation that is lost because a renewal changed the row first."""
        self.lease.observe(0.0, OTHER)
        self.take_over(3.0)
        self.lease.record_write_started()
        self.lease.resign(5.0)
        self.assertFalse(self.lease.is_write_due(5.0))
        self.lease.record_write(5.1, 5.0, 7)
        self.assertTrue(self.lease.is_write_due(5.1))
        self.lease.record_write_started()
        self.lease.record_resignation(8)
        self.assertFalse(self.lease.is_write_due(9.0))

    def test_resigned_leader_is_replaced_at_once(self) -> None:
        self.lease.observe(0.0, LeaderRecord("", "", 7))
        self.assertTrue(self.lease.is_write_due(TAKEOVER_JITTER_S))
        self.take_over(0.3, 8)
        self.assertLessEqual(self.lease.predecessor_renewals_end_at(), 0.3)

    def test_older_row_changes_nothing(self) -> None:
        self.lease.observe(0.0, OTHER)
        self.lease.observe(1.0, LeaderRecord("third", "boot-3", 4))
        self.assertEqual(self.lease.record, OTHER)
