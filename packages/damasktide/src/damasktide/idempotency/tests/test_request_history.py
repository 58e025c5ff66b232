import unittest

from damasktide.admission.refusals import RefusalCode
from damasktide.idempotency.records import Completed, NotRun, RequestOutcome, Unknown
from damasktide.idempotency.request_history import (
    FINISH_GRACE_S,
    RETENTION_S,
    Decision,
    Proceed,
    Replay,
    RequestHistory,
)

IDENTITY = b"first"
RESPONSE = Completed(201, "application/json", b"{}")


class RequestHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = RequestHistory(max_records=3)

    def begin(self, attempt: int, now: float = 0.0, identity: bytes = IDENTITY) -> Decision:
        return self.history.begin(identity, attempt, 1.0, now)

    def run_and_finish(self, outcome: RequestOutcome, now: float = 0.0) -> None:
        decision = self.begin(1, now)
        assert isinstance(decision, Proceed)
        self.assertTrue(self.history.finish(IDENTITY, decision.run, outcome, now))

    def assert_refused(self, decision: Decision, code: RefusalCode) -> None:
        self.assertEqual(getattr(decision, "code", decision), code)

    def test_retry_gets_the_first_response(self) -> None:
        """Guards against a booking that runs twice, whatever the attempt number is."""
        self.run_and_finish(RESPONSE)
        self.assertEqual([self.begin(1), self.begin(2)], [Replay(RESPONSE)] * 2)

    def test_retry_after_a_long_response_gets_its_status(self) -> None:
        """Guards against a stored response that is truncated."""
        self.run_and_finish(Completed(201, "text/plain", bytes(129)))
        decision = self.begin(2)
        self.assert_refused(decision, RefusalCode.OUTCOME_KNOWN)
        self.assertIn("201", getattr(decision, "detail", ""))

    def test_retry_after_an_unknown_outcome_does_not_run(self) -> None:
        """Guards against a second run after a lost response."""
        self.run_and_finish(Unknown())
        self.assert_refused(self.begin(1), RefusalCode.OUTCOME_UNKNOWN)

    def test_record_lasts_for_the_whole_retention(self) -> None:
        """Guards against a record that is deleted before the caller retries."""
        self.run_and_finish(RESPONSE, now=10.0)
        self.history.sweep(10.0 + RETENTION_S)
        self.assertEqual(self.begin(1, 10.0 + RETENTION_S), Replay(RESPONSE))
        self.history.sweep(10.2 + RETENTION_S)
        self.assertEqual(len(self.history), 0)

    def test_full_history_refuses_new_requests_instead_of_evicting_records(self) -> None:
        """Guards against a burst that evicts records that are still needed."""
        self.run_and_finish(RESPONSE)
        for identity in (b"second", b"third"):
            self.begin(1, 0.0, identity)
        self.assert_refused(self.begin(1, 0.0, b"fourth"), RefusalCode.OVERLOADED)
        self.assertEqual(self.begin(2), Replay(RESPONSE))
        self.history.sweep(61.0)
        self.assertIsInstance(self.begin(1, 61.0, b"fourth"), Proceed)

    def test_run_without_a_report_ends_as_unknown(self) -> None:
        """Guards against runs of a lost instance that are kept forever."""
        self.begin(1)
        self.history.sweep(1.0 + FINISH_GRACE_S)
        self.assert_refused(self.begin(2), RefusalCode.OUTCOME_UNKNOWN)

    def test_late_report_of_an_earlier_run_changes_nothing(self) -> None:
        """Guards against another run while the retry is still running."""
        first = self.begin(1)
        assert isinstance(first, Proceed)
        self.history.finish(IDENTITY, first.run, NotRun(), 0.0)
        self.assertIsInstance(self.begin(1), Proceed)
        self.assertFalse(self.history.finish(IDENTITY, first.run, NotRun(), 0.0))
        self.assert_refused(self.begin(1), RefusalCode.DUPLICATE_IN_PROGRESS)


if __name__ == "__main__":
    unittest.main()
