import unittest
from collections import Counter
from dataclasses import replace
from random import Random

from damasktide.balancing.messages import (
    BootObserved,
    CallOutcome,
    Done,
    NoPick,
    NoPickReason,
    Pick,
    TargetsChanged,
)
from damasktide.balancing.task import BalancerTask
from damasktide.balancing.tests.balancers import (
    OWN_LOCALITY,
    balancer,
    fill_slots,
    near_targets,
    picked_server_id,
    target,
)


class LocalityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.targets = (
            target("near"),
            target("mid", "north-b"),
            target("far", "south-a", "south"),
        )

    def test_spills_only_when_the_nearer_level_is_full(self) -> None:
        """Guards against requests that cross failure domains or regions unnecessarily."""
        subject = balancer(self.targets)
        order = [picked_server_id(subject.pick(0.0, Pick(link_bytes=10))) for _ in range(18)]
        self.assertEqual(order, ["near"] * 6 + ["mid"] * 6 + ["far"] * 6)

    def test_region_that_is_not_allowed_is_never_chosen(self) -> None:
        """Guards against requests served outside their home regions."""
        request = Pick(allowed_regions=frozenset({"north"}))
        taken = fill_slots(balancer(self.targets), 0.0, request)
        self.assertEqual(taken, Counter(near=6, mid=6))
        only_far = balancer(self.targets[2:]).pick(0.0, request)
        self.assertEqual(only_far, NoPick(NoPickReason.REGION_NOT_ALLOWED))

    def test_link_budget_bounds_bytes_between_regions(self) -> None:
        """Guards against requests to another region that saturate the link between regions."""
        far = tuple(target(f"f{index}", "south-a", "south") for index in range(9))
        request = Pick(link_bytes=100)
        self.assertEqual(sum(fill_slots(balancer(far), 0.0, request).values()), 10)
        unbounded = balancer(far, link_bytes_per_s=1e9)
        self.assertEqual(sum(fill_slots(unbounded, 0.0, request).values()), 54)
        limited = balancer(far)
        first = picked_server_id(limited.pick(0.0, request))
        limited.finish(0.0, Done(first, 0.01, CallOutcome.OK, link_bytes=2000))
        self.assertEqual(limited.pick(0.5, request), NoPick(NoPickReason.LINK_BUDGET))
        self.assertEqual(limited.status(0.5).link_bytes, 2100)


class TargetChangeTest(unittest.TestCase):
    def test_leaving_and_absent_targets_get_no_new_work(self) -> None:
        """Guards against new work for a target that is about to stop."""
        first, second, third = near_targets(3)
        subject = balancer((first, second, third))
        subject.set_targets(1.0, (replace(first, leaving=True), second))
        self.assertEqual(fill_slots(subject, 1.0), Counter(s1=6))
        self.assertEqual(subject.pick(1.0, Pick(owner="s0")), NoPick(NoPickReason.LEAVING))
        self.assertEqual(subject.pick(1.0, Pick(owner="s2")), NoPick(NoPickReason.UNKNOWN_OWNER))

    def test_calls_survive_a_target_that_flaps(self) -> None:
        """Guards against losing the in-flight count when the live list drops a target briefly."""
        targets = near_targets(1)
        subject = balancer(targets)
        fill_slots(subject, 0.0)
        subject.set_targets(1.0, ())
        subject.set_targets(2.0, targets)
        self.assertEqual(subject.pick(2.0, Pick()), NoPick(NoPickReason.NO_FREE_SLOT))

    def test_excluded_targets_are_not_tried_again(self) -> None:
        """Guards against a retry or hedge that goes to a target already tried."""
        taken = fill_slots(balancer(near_targets(3)), 0.0, Pick(exclude=("s0", "s2")))
        self.assertEqual(taken, Counter(s1=6))


class BalancerTaskTest(unittest.TestCase):
    def test_pick_and_done_go_through_the_task(self) -> None:
        """Guards against a message without a handler."""
        task = BalancerTask("desk", OWN_LOCALITY, "power_of_two", 1000.0, Random(1))
        task.start()
        self.assertEqual(task.ask(Pick()), NoPick(NoPickReason.NO_TARGETS))
        task.ask(TargetsChanged(near_targets(1)))
        task.ask(BootObserved("s0", "boot-1"))
        for _ in range(7):
            reply = task.ask(Pick())
        self.assertEqual(reply, NoPick(NoPickReason.NO_FREE_SLOT))
        task.tell(Done("s0", 0.01, CallOutcome.OK))
        self.assertEqual(picked_server_id(task.ask(Pick())), "s0")
        task.stop()


if __name__ == "__main__":
    unittest.main()
