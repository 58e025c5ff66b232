"""Targets that commands cannot reach for some time, without network."""

import unittest

from damasktide.keyspace.reachability import (
    INITIAL_EXCLUSION_S,
    MAX_EXCLUSION_S,
    UNREACHABLE_AFTER_S,
    ReachabilityTracker,
)

INCARNATION = ("t1", 1)
OTHERS = (("t2", 1), ("t3", 1))


class TestReachabilityTracker(unittest.TestCase):
    def setUp(self) -> None:
        self.reachability = ReachabilityTracker()
        self.now = 100.0

    def make_unreachable(self) -> None:
        """Let commands fail until the target counts as unreachable."""
        self.reachability.record_failure(
            self.now, INCARNATION, is_leaving=False, max_arrival_delay_s=0.0
        )
        self.now += UNREACHABLE_AFTER_S
        self.reachability.record_failure(
            self.now, INCARNATION, is_leaving=False, max_arrival_delay_s=0.0
        )

    def is_excluded_after(self, seconds: float) -> bool:
        reachable = self.reachability.reachable(self.now + seconds, (INCARNATION, *OTHERS))
        return INCARNATION not in reachable

    def test_unreachable_target_is_excluded(self) -> None:
        self.reachability.record_failure(
            self.now, INCARNATION, is_leaving=False, max_arrival_delay_s=0.0
        )
        self.assertFalse(self.is_excluded_after(0.0))
        self.make_unreachable()
        self.assertTrue(self.is_excluded_after(INITIAL_EXCLUSION_S - 0.1))
        self.assertFalse(self.is_excluded_after(INITIAL_EXCLUSION_S + 0.1))

    def test_target_that_stays_unreachable_is_retried_less_and_less_often(self) -> None:
        """Guards against each return of keys to an unresponsive target costing them a hold."""
        self.make_unreachable()
        exclusion_s = INITIAL_EXCLUSION_S
        for _ in range(4):
            self.now += exclusion_s
            self.reachability.record_failure(
                self.now, INCARNATION, is_leaving=False, max_arrival_delay_s=0.0
            )
            exclusion_s = min(MAX_EXCLUSION_S, 2.0 * exclusion_s)
            self.assertTrue(self.is_excluded_after(exclusion_s - 0.1))
            self.assertFalse(self.is_excluded_after(exclusion_s + 0.1))

    def test_failures_of_one_loss_do_not_add_up(self) -> None:
        """Guards against a short pause, in which several commands fail, counting as a long one."""
        self.make_unreachable()
        for _ in range(3):
            self.now += 1.0
            self.reachability.record_failure(
                self.now, INCARNATION, is_leaving=False, max_arrival_delay_s=0.0
            )
        self.assertFalse(self.is_excluded_after(INITIAL_EXCLUSION_S + 0.1))

    def test_command_that_may_still_arrive_prolongs_the_exclusion(self) -> None:
        """Guards against keys returning to a target while they are being moved away from it."""
        self.reachability.record_failure(
            self.now, INCARNATION, is_leaving=True, max_arrival_delay_s=3.0
        )
        self.assertTrue(self.is_excluded_after(INITIAL_EXCLUSION_S + 2.9))
        self.assertFalse(self.is_excluded_after(INITIAL_EXCLUSION_S + 3.1))

    def test_response_resets_the_exclusion_time(self) -> None:
        self.make_unreachable()
        self.now += INITIAL_EXCLUSION_S
        self.reachability.record_failure(
            self.now, INCARNATION, is_leaving=False, max_arrival_delay_s=0.0
        )
        self.now += 2.0 * INITIAL_EXCLUSION_S
        self.reachability.record_response(INCARNATION)
        self.make_unreachable()
        self.assertFalse(self.is_excluded_after(INITIAL_EXCLUSION_S + 0.1))
