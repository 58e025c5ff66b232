"""Tests of the checker: if it missed a kind of violation, the matrix would pass wrongly."""

import unittest

from damasktide_standins.ownership_world.history import (
    Attempt,
    AttemptResult,
    Execution,
    History,
    Outcome,
    find_violations,
    longest_gap_by_shard,
)

FIRST = Attempt("a", 1)
SECOND = Attempt("b", 1)


class HistoryTest(unittest.TestCase):
    def test_overlap_of_two_servers(self) -> None:
        """Guards against missing that two servers own one key at the same time."""
        history = History([Execution("s1", 1, 0, 2, FIRST), Execution("s2", 1, 1, 3, SECOND)])
        self.assertEqual(len(find_violations(history)), 1)

    def test_one_server_may_run_requests_concurrently(self) -> None:
        """Guards against a false report for concurrent requests on the owner."""
        history = History([Execution("s1", 1, 0, 2, FIRST), Execution("s1", 1, 1, 3, SECOND)])
        self.assertEqual(find_violations(history), [])

    def test_handover_without_overlap(self) -> None:
        """Guards against a false report for a clean handover."""
        history = History([Execution("s1", 1, 0, 1, FIRST), Execution("s2", 1, 1, 3, SECOND)])
        self.assertEqual(find_violations(history), [])

    def test_two_executions_of_one_request(self) -> None:
        """Guards against missing a request that runs twice, even as two attempts."""
        retry = Attempt("a", 2)
        history = History([Execution("s1", 1, 0, 1, FIRST), Execution("s1", 1, 4, 5, retry)])
        self.assertEqual(find_violations(history), ["request a ran 2 times"])

    def test_reply_to_another_request(self) -> None:
        """Guards against missing a reply that belongs to another request."""
        history = History(received=[AttemptResult(FIRST, Outcome.DONE, SECOND)])
        self.assertEqual(len(find_violations(history)), 1)

    def test_refused_request_that_ran(self) -> None:
        """Guards against missing a "not run" for a request that ran."""
        history = History(
            [Execution("s1", 1, 0, 1, FIRST)], [AttemptResult(FIRST, Outcome.NOT_RUN, FIRST)]
        )
        self.assertEqual(len(find_violations(history)), 1)

    def test_longest_gap_includes_both_ends(self) -> None:
        """Guards against missing an outage that lasts until the end."""
        history = History([Execution("s1", 0, 0, 1, FIRST)])
        self.assertEqual(longest_gap_by_shard(history, 2, 0, 10), {0: 9, 1: 10})
