import time
import unittest
from unittest import mock

from damasktide.admission.refusals import Outcome
from damasktide.admission.request import CallerRequest
from damasktide.forwarding.failures import FailureKind, UpstreamFailure, refusal_for
from damasktide.forwarding.upstream import Destination, Upstream


class CallTimeTest(unittest.TestCase):
    def test_call_ends_before_the_renewal_lease(self) -> None:
        """Guards against a request that still runs when another server owns the key."""
        destination = Destination("s", "127.0.0.1", 1, renewal_lease_until=10.2, max_call_s=0.3)
        self.assertAlmostEqual(destination.call_timeout_s(5.0, now=10.0), 0.2)
        self.assertAlmostEqual(destination.call_timeout_s(5.0, now=9.0), 0.3)
        self.assertAlmostEqual(destination.call_timeout_s(0.1, now=9.0), 0.1)

    def test_nothing_is_sent_after_the_renewal_lease_has_expired(self) -> None:
        """Guards against a sender that was paused between its decision and the write."""
        upstream = Upstream()
        expired = Destination("s", "127.0.0.1", 1, renewal_lease_until=time.monotonic() - 0.001)
        request = mock.Mock(spec=CallerRequest)
        with mock.patch.object(Upstream, "_exchange") as exchange:
            result = upstream.send(request, expired, 1.0)
        exchange.assert_not_called()
        self.assertEqual(result, UpstreamFailure(FailureKind.LEASE_EXPIRED, "s"))

    def test_refusal_claims_not_run_only_if_nothing_was_executed(self) -> None:
        """Guards against a "not run" refusal for a failure after the first byte was written."""
        for kind in (FailureKind.TIMED_OUT, FailureKind.RESET, FailureKind.INCOMPLETE):
            self.assertIsNot(refusal_for(kind, True).code.outcome, Outcome.NOT_RUN)
        for kind in (FailureKind.NOT_CONNECTED, FailureKind.LEASE_EXPIRED, FailureKind.SHED):
            self.assertIs(refusal_for(kind, True).code.outcome, Outcome.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
