"""The checker must report each kind of fault, or the matrix would hold for the wrong reason."""

import unittest

from damasktide_standins.ownership_world.history import (
    Attempt,
    Execution,
    History,
    Outcome,
    Received,
    faults_of,
    longest_gap_by_shard,
)

FIRST = Attempt("a", 1)
SECOND = Attempt("b", 1)


class HistoryTest(unittest.TestCase):
    def test_overlap_of_two_servers(self) -> None:
        """Guards against two owners of one key that go unnoticed."""
        history = History([Execution("s1", 1, 0, 2, FIRST), Execution("s2", 1, 1, 3, SECOND)])
        self.assertEqual(len(faults_of(history)), 1)

    def test_one_server_may_run_requests_together(self) -> None:
        """Guards against reports of faults that are none."""
        history = History([Execution("s1", 1, 0, 2, FIRST), Execution("s1", 1, 1, 3, SECOND)])
        self.assertEqual(faults_of(history), [])

    def test_handover_without_overlap(self) -> None:
        """Guards against reports of faults at a clean handover."""
        history = History([Execution("s1", 1, 0, 1, FIRST), Execution("s2", 1, 1, 3, SECOND)])
        self.assertEqual(faults_of(history), [])

    def test_two_executions_of_one_request(self) -> None:
        """Guards against a request that runs twice, also under two attempts."""
        again = Attempt("a", 2)
        history = History([Execution("s1", 1, 0, 1, FIRST), Execution("s1", 1, 4, 5, again)])
        self.assertEqual(faults_of(history), ["request a ran 2 times"])

    def test_answer_for_another_request(self) -> None:
        """Guards against crossed answers."""
        history = History(received=[Received(FIRST, Outcome.DONE, SECOND)])
        self.assertEqual(len(faults_of(history)), 1)

    def test_refusal_that_ran(self) -> None:
        """Guards against a false "not run"."""
        history = History(
            [Execution("s1", 1, 0, 1, FIRST)], [Received(FIRST, Outcome.NOT_RUN, FIRST)]
        )
        self.assertEqual(len(faults_of(history)), 1)

    def test_longest_gap_counts_both_ends(self) -> None:
        """Guards against an outage that is missed because it never ends."""
        history = History([Execution("s1", 0, 0, 1, FIRST)])
        self.assertEqual(longest_gap_by_shard(history, 2, 0, 10), {0: 9, 1: 10})
