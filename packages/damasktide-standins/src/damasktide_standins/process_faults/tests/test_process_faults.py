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
    """Real processes; time bounds are left to the command line, as they need an idle machine."""

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
        """Guards against keys that stay without an owner, or run twice, after a loss."""
        self.assert_holds("owner killed")

    def test_owner_frozen(self) -> None:
        """Guards against two owners when a frozen server resumes."""
        self.assert_holds("owner frozen and back")

    def test_instance_frozen(self) -> None:
        """Guards against an instance that renews with a right that has lapsed."""
        self.assert_holds("instance frozen and back")

    def test_owner_killed_while_the_store_is_down(self) -> None:
        """Guards against grants without a durable map, and keys lost after an outage."""
        self.assert_holds("store down, then owner killed")

    def test_write_answers_lost(self) -> None:
        """Guards against a move that is granted twice or never after a lost response."""
        self.assert_holds("answers of writes lost")

    def test_bad_responses(self) -> None:
        """Guards against damaged responses that reach a caller as whole."""
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

    def test_each_scenario_covers_a_known_point(self) -> None:
        """Guards against a summary that names points which the design page lacks."""
        self.assertEqual(set(scenarios_by_point()), set(range(1, 12)))


if __name__ == "__main__":
    unittest.main()
