"""The lease of the leader: takeovers, lost answers, bystanders, restarts."""

import unittest
from random import Random

from damasktide.keyspace.leadership import (
    RIGHT_S,
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
        self.lease.write_begins()
        self.lease.wrote(now, now, version)

    def test_live_leader_is_left_alone(self) -> None:
        for step in range(20):
            self.lease.seen(step * 1.0, LeaderRecord("other", "boot-1", step + 1))
            self.assertFalse(self.lease.wants_write(step * 1.0 + 0.9))

    def test_unchanged_row_is_taken_over(self) -> None:
        self.lease.seen(0.0, OTHER)
        self.assertFalse(self.lease.wants_write(TAKEOVER_AFTER_S - 0.01))
        self.assertTrue(self.lease.wants_write(LATEST_TAKEOVER_S))

    def test_bystander_waits_for_its_observation_gap(self) -> None:
        """A row that is read each 4 s looks unchanged although its leader lives."""
        self.lease.set_observation_gap(5.0)
        self.lease.seen(0.0, OTHER)
        self.assertFalse(self.lease.wants_write(LATEST_TAKEOVER_S))
        self.assertTrue(self.lease.wants_write(LATEST_TAKEOVER_S + 5.0))

    def test_row_is_not_taken_over_before_it_was_read(self) -> None:
        self.assertFalse(self.lease.wants_write(100.0))

    def test_predecessor_may_renew_until_its_right_ends(self) -> None:
        self.lease.seen(0.0, OTHER)
        self.take_over(3.0)
        self.assertGreaterEqual(self.lease.others_silent_at(), 3.0 + RIGHT_S)

    def test_restarted_predecessor_is_silent(self) -> None:
        self.lease.seen(0.0, OTHER)
        self.take_over(3.0)
        self.lease.ended(4.0, "other", "boot-2")
        self.assertLessEqual(self.lease.others_silent_at(), 4.0)

    def test_write_without_an_answer_that_took_effect_is_a_takeover(self) -> None:
        self.lease.seen(0.0, OTHER)
        self.lease.write_begins()
        self.lease.write_failed(3.0, is_conflict=False)
        self.lease.seen(4.0, LeaderRecord("this", "boot-9", 6))
        self.assertTrue(self.lease.is_leader)
        self.assertEqual(self.lease.took_over_at(), 4.0)
        self.assertGreaterEqual(self.lease.others_silent_at(), 4.0 + RIGHT_S)

    def test_right_ends_without_the_store(self) -> None:
        self.lease.seen(0.0, OTHER)
        self.take_over(3.0)
        self.assertTrue(self.lease.may_renew(3.0 + RIGHT_S - 0.01))
        self.assertFalse(self.lease.may_renew(3.0 + RIGHT_S))

    def test_resigned_instance_takes_no_part(self) -> None:
        self.lease.seen(0.0, OTHER)
        self.lease.resign()
        self.assertFalse(self.lease.wants_write(100.0))

    def test_resigned_leader_is_replaced_at_once(self) -> None:
        self.lease.seen(0.0, LeaderRecord("", "", 7))
        self.assertTrue(self.lease.wants_write(TAKEOVER_JITTER_S))
        self.take_over(0.3, 8)
        self.assertLessEqual(self.lease.others_silent_at(), 0.3)

    def test_older_row_changes_nothing(self) -> None:
        self.lease.seen(0.0, OTHER)
        self.lease.seen(1.0, LeaderRecord("third", "boot-3", 4))
        self.assertEqual(self.lease.record, OTHER)
