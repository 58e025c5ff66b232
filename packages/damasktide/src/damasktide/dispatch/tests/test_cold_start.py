"""Cold targets: the sum over all instances stays within what they tolerate."""

import unittest
from collections import Counter

from damasktide.dispatch.cold_start import ColdStartLimiter, InstanceCounts
from damasktide.dispatch.dispatcher import Chosen, NoTargetReason, NotChosen, SendOutcome
from damasktide.dispatch.tests.samples import SERVICE, dispatcher, target, view, wanted

PER_S = 8.0
COUNTS = InstanceCounts(Counter({"a1": 3, "a2": 2, "b1": 2}))


class TestShares(unittest.TestCase):
    def test_sum_over_the_instances_of_the_domain_is_within_the_bound(self) -> None:
        limiters = [ColdStartLimiter("a1") for _ in range(3)]
        sent = 0
        for step in range(100):
            now = step / 100.0
            for limiter in limiters:
                if limiter.admits(now, "t1", "a1", PER_S, COUNTS):
                    limiter.sent(now, "t1")
                    sent += 1
        self.assertLessEqual(sent, PER_S)
        self.assertGreaterEqual(sent, 3)

    def test_instances_of_other_domains_send_nothing(self) -> None:
        self.assertFalse(ColdStartLimiter("a2").admits(0.0, "t1", "a1", PER_S, COUNTS))

    def test_domain_without_instances_is_shared_by_all(self) -> None:
        counts = InstanceCounts(Counter({"a2": 100}))
        limiter = ColdStartLimiter("a2")
        sent = 0
        for step in range(1_000):
            now = step / 100.0
            if limiter.admits(now, "t1", "a1", PER_S, counts):
                limiter.sent(now, "t1")
                sent += 1
        self.assertLessEqual(sent, 1 + 10.0 * PER_S / 100)


class TestDispatch(unittest.TestCase):
    def test_cold_target_gets_its_share_only(self) -> None:
        made = dispatcher(target("cold", cold_left_s=3.0))
        made.set_instances(COUNTS)
        chosen = [made.choose(0.1, wanted()) for _ in range(20)]
        sent = sum(isinstance(item, Chosen) for item in chosen)
        self.assertLessEqual(sent, SERVICE.cold_requests_per_s / 3)
        refused = chosen[-1]
        assert isinstance(refused, NotChosen)
        self.assertIs(refused.reason, NoTargetReason.ALL_COLD)

    def test_target_is_warm_after_its_time(self) -> None:
        made = dispatcher(target("cold", cold_left_s=3.0))
        made.set_instances(COUNTS)
        sent = sum(isinstance(made.choose(3.1, wanted()), Chosen) for _ in range(5))
        self.assertEqual(sent, 5)

    def test_target_that_comes_back_unlisted_is_taken_for_cold(self) -> None:
        """It accepts connections again before its new entry has reached this instance."""
        made = dispatcher(target("t1"))
        made.set_instances(COUNTS)
        made.ended(0.0, SendOutcome(target("t1"), "read", 0.1, is_unreachable=True))
        sent = sum(isinstance(made.choose(0.6, wanted()), Chosen) for _ in range(20))
        self.assertLessEqual(sent, SERVICE.cold_requests_per_s / 3)

    def test_target_that_turns_cold_again_is_noticed(self) -> None:
        made = dispatcher(target("t1"))
        made.set_instances(COUNTS)
        made.set_targets(5.0, view(target("t1", cold_left_s=2.0)))
        sent = sum(isinstance(made.choose(5.1, wanted()), Chosen) for _ in range(20))
        self.assertLessEqual(sent, SERVICE.cold_requests_per_s / 3)
