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
ANSWER = Completed(201, "application/json", b"{}")


class RequestMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = RequestHistory(max_records=3)

    def begin(self, attempt: int, now: float = 0.0, identity: bytes = IDENTITY) -> Decision:
        return self.memory.begin(identity, attempt, 1.0, now)

    def run_to(self, outcome: RequestOutcome, now: float = 0.0) -> None:
        decision = self.begin(1, now)
        assert isinstance(decision, Proceed)
        self.assertTrue(self.memory.finish(IDENTITY, decision.run, outcome, now))

    def assert_refused(self, decision: Decision, code: RefusalCode) -> None:
        self.assertEqual(getattr(decision, "code", decision), code)

    def test_repeat_gets_the_first_response(self) -> None:
        """Guards against a booking that runs twice, whatever the attempt number says."""
        self.run_to(ANSWER)
        self.assertEqual([self.begin(1), self.begin(2)], [Replay(ANSWER)] * 2)

    def test_repeat_of_a_long_response_gets_its_status(self) -> None:
        """Guards against a stored response that is cut short."""
        self.run_to(Completed(201, "text/plain", bytes(129)))
        decision = self.begin(2)
        self.assert_refused(decision, RefusalCode.OUTCOME_KNOWN)
        self.assertIn("201", getattr(decision, "detail", ""))

    def test_repeat_of_an_unknown_outcome_does_not_run(self) -> None:
        """Guards against a second run after a lost response."""
        self.run_to(Unknown())
        self.assert_refused(self.begin(1), RefusalCode.OUTCOME_UNKNOWN)

    def test_record_lasts_for_the_whole_retention(self) -> None:
        """Guards against a record that is forgotten before the caller repeats."""
        self.run_to(ANSWER, now=10.0)
        self.memory.sweep(10.0 + RETENTION_S)
        self.assertEqual(self.begin(1, 10.0 + RETENTION_S), Replay(ANSWER))
        self.memory.sweep(10.2 + RETENTION_S)
        self.assertEqual(len(self.memory), 0)

    def test_full_memory_refuses_instead_of_forgetting(self) -> None:
        """Guards against a burst that pushes out records that are still needed."""
        self.run_to(ANSWER)
        for identity in (b"second", b"third"):
            self.begin(1, 0.0, identity)
        self.assert_refused(self.begin(1, 0.0, b"fourth"), RefusalCode.OVERLOADED)
        self.assertEqual(self.begin(2), Replay(ANSWER))
        self.memory.sweep(61.0)
        self.assertIsInstance(self.begin(1, 61.0, b"fourth"), Proceed)

    def test_run_without_a_report_ends_as_unknown(self) -> None:
        """Guards against records of a lost instance that stay for ever."""
        self.begin(1)
        self.memory.sweep(1.0 + FINISH_GRACE_S)
        self.assert_refused(self.begin(2), RefusalCode.OUTCOME_UNKNOWN)

    def test_late_report_of_an_earlier_run_changes_nothing(self) -> None:
        """Guards against a second run while the first repeat is still running."""
        first = self.begin(1)
        assert isinstance(first, Proceed)
        self.memory.finish(IDENTITY, first.run, NotRun(), 0.0)
        self.assertIsInstance(self.begin(1), Proceed)
        self.assertFalse(self.memory.finish(IDENTITY, first.run, NotRun(), 0.0))
        self.assert_refused(self.begin(1), RefusalCode.DUPLICATE_IN_PROGRESS)


if __name__ == "__main__":
    unittest.main()
