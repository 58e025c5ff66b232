import unittest
from unittest import mock

from damasktide.admission.request import AdmittedRequest
from damasktide.balancing.targets import Target
from damasktide.forwarding.execution import (
    NEW_INSTANCE_GRACE_S,
    ExecutionView,
    executor_of_keyed,
    executor_of_unkeyed,
)
from damasktide.limits.slot_share import FULL_SHARE, NO_SHARE
from damasktide.membership.instances import Instance
from damasktide.ownership.shard_map import OwnerServer

OWNER = OwnerServer("s1", "ondo-a", "ondo", "127.0.0.1", 1)
TARGET = Target("s1", "batch-desk", "ondo-a", "ondo", "127.0.0.1", 1)


def instance(name: str, domain: str) -> Instance:
    return Instance(name, domain, "ondo", "127.0.0.1", 1, 2)


OWN = instance("own", "ondo-b")
NEAR = [instance(f"near-{number}", "ondo-a") for number in range(3)]
VIEW = ExecutionView(
    own=OWN,
    alive=[OWN, *NEAR],
    first_seen_at_by_id={one.instance_id: 0.0 for one in [OWN, *NEAR]},
    target_by_id={"s1": TARGET},
)


def admitted(is_idempotent: bool) -> AdmittedRequest:
    request = mock.Mock(service="batch-desk", request_id="r1")
    return AdmittedRequest(request, "crew", frozenset(), is_idempotent, True)


class ExecutorTest(unittest.TestCase):
    def executor_of(
        self, is_idempotent: bool = True, grants_checked: bool = True, share: object = FULL_SHARE
    ) -> str:
        request = admitted(is_idempotent)
        return executor_of_keyed(VIEW, request, OWNER, 7, grants_checked, share, now=99.0)  # type: ignore[arg-type]

    def test_only_idempotent_work_with_a_slot_is_run_locally(self) -> None:
        """Guards against a booking that no deduplicator records."""
        self.assertEqual(self.executor_of(), "own")
        near = {one.instance_id for one in NEAR}
        self.assertIn(self.executor_of(is_idempotent=False), near)
        self.assertIn(self.executor_of(grants_checked=False), near)
        self.assertIn(self.executor_of(share=NO_SHARE), near)

    def test_all_instances_choose_the_same_deduplicator(self) -> None:
        """Guards against a retry that reaches an instance without the record."""
        views = [ExecutionView(one, VIEW.alive, VIEW.first_seen_at_by_id) for one in VIEW.alive]
        deduplicator_ids = {
            executor_of_keyed(view, admitted(False), OWNER, 7, True, FULL_SHARE, 99.0)
            for view in views
        }
        self.assertEqual(len(deduplicator_ids), 1)

    def test_new_instance_runs_no_requests_for_others(self) -> None:
        """Guards against requests refused by a new instance that has no slot shares yet."""
        first_seen_at_by_id = {**VIEW.first_seen_at_by_id, "near-1": 99.0, "near-2": 99.0}
        view = ExecutionView(OWN, VIEW.alive, first_seen_at_by_id, VIEW.target_by_id)
        for shard in range(20):
            deduplicator_id = executor_of_keyed(
                view, admitted(False), OWNER, shard, True, FULL_SHARE, 100.0
            )
            self.assertEqual(deduplicator_id, "near-0")
        later = 99.0 + NEW_INSTANCE_GRACE_S
        self.assertEqual(len(view.executors_in("ondo-a", later)), 3)

    def test_unkeyed_work_stays_in_the_failure_domain(self) -> None:
        """Guards against unkeyed work that is forwarded unnecessarily."""
        for is_idempotent in (True, False):
            self.assertEqual(executor_of_unkeyed(VIEW, admitted(is_idempotent), 99.0), "own")


if __name__ == "__main__":
    unittest.main()
