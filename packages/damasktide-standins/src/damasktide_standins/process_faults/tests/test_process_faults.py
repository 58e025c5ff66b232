import unittest
from typing import ClassVar

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.ownership_world.history import (
    Attempt,
    AttemptResult,
    Execution,
    History,
    Outcome,
    find_violations,
)
from damasktide_standins.process_faults.registry import ONE_REGION, scenarios_by_point
from damasktide_standins.process_faults.runner import run_scenario

SEED = 7


class ProcessFaultTest(unittest.TestCase):
    """Runs scenarios with real processes.

    Time limits are checked only by the command line, because they need an idle machine.
    """

    cluster: ClassVar[LocalCluster]

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = LocalCluster(ONE_REGION)
        cls.cluster.__enter__()
        cls.addClassCleanup(cls.cluster.stop)

    def assert_holds(self, name: str) -> None:
        result = run_scenario(self.cluster, name, SEED)
        self.assertEqual(result.problems, ())
        self.assertGreater(result.served, 0)

    def test_owner_killed(self) -> None:
        """Guards against keys that stay without an owner, or requests run twice, after a loss."""
        self.assert_holds("owner killed")

    def test_owner_paused(self) -> None:
        """Guards against two owners when a paused server resumes."""
        self.assert_holds("owner frozen and back")

    def test_instance_paused(self) -> None:
        """Guards against an instance that renews grants with an expired renewal lease."""
        self.assert_holds("instance frozen and back")

    def test_owner_killed_while_the_store_is_down(self) -> None:
        """Guards against grants without a stored map, and keys left unowned after an outage."""
        self.assert_holds("store down, then owner killed")

    def test_write_responses_lost(self) -> None:
        """Guards against a shard that is granted twice or never after a lost write response."""
        self.assert_holds("answers of writes lost")

    def test_corrupted_responses(self) -> None:
        """Guards against corrupted responses that reach a caller as complete."""
        self.assert_holds("responses truncated, crossed and reset")


class ObserverTest(unittest.TestCase):
    def test_each_violation_is_reported(self) -> None:
        """Guards against an observer that accepts any history."""
        first, second = Attempt("a", 1), Attempt("b", 1)
        history = History(
            [
                Execution("x", 1, 0.0, 2.0, first),
                Execution("y", 1, 1.0, 3.0, first),
                Execution("y", 2, 4.0, 5.0, second),
            ],
            [
                AttemptResult(first, Outcome.DONE, second),
                AttemptResult(second, Outcome.NOT_RUN),
            ],
        )
        self.assertEqual(len(find_violations(history)), 4)

    def test_summary_lists_all_points_of_the_design_page(self) -> None:
        """Guards against a summary whose points differ from those of docs/design.md."""
        self.assertEqual(set(scenarios_by_point()), set(range(1, 12)))


if __name__ == "__main__":
    unittest.main()
