import unittest
from typing import Any
from unittest import mock

from damasktide.admission.refusals import Outcome, Refusal
from damasktide.admission.request import AdmittedRequest, BackendResponse
from damasktide.forwarding.failures import FailureKind, UpstreamFailure
from damasktide.forwarding.hedging import HedgePlan
from damasktide.forwarding.router import Router
from damasktide.forwarding.tests.samples import booking
from damasktide.forwarding.upstream import Destination
from damasktide.runtime.published import Published

TARGET = Destination("server-1", "127.0.0.1", 1)
OK = BackendResponse(200, "text/plain", b"", "server-1", {})


def admitted(is_idempotent: bool, is_keyed: bool = True) -> AdmittedRequest:
    return booking(1.0, is_idempotent, is_keyed)


class RouterTest(unittest.TestCase):
    def route(
        self, request: AdmittedRequest, results: list[Any], budget: bool = True
    ) -> tuple[BackendResponse | Refusal, int]:
        upstream = mock.Mock()
        upstream.send.side_effect = results
        budget_task = mock.Mock()
        budget_task.ask.return_value = budget
        service = mock.Mock(hedge_plan=Published(HedgePlan()))
        router = Router({"batch-desk": service}, upstream, budget_task, lambda _reason: None)
        lease = mock.Mock(**{"acquire.return_value": None})
        finders = mock.Mock(get=lambda _keyed: lambda *_: TARGET)
        router_module = "damasktide.forwarding.router"
        with (
            mock.patch(f"{router_module}.destination_finders", finders),
            mock.patch(f"{router_module}.owner_of_request"),
        ):
            result = router.route(request, lease)
        return result, upstream.send.call_count

    def failure(self, kind: FailureKind) -> UpstreamFailure:
        return UpstreamFailure(kind, "server-1")

    def test_non_idempotent_request_is_sent_once_after_an_unknown_outcome(self) -> None:
        """Guards against a booking that runs twice because its response was lost."""
        for kind in (FailureKind.RESET, FailureKind.TIMED_OUT, FailureKind.INCOMPLETE):
            result, sent = self.route(admitted(False), [self.failure(kind), OK])
            assert isinstance(result, Refusal)
            self.assertEqual([result.code.outcome, sent], [Outcome.UNKNOWN, 1])

    def test_request_that_did_not_run_is_retried(self) -> None:
        """Guards against refusing bookings while an owner changes."""
        for kind in (FailureKind.NOT_CONNECTED, FailureKind.NOT_OWNER, FailureKind.SHED):
            result, sent = self.route(admitted(False), [self.failure(kind), OK])
            self.assertEqual([result, sent], [OK, 2])

    def test_not_run_is_not_claimed_after_an_attempt_that_may_have_run(self) -> None:
        """Guards against a false "not run" when a later attempt is refused."""
        results = [self.failure(FailureKind.RESET), self.failure(FailureKind.SHED)]
        results += [self.failure(FailureKind.SHED)] * 10
        result, sent = self.route(admitted(True, is_keyed=False), results)
        assert isinstance(result, Refusal)
        self.assertEqual(result.code.outcome, Outcome.UNKNOWN)
        self.assertGreater(sent, 1)

    def test_without_budget_there_is_no_retry(self) -> None:
        """Guards against retry storms."""
        results = [self.failure(FailureKind.SHED), OK]
        result, sent = self.route(admitted(True, is_keyed=False), results, budget=False)
        self.assertIsInstance(result, Refusal)
        self.assertEqual(sent, 1)


if __name__ == "__main__":
    unittest.main()
