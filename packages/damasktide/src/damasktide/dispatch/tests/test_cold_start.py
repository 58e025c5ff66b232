"""Cold targets: the sum over all instances stays within what they tolerate."""

import unittest

from damasktide.dispatch.cold_start import ColdStartLimiter, Instances
from damasktide.dispatch.messages import CallOutcome, NoTarget, NoTargetReason, TargetSelection
from damasktide.dispatch.tests.samples import SERVICE, dispatcher, target, view, wanted

PER_S = 8.0


def instances(**count_by_domain: int) -> Instances:
    return Instances(
        {
            domain: frozenset(f"{domain}-{number}" for number in range(count))
            for domain, count in count_by_domain.items()
        }
    )


INSTANCES = instances(a1=3, a2=2, b1=2)


def most_in_a_second(per_s: float, known: Instances, names: frozenset[str]) -> int:
    """Return the most requests in any second, with all of ``names`` under full load for 10 s."""
    limiters = [ColdStartLimiter(name) for name in sorted(names)]
    sent_at = []
    for step in range(200):
        now = step / 20.0
        for limiter in limiters:
            if limiter.admits(now, "t1", "a1", per_s, known):
                limiter.sent(now, "t1")
                sent_at.append(now)
    return max(sum(start <= at < start + 1.0 for at in sent_at) for start in sent_at)


class TestShares(unittest.TestCase):
    def test_sum_over_the_instances_of_the_domain_is_within_the_bound(self) -> None:
        most = most_in_a_second(PER_S, INSTANCES, INSTANCES.near("a1"))
        self.assertLessEqual(most, PER_S)
        self.assertGreaterEqual(most, 3)

    def test_large_domain_does_not_send_all_at_once(self) -> None:
        """Guards against a burst from 18 instances with a share of a quarter request each."""
        known = instances(a1=18, a2=18)
        most = most_in_a_second(4.5, known, known.near("a1"))
        self.assertLessEqual(most, 4.5)
        self.assertGreaterEqual(most, 4)

    def test_instances_of_other_domains_send_nothing(self) -> None:
        for name in INSTANCES.near("a2"):
            self.assertFalse(ColdStartLimiter(name).admits(0.0, "t1", "a1", PER_S, INSTANCES))

    def test_domain_without_instances_is_shared_by_all(self) -> None:
        known = instances(a2=100)
        most = most_in_a_second(PER_S, known, known.near("a2"))
        self.assertLessEqual(most, PER_S)
        self.assertGreaterEqual(most, 1)

    def test_target_that_tolerates_less_than_one_a_second(self) -> None:
        most = most_in_a_second(0.5, INSTANCES, INSTANCES.near("a1"))
        self.assertEqual(most, 1)


class TestDispatch(unittest.TestCase):
    def test_cold_target_gets_its_share_only(self) -> None:
        made = dispatcher(target("cold", cold_start_remaining_s=3.0))
        made.set_instances(INSTANCES)
        chosen = [made.choose(0.1, wanted()) for _ in range(20)]
        sent = sum(isinstance(item, TargetSelection) for item in chosen)
        self.assertLessEqual(sent, SERVICE.cold_requests_per_s / 3)
        refused = chosen[-1]
        assert isinstance(refused, NoTarget)
        self.assertIs(refused.reason, NoTargetReason.ALL_COLD)

    def test_target_is_warm_after_its_time(self) -> None:
        made = dispatcher(target("cold", cold_start_remaining_s=3.0))
        made.set_instances(INSTANCES)
        sent = sum(isinstance(made.choose(3.1, wanted()), TargetSelection) for _ in range(5))
        self.assertEqual(sent, 5)

    def test_target_that_comes_back_unlisted_is_taken_for_cold(self) -> None:
        """It accepts connections again before its new entry has reached this instance."""
        made = dispatcher(target("t1"))
        made.set_instances(INSTANCES)
        made.ended(0.0, CallOutcome(target("t1"), "read", 0.1, is_unreachable=True))
        sent = sum(isinstance(made.choose(0.6, wanted()), TargetSelection) for _ in range(20))
        self.assertLessEqual(sent, SERVICE.cold_requests_per_s / 3)

    def test_target_that_turns_cold_again_is_noticed(self) -> None:
        made = dispatcher(target("t1"))
        made.set_instances(INSTANCES)
        made.set_targets(5.0, view(target("t1", cold_start_remaining_s=2.0)))
        sent = sum(isinstance(made.choose(5.1, wanted()), TargetSelection) for _ in range(20))
        self.assertLessEqual(sent, SERVICE.cold_requests_per_s / 3)
