"""Cold targets: the request rate over all instances stays within the tolerated limit."""

import unittest
from dataclasses import replace

from damasktide.dispatch.cold_start import ColdStartLimiter, RegisteredInstances
from damasktide.dispatch.messages import CallOutcome, NoTarget, NoTargetReason, TargetSelection
from damasktide.dispatch.tests.samples import (
    SERVICE,
    make_dispatcher,
    make_query,
    make_target,
    make_view,
)

LIMIT_PER_S = 8.0


def instances(**count_by_domain: int) -> RegisteredInstances:
    return RegisteredInstances(
        {
            domain: frozenset(f"{domain}-{number}" for number in range(count))
            for domain, count in count_by_domain.items()
        }
    )


INSTANCES = instances(a1=3, a2=2, b1=2)


def peak_per_second(
    limit_per_s: float, registered: RegisteredInstances, names: frozenset[str]
) -> int:
    """Return the largest number of requests in any second under full load for 10 s."""
    limiters = [ColdStartLimiter(name) for name in sorted(names)]
    sent_at = []
    for step in range(200):
        now = step / 20.0
        for limiter in limiters:
            if limiter.may_send(now, "t1", "a1", limit_per_s, registered):
                limiter.record_send(now, "t1")
                sent_at.append(now)
    return max(sum(start <= at < start + 1.0 for at in sent_at) for start in sent_at)


class TestReturnedDomain(unittest.TestCase):
    """A failure domain returns to service while its targets may be cold without saying so."""

    def test_load_is_limited_until_the_target_is_confirmed(self) -> None:
        """Guards against targets that crash under full load after an evacuation (review/7)."""
        dispatcher = make_dispatcher(make_target("t1"))
        view = replace(make_view(make_target("t1")), unconfirmed_since_by_id={"t1": 1.0})
        dispatcher.set_targets(1.0, view)
        sent = 0
        while isinstance(dispatcher.choose(2.0, make_query()), TargetSelection):
            sent += 1
            self.assertLessEqual(sent, LIMIT_PER_S)
        refused = dispatcher.choose(2.0, make_query())
        assert isinstance(refused, NoTarget)
        self.assertIs(refused.reason, NoTargetReason.ALL_COLD)
        dispatcher.set_targets(2.1, make_view(make_target("t1")))
        self.assertIsInstance(dispatcher.choose(2.1, make_query()), TargetSelection)


class TestColdStartLimiter(unittest.TestCase):
    def test_total_rate_of_a_domain_is_within_the_limit(self) -> None:
        peak = peak_per_second(LIMIT_PER_S, INSTANCES, INSTANCES.in_domain_or_all("a1"))
        self.assertLessEqual(peak, LIMIT_PER_S)
        self.assertGreaterEqual(peak, 3)

    def test_large_domain_does_not_send_in_a_burst(self) -> None:
        """Guards against a burst of 18 instances whose share is a quarter of a request each."""
        registered = instances(a1=18, a2=18)
        peak = peak_per_second(4.5, registered, registered.in_domain_or_all("a1"))
        self.assertLessEqual(peak, 4.5)
        self.assertGreaterEqual(peak, 4)

    def test_instances_of_other_domains_send_nothing(self) -> None:
        for name in INSTANCES.in_domain_or_all("a2"):
            self.assertFalse(
                ColdStartLimiter(name).may_send(0.0, "t1", "a1", LIMIT_PER_S, INSTANCES)
            )

    def test_target_in_a_domain_without_instances_is_shared_by_all(self) -> None:
        registered = instances(a2=100)
        peak = peak_per_second(LIMIT_PER_S, registered, registered.in_domain_or_all("a2"))
        self.assertLessEqual(peak, LIMIT_PER_S)
        self.assertGreaterEqual(peak, 1)

    def test_limit_below_one_request_per_second(self) -> None:
        peak = peak_per_second(0.5, INSTANCES, INSTANCES.in_domain_or_all("a1"))
        self.assertEqual(peak, 1)


class TestDispatch(unittest.TestCase):
    def test_instance_sends_only_its_share_to_a_cold_target(self) -> None:
        dispatcher = make_dispatcher(make_target("cold", cold_start_remaining_s=3.0))
        dispatcher.set_instances(INSTANCES)
        results = [dispatcher.choose(0.1, make_query()) for _ in range(20)]
        sent = sum(isinstance(item, TargetSelection) for item in results)
        self.assertLessEqual(sent, SERVICE.cold_requests_per_s / 3)
        refused = results[-1]
        assert isinstance(refused, NoTarget)
        self.assertIs(refused.reason, NoTargetReason.ALL_COLD)

    def test_target_is_warm_after_the_cold_start(self) -> None:
        dispatcher = make_dispatcher(make_target("cold", cold_start_remaining_s=3.0))
        dispatcher.set_instances(INSTANCES)
        sent = sum(
            isinstance(dispatcher.choose(3.1, make_query()), TargetSelection) for _ in range(5)
        )
        self.assertEqual(sent, 5)

    def test_restarted_target_is_suspected_to_be_cold(self) -> None:
        """Guards against a burst at a restarted target whose new entry has not arrived yet."""
        dispatcher = make_dispatcher(make_target("t1"))
        dispatcher.set_instances(INSTANCES)
        dispatcher.record_outcome(
            0.0, CallOutcome(make_target("t1"), "read", 0.1, is_unreachable=True)
        )
        sent = sum(
            isinstance(dispatcher.choose(0.6, make_query()), TargetSelection) for _ in range(20)
        )
        self.assertLessEqual(sent, SERVICE.cold_requests_per_s / 3)

    def test_target_that_becomes_cold_again_is_limited(self) -> None:
        dispatcher = make_dispatcher(make_target("t1"))
        dispatcher.set_instances(INSTANCES)
        dispatcher.set_targets(5.0, make_view(make_target("t1", cold_start_remaining_s=2.0)))
        sent = sum(
            isinstance(dispatcher.choose(5.1, make_query()), TargetSelection) for _ in range(20)
        )
        self.assertLessEqual(sent, SERVICE.cold_requests_per_s / 3)
