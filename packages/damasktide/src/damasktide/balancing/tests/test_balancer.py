import time
import unittest
from collections import Counter
from dataclasses import replace
from random import Random
from typing import Any

from damasktide.balancing.balancer import Balancer
from damasktide.balancing.locality import LinkBudget, Locality
from damasktide.balancing.messages import (
    BootSeen,
    CallOutcome,
    Done,
    LoadReported,
    NoPick,
    NoPickReason,
    Pick,
    Picked,
    SharesChanged,
    TargetsChanged,
)
from damasktide.balancing.outliers import OutlierDetector
from damasktide.balancing.policies import balancing_policies
from damasktide.balancing.ramp import RAMP_S
from damasktide.balancing.targets import Target
from damasktide.balancing.task import BalancerTask
from damasktide.limits.slot_share import WHOLE, SlotShare

HERE = Locality("north-a", "north")
PICK_BUDGET_S = 20e-6


def target(name: str, domain: str = "north-a", region: str = "north") -> Target:
    return Target(name, "desk", domain, region, "127.0.0.1", 1)


def near_targets(count: int) -> tuple[Target, ...]:
    return tuple(target(f"s{index}") for index in range(count))


def balancer(
    targets: tuple[Target, ...],
    policy: str = "power_of_two",
    link_bytes_per_s: float = 1000.0,
    detector: OutlierDetector | None = None,
) -> Balancer:
    chooser = balancing_policies.get(policy)(Random(1))
    result = Balancer(HERE, chooser, LinkBudget(link_bytes_per_s, 0.0), detector)
    result.set_targets(0.0, targets)
    return result


def picked(reply: Picked | NoPick) -> str:
    assert isinstance(reply, Picked), reply
    return reply.target.server_id


def take_all(subject: Balancer, now: float, request: Pick | None = None) -> Counter[str]:
    taken: Counter[str] = Counter()
    while isinstance(reply := subject.pick(now, request or Pick()), Picked):
        taken[reply.target.server_id] += 1
    return taken


class LocalityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.targets = (
            target("near"),
            target("mid", "north-b"),
            target("far", "south-a", "south"),
        )

    def test_spills_only_when_the_nearer_level_is_full(self) -> None:
        """Guards against requests that cross failure domains or regions without need."""
        subject = balancer(self.targets)
        order = [picked(subject.pick(0.0, Pick(link_bytes=10))) for _ in range(18)]
        self.assertEqual(order, ["near"] * 6 + ["mid"] * 6 + ["far"] * 6)

    def test_region_that_is_not_allowed_is_never_chosen(self) -> None:
        """Guards against requests served outside their home regions."""
        request = Pick(allowed_regions=frozenset({"north"}))
        taken = take_all(balancer(self.targets), 0.0, request)
        self.assertEqual(taken, Counter(near=6, mid=6))
        only_far = balancer(self.targets[2:]).pick(0.0, request)
        self.assertEqual(only_far, NoPick(NoPickReason.REGION_NOT_ALLOWED))

    def test_link_budget_bounds_bytes_between_regions(self) -> None:
        """Guards against spill that fills the link which both regions share."""
        far = tuple(target(f"f{index}", "south-a", "south") for index in range(9))
        request = Pick(link_bytes=100)
        self.assertEqual(sum(take_all(balancer(far), 0.0, request).values()), 10)
        unbounded = balancer(far, link_bytes_per_s=1e9)
        self.assertEqual(sum(take_all(unbounded, 0.0, request).values()), 54)
        limited = balancer(far)
        first = picked(limited.pick(0.0, request))
        limited.finish(0.0, Done(first, 0.01, CallOutcome.OK, link_bytes=2000))
        self.assertEqual(limited.pick(0.5, request), NoPick(NoPickReason.LINK_BUDGET))
        self.assertEqual(limited.status(0.5).link_bytes, 2100)


class TargetChangeTest(unittest.TestCase):
    def test_leaving_and_absent_targets_get_no_new_work(self) -> None:
        """Guards against new work for a target that is about to stop."""
        first, second, third = near_targets(3)
        subject = balancer((first, second, third))
        subject.set_targets(1.0, (replace(first, leaving=True), second))
        self.assertEqual(take_all(subject, 1.0), Counter(s1=6))
        self.assertEqual(subject.pick(1.0, Pick(owner="s0")), NoPick(NoPickReason.LEAVING))
        self.assertEqual(subject.pick(1.0, Pick(owner="s2")), NoPick(NoPickReason.UNKNOWN_OWNER))

    def test_calls_survive_a_target_that_flaps(self) -> None:
        """Guards against a lost in-flight count when the lagging live list drops a target."""
        targets = near_targets(1)
        subject = balancer(targets)
        take_all(subject, 0.0)
        subject.set_targets(1.0, ())
        subject.set_targets(2.0, targets)
        self.assertEqual(subject.pick(2.0, Pick()), NoPick(NoPickReason.NO_FREE_SLOT))

    def test_excluded_targets_are_not_tried_again(self) -> None:
        """Guards against a retry or hedge that goes to the target it should avoid."""
        taken = take_all(balancer(near_targets(3)), 0.0, Pick(exclude=("s0", "s2")))
        self.assertEqual(taken, Counter(s1=6))


class RampTest(unittest.TestCase):
    def peak_use(self, events: list[tuple[float, Any]]) -> list[int]:
        """Fill the target over 12 s and return the slots in use at each whole second."""
        subject = balancer(near_targets(1))
        subject.see_boot(0.0, "s0", "boot-1")
        for now, event in events:
            event(subject, now)
        use = []
        for second in range(12):
            subject.refresh(float(second))
            take_all(subject, float(second))
            use.append(subject.status(float(second)).status_by_server["s0"].in_flight)
        return use

    def assert_within_ramp(self, use: list[int]) -> None:
        allowed = [min(6, 1 + int(5 * second / RAMP_S)) for second in range(12)]
        self.assertEqual(use, allowed)

    def test_new_boot_never_gets_more_than_its_ramp(self) -> None:
        """Guards against full load on a backend server in its cold start."""
        self.assert_within_ramp(
            self.peak_use([(0.0, lambda subject, now: subject.see_boot(now, "s0", "boot-2"))])
        )
        # Control: the same boot id is no cold start, and the target is filled at once.
        same = self.peak_use([(0.0, lambda subject, now: subject.see_boot(now, "s0", "boot-1"))])
        self.assertEqual(same[0], 6)

    def test_reset_with_a_slow_response_starts_the_ramp(self) -> None:
        """Guards against a cold start that the lagging boot id has not shown yet."""

        def call(outcome: CallOutcome, latency_s: float) -> Any:
            def run(subject: Balancer, now: float) -> None:
                subject.pick(now, Pick())
                subject.finish(now, Done("s0", latency_s, outcome))
                subject.refresh(now)

            return run

        fast, slow = call(CallOutcome.OK, 0.01), call(CallOutcome.OK, 0.1)
        reset = call(CallOutcome.RESET, 0.0)
        self.assert_within_ramp(self.peak_use([(0.0, fast), (0.0, reset), (0.0, slow)]))
        self.assertEqual(self.peak_use([(0.0, fast), (0.0, slow)])[0], 6)
        self.assertEqual(self.peak_use([(0.0, fast), (0.0, reset)])[0], 6)

    def test_instances_together_stay_within_the_ramp(self) -> None:
        """Guards against every instance sending its own first request to a cold target."""
        subjects = [balancer(near_targets(1)) for _ in range(10)]
        for position, subject in enumerate(subjects):
            subject.set_shares(0.0, SharesChanged({"s0": SlotShare(position, 10)}, 0.0))
            subject.see_boot(0.0, "s0", "boot-1")
            subject.see_boot(0.0, "s0", "boot-2")
        totals = []
        for second in (0.0, 4.0, 10.0):
            for subject in subjects:
                subject.refresh(second)
                take_all(subject, second)
            states = [subject.status(second).status_by_server["s0"] for subject in subjects]
            totals.append(sum(state.in_flight for state in states))
        self.assertEqual(totals, [1, 3, 6])
        # Control: without shares each instance takes the whole ramp for itself.
        alone = [balancer(near_targets(1)) for _ in range(10)]
        for subject in alone:
            subject.set_shares(0.0, SharesChanged({"s0": WHOLE}, 0.0))
        self.assertEqual(sum(sum(take_all(subject, 0.0).values()) for subject in alone), 60)


class EjectionTest(unittest.TestCase):
    def run_failures(self, bad: range, detector: OutlierDetector | None = None) -> Balancer:
        subject = balancer(near_targets(25), detector=detector)
        for _ in range(10):
            for index in bad:
                subject.finish(0.0, Done(f"s{index}", 0.01, CallOutcome.FAILED))
        subject.refresh(0.0)
        return subject

    @staticmethod
    def ejected(subject: Balancer, now: float) -> int:
        statuses = subject.status(now).status_by_server.values()
        return sum(status.ejected for status in statuses)

    def test_failing_targets_are_ejected_and_return_later_each_time(self) -> None:
        """Guards against work for dead targets, and against targets that never come back."""
        subject = self.run_failures(range(2))
        self.assertNotIn("s0", take_all(subject, 0.0))
        gaps = []
        readmitted_at = 0.0
        for tenth in range(1, 80):
            now = tenth / 10
            subject.refresh(now)
            if self.ejected(subject, now) == 0:
                gaps.append(round(now - readmitted_at, 1))
                readmitted_at = now
                for index in range(2):
                    subject.finish(now, Done(f"s{index}", 0.01, CallOutcome.FAILED))
                subject.refresh(now)
        self.assertEqual(gaps, [1.0, 2.0, 4.0])

    def test_never_more_than_a_quarter_is_ejected(self) -> None:
        """Guards against an outage of all targets that leaves none to try."""
        self.assertEqual(self.ejected(self.run_failures(range(25)), 0.0), 6)
        unbounded = self.run_failures(range(25), OutlierDetector(max_fraction=1.0))
        self.assertEqual(self.ejected(unbounded, 0.0), 25)

    def test_target_far_above_the_median_is_ejected(self) -> None:
        """Guards against a straggler that answers without errors and keeps its share."""
        subject = balancer(near_targets(25))
        for _ in range(4):
            for index in range(25):
                latency_s = 0.1 if index == 3 else 0.01
                subject.finish(0.0, Done(f"s{index}", latency_s, CallOutcome.OK))
            subject.refresh(0.0)
        self.assertNotIn("s3", take_all(subject, 0.0))
        self.assertEqual(self.ejected(subject, 0.0), 1)


class LoadReportTest(unittest.TestCase):
    def test_fresh_report_steers_and_old_report_does_not(self) -> None:
        """Guards against blindness to other instances, and against trust in an old report."""
        for age_s, expected in ((0.0, "s1"), (1.0, "s1"), (5.0, "s0")):
            subject = balancer(near_targets(2))
            subject.pick(0.0, Pick(owner="s1"))
            subject.report_load(0.0, LoadReported("s0", 6, "boot-1", age_s))
            self.assertEqual(picked(subject.pick(0.0, Pick())), expected, age_s)


class HotPathTest(unittest.TestCase):
    def test_pick_among_25_targets_is_cheap(self) -> None:
        """Guards against a pick that costs a visible part of a request."""
        subject = balancer(near_targets(25))
        request = Pick()
        best = float("inf")
        for _ in range(20):
            started = time.perf_counter()
            names = [picked(subject.pick(0.0, request)) for _ in range(100)]
            best = min(best, (time.perf_counter() - started) / 100)
            for name in names:
                subject.finish(0.0, Done(name, 0.01, CallOutcome.OK))
        self.assertLess(best, PICK_BUDGET_S)


class BalancerTaskTest(unittest.TestCase):
    def test_pick_and_done_go_through_the_task(self) -> None:
        """Guards against a message without a handler."""
        task = BalancerTask("desk", HERE, "power_of_two", 1000.0, Random(1))
        task.start()
        self.assertEqual(task.ask(Pick()), NoPick(NoPickReason.NO_TARGETS))
        task.ask(TargetsChanged(near_targets(1)))
        task.ask(BootSeen("s0", "boot-1"))
        for _ in range(7):
            reply = task.ask(Pick())
        self.assertEqual(reply, NoPick(NoPickReason.NO_FREE_SLOT))
        task.tell(Done("s0", 0.01, CallOutcome.OK))
        self.assertEqual(picked(task.ask(Pick())), "s0")
        task.stop()


if __name__ == "__main__":
    unittest.main()
