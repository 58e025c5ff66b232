import unittest
from typing import Any

from damasktide.balancing.balancer import Balancer
from damasktide.balancing.messages import (
    CallOutcome,
    Done,
    Pick,
    SharesChanged,
)
from damasktide.balancing.outliers import OutlierDetector
from damasktide.balancing.ramp import RAMP_S
from damasktide.balancing.tests.balancers import (
    balancer,
    fill_slots,
    near_targets,
)
from damasktide.limits.slot_share import FULL_SHARE, SlotShare


class RampTest(unittest.TestCase):
    def slots_in_use(self, events: list[tuple[float, Any]]) -> list[int]:
        """Fill the target for 12 s and return the slots in use at each full second."""
        subject = balancer(near_targets(1))
        subject.observe_boot(0.0, "s0", "boot-1")
        for now, event in events:
            event(subject, now)
        use = []
        for second in range(12):
            subject.refresh(float(second))
            fill_slots(subject, float(second))
            use.append(subject.status(float(second)).status_by_server["s0"].in_flight)
        return use

    def assert_follows_ramp(self, use: list[int]) -> None:
        allowed = [min(6, 1 + int(5 * second / RAMP_S)) for second in range(12)]
        self.assertEqual(use, allowed)

    def test_new_boot_never_gets_more_than_its_ramp(self) -> None:
        """Guards against full load on a backend server in its cold start."""
        self.assert_follows_ramp(
            self.slots_in_use(
                [(0.0, lambda subject, now: subject.observe_boot(now, "s0", "boot-2"))]
            )
        )
        # Control: an unchanged boot id is no cold start, so the target is filled at once.
        same = self.slots_in_use(
            [(0.0, lambda subject, now: subject.observe_boot(now, "s0", "boot-1"))]
        )
        self.assertEqual(same[0], 6)

    def test_reset_with_a_slow_response_starts_the_ramp(self) -> None:
        """Guards against full load during a cold start whose boot id has not arrived yet."""

        def call(outcome: CallOutcome, latency_s: float) -> Any:
            def run(subject: Balancer, now: float) -> None:
                subject.pick(now, Pick())
                subject.finish(now, Done("s0", latency_s, outcome))
                subject.refresh(now)

            return run

        fast, slow = call(CallOutcome.OK, 0.01), call(CallOutcome.OK, 0.1)
        reset = call(CallOutcome.RESET, 0.0)
        self.assert_follows_ramp(self.slots_in_use([(0.0, fast), (0.0, reset), (0.0, slow)]))
        self.assertEqual(self.slots_in_use([(0.0, fast), (0.0, slow)])[0], 6)
        self.assertEqual(self.slots_in_use([(0.0, fast), (0.0, reset)])[0], 6)

    def test_targets_that_accept_no_connection_get_no_work(self) -> None:
        """Guards against work for unreachable servers when too many fail to eject them all."""
        subject = balancer(near_targets(4))
        unreachable_servers = ("s0", "s1", "s2")
        for server_id in unreachable_servers * 2:
            subject.finish(0.0, Done(server_id, 0.001, CallOutcome.NOT_CONNECTED))
        subject.refresh(0.1)
        self.assertEqual(set(fill_slots(subject, 0.1)), {"s3"})
        subject.refresh(1.0)
        status = subject.status(1.0).status_by_server
        self.assertTrue(any(status[server_id].limit for server_id in unreachable_servers))

    def test_shed_requests_shrink_the_limit(self) -> None:
        """Guards against overload of a cold target whose new boot id has not been observed."""
        limits = []
        subject = balancer(near_targets(1))
        for _ in range(3):
            subject.pick(0.0, Pick())
            subject.finish(0.0, Done("s0", 0.01, CallOutcome.SHED))
            limits.append(subject.status(0.0).status_by_server["s0"].limit)
        subject.refresh(10.0)
        limits.append(subject.status(10.0).status_by_server["s0"].limit)
        self.assertEqual(limits, [3, 1, 1, 6])

    def test_instances_together_stay_within_the_ramp(self) -> None:
        """Guards against every instance sending its own first request to a cold target."""
        subjects = [balancer(near_targets(1)) for _ in range(10)]
        for position, subject in enumerate(subjects):
            subject.set_shares(0.0, SharesChanged({"s0": SlotShare(position, 10)}, 0.0))
            subject.observe_boot(0.0, "s0", "boot-1")
            subject.observe_boot(0.0, "s0", "boot-2")
        totals = []
        for second in (0.0, 4.0, 10.0):
            for subject in subjects:
                subject.refresh(second)
                fill_slots(subject, second)
            states = [subject.status(second).status_by_server["s0"] for subject in subjects]
            totals.append(sum(state.in_flight for state in states))
        self.assertEqual(totals, [1, 3, 6])
        # Control: if each instance has the full share, each fills the target alone.
        alone = [balancer(near_targets(1)) for _ in range(10)]
        for subject in alone:
            subject.set_shares(0.0, SharesChanged({"s0": FULL_SHARE}, 0.0))
        self.assertEqual(sum(sum(fill_slots(subject, 0.0).values()) for subject in alone), 60)


class EjectionTest(unittest.TestCase):
    def run_failures(self, failing: range, detector: OutlierDetector | None = None) -> Balancer:
        subject = balancer(near_targets(25), detector=detector)
        for _ in range(10):
            for index in failing:
                subject.finish(0.0, Done(f"s{index}", 0.01, CallOutcome.FAILED))
        subject.refresh(0.0)
        return subject

    @staticmethod
    def count_ejected(subject: Balancer, now: float) -> int:
        statuses = subject.status(now).status_by_server.values()
        return sum(status.is_ejected for status in statuses)

    def test_failing_targets_are_ejected_for_longer_each_time(self) -> None:
        """Guards against work for dead targets, and against ejections that never end."""
        subject = self.run_failures(range(2))
        self.assertNotIn("s0", fill_slots(subject, 0.0))
        durations_s = []
        readmitted_at = 0.0
        for tenth in range(1, 80):
            now = tenth / 10
            subject.refresh(now)
            if self.count_ejected(subject, now) == 0:
                durations_s.append(round(now - readmitted_at, 1))
                readmitted_at = now
                for index in range(2):
                    subject.finish(now, Done(f"s{index}", 0.01, CallOutcome.FAILED))
                subject.refresh(now)
        self.assertEqual(durations_s, [1.0, 2.0, 4.0])

    def test_at_most_a_quarter_is_ejected(self) -> None:
        """Guards against ejecting all targets when all of them fail."""
        self.assertEqual(self.count_ejected(self.run_failures(range(25)), 0.0), 6)
        unbounded = self.run_failures(range(25), OutlierDetector(max_fraction=1.0))
        self.assertEqual(self.count_ejected(unbounded, 0.0), 25)

    def test_target_far_above_the_median_is_ejected(self) -> None:
        """Guards against a straggler that responds without errors and keeps its share."""
        subject = balancer(near_targets(25))
        for _ in range(4):
            for index in range(25):
                latency_s = 0.1 if index == 3 else 0.01
                subject.finish(0.0, Done(f"s{index}", latency_s, CallOutcome.OK))
            subject.refresh(0.0)
        self.assertNotIn("s3", fill_slots(subject, 0.0))
        self.assertEqual(self.count_ejected(subject, 0.0), 1)


if __name__ == "__main__":
    unittest.main()
