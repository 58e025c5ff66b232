"""Targets that orders do not reach for long, without network."""

import unittest

from damasktide.keyspace.reachability import (
    LEFT_OUT_FIRST_S,
    LEFT_OUT_LONGEST_S,
    LOST_AFTER_S,
    ReachabilityTracker,
)

LIFE = ("t1", 1)
OTHERS = (("t2", 1), ("t3", 1))


class TestContacts(unittest.TestCase):
    def setUp(self) -> None:
        self.reachability = ReachabilityTracker()
        self.now = 100.0

    def lose(self) -> None:
        """Let orders fail until the target is given up."""
        self.reachability.failed(self.now, LIFE, is_leaving=False, last_arrival_s=0.0)
        self.now += LOST_AFTER_S
        self.reachability.failed(self.now, LIFE, is_leaving=False, last_arrival_s=0.0)

    def is_left_out_after(self, seconds: float) -> bool:
        reachable = self.reachability.reachable(self.now + seconds, (LIFE, *OTHERS))
        return LIFE not in reachable

    def test_target_is_left_out_after_its_loss(self) -> None:
        self.reachability.failed(self.now, LIFE, is_leaving=False, last_arrival_s=0.0)
        self.assertFalse(self.is_left_out_after(0.0))
        self.lose()
        self.assertTrue(self.is_left_out_after(LEFT_OUT_FIRST_S - 0.1))
        self.assertFalse(self.is_left_out_after(LEFT_OUT_FIRST_S + 0.1))

    def test_target_that_stays_out_of_reach_is_tried_ever_less(self) -> None:
        """Guards against keys that wait for a hold each time a silent target gets them back."""
        self.lose()
        left_out_s = LEFT_OUT_FIRST_S
        for _ in range(4):
            self.now += left_out_s
            self.reachability.failed(self.now, LIFE, is_leaving=False, last_arrival_s=0.0)
            left_out_s = min(LEFT_OUT_LONGEST_S, 2.0 * left_out_s)
            self.assertTrue(self.is_left_out_after(left_out_s - 0.1))
            self.assertFalse(self.is_left_out_after(left_out_s + 0.1))

    def test_failures_of_one_loss_do_not_add_up(self) -> None:
        """Guards against a short freeze, in which several orders fail, counting as a long one."""
        self.lose()
        for _ in range(3):
            self.now += 1.0
            self.reachability.failed(self.now, LIFE, is_leaving=False, last_arrival_s=0.0)
        self.assertFalse(self.is_left_out_after(LEFT_OUT_FIRST_S + 0.1))

    def test_order_that_may_still_arrive_prolongs_it(self) -> None:
        """Guards against keys that return to a target while they are on the move from it."""
        self.reachability.failed(self.now, LIFE, is_leaving=True, last_arrival_s=3.0)
        self.assertTrue(self.is_left_out_after(LEFT_OUT_FIRST_S + 2.9))
        self.assertFalse(self.is_left_out_after(LEFT_OUT_FIRST_S + 3.1))

    def test_answer_ends_the_growth(self) -> None:
        self.lose()
        self.now += LEFT_OUT_FIRST_S
        self.reachability.failed(self.now, LIFE, is_leaving=False, last_arrival_s=0.0)
        self.now += 2.0 * LEFT_OUT_FIRST_S
        self.reachability.answered(LIFE)
        self.lose()
        self.assertFalse(self.is_left_out_after(LEFT_OUT_FIRST_S + 0.1))
