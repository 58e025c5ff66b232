import unittest
from collections.abc import Callable
from unittest import mock

from damasktide.admission.refusals import RefusalCode
from damasktide.idempotency.deduplication_task import Begin, DeduplicationTask, Finish
from damasktide.idempotency.records import Completed, NotRun, RequestOutcome, Unknown
from damasktide.idempotency.request_history import Decision, Proceed, RequestHistory
from damasktide.runtime.clock import ManualClock

IDENTITY = b"identity"


class BackendServerFake:
    """Counts runs; the sender of a request receives ``outcome`` for each run."""

    def __init__(self, outcome: RequestOutcome) -> None:
        self.outcome = outcome
        self.runs = 0

    def run(self) -> RequestOutcome:
        self.runs += 1
        return self.outcome


class AtMostOnceTest(unittest.TestCase):
    """Runs each scenario with and without the mechanism that it relies on."""

    def deduplicator(self) -> DeduplicationTask:
        task = DeduplicationTask(RequestHistory(), ManualClock())
        task.start()
        self.addCleanup(task.stop)
        return task

    def begin(self, task: DeduplicationTask, attempt: int) -> Decision:
        decision: Decision = task.ask(Begin(IDENTITY, attempt, 1.0))
        return decision

    def send(self, task: DeduplicationTask, server: BackendServerFake, attempt: int) -> Decision:
        decision = self.begin(task, attempt)
        if isinstance(decision, Proceed):
            task.ask(Finish(IDENTITY, decision.run, server.run()))
        return decision

    def retry_through_a_new_deduplicator(self) -> int:
        server = BackendServerFake(Completed(201))
        self.send(self.deduplicator(), server, attempt=1)
        decision = self.send(self.deduplicator(), server, attempt=2)
        if server.runs == 1:
            self.assertEqual(getattr(decision, "code", None), RefusalCode.OUTCOME_UNKNOWN)
        return server.runs

    def retry_while_running(self) -> int:
        task = self.deduplicator()
        decisions = [self.begin(task, attempt) for attempt in (1, 1, 2)]
        codes = {getattr(decision, "code", None) for decision in decisions[1:]}
        runs = sum(isinstance(decision, Proceed) for decision in decisions)
        if runs == 1:
            self.assertEqual(codes, {RefusalCode.DUPLICATE_IN_PROGRESS})
        return runs

    def retry_after_not_run(self) -> int:
        task = self.deduplicator()
        server = BackendServerFake(NotRun())
        self.send(task, server, attempt=1)
        server.outcome = Completed(201)
        self.send(task, server, attempt=1)
        return server.runs

    def test_retry_through_a_new_deduplicator_never_runs(self) -> None:
        """Guards against a second run after the deduplicator has changed."""
        self.assert_runs(self.retry_through_a_new_deduplicator, 1, self.ignore_attempt(), 2)

    def test_retry_while_the_first_attempt_is_running_is_refused(self) -> None:
        """Guards against two runs at the same time."""
        self.assert_runs(self.retry_while_running, 1, self.skip_run_registration(), 2)

    def test_not_run_record_allows_a_retry(self) -> None:
        """Guards against a request that is refused forever after a "not run" refusal."""
        self.assert_runs(self.retry_after_not_run, 2, self.record_not_run_as_unknown(), 1)

    def assert_runs(
        self, scenario: Callable[[], int], expected: int, mutation: object, expected_mutated: int
    ) -> None:
        self.assertEqual(scenario(), expected)
        with mutation:  # type: ignore[attr-defined]
            self.assertEqual(scenario(), expected_mutated)

    def ignore_attempt(self) -> object:
        begin = RequestHistory.begin

        def begin_as_first(
            history: RequestHistory, identity: bytes, attempt: int, timeout_s: float, now: float
        ) -> Decision:
            return begin(history, identity, 1, timeout_s, now)

        return mock.patch.object(RequestHistory, "begin", begin_as_first)

    def skip_run_registration(self) -> object:
        def proceed(history: RequestHistory, identity: bytes, outcome_due_at: float) -> Proceed:
            return Proceed(1)

        return mock.patch.object(RequestHistory, "_proceed", proceed)

    def record_not_run_as_unknown(self) -> object:
        finish = RequestHistory.finish

        def finish_as_unknown(
            history: RequestHistory, identity: bytes, run: int, outcome: RequestOutcome, now: float
        ) -> bool:
            return finish(history, identity, run, Unknown(), now)

        return mock.patch.object(RequestHistory, "finish", finish_as_unknown)


if __name__ == "__main__":
    unittest.main()
