import unittest

import gevent

from damasktide.admission.request import BackendResponse
from damasktide.forwarding.failures import FailureKind, UpstreamFailure
from damasktide.forwarding.hedged_call import CallResult, HedgedCall
from damasktide.forwarding.upstream import Destination

SLOW = Destination("slow", "127.0.0.1", 1)
FAST = Destination("fast", "127.0.0.1", 2)
HEDGE_DELAY_S = 0.02


class HedgedCallTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cancelled: list[Destination] = []
        self.called: list[str] = []

    def run_call(
        self, seconds_by_id: dict[str, float], failing: str = "", second: Destination | None = FAST
    ) -> CallResult:
        def call(destination: Destination) -> CallResult:
            self.called.append(destination.server_id)
            gevent.sleep(seconds_by_id[destination.server_id])
            if destination.server_id == failing:
                return UpstreamFailure(FailureKind.RESET, destination.server_id)
            return BackendResponse(200, "text/plain", b"", destination.server_id, {})

        hedged = HedgedCall(call, lambda: second, self.cancelled.append)
        return hedged.run(SLOW, HEDGE_DELAY_S)

    def test_slow_call_loses_to_its_hedge_and_is_cancelled(self) -> None:
        """Guards against waiting for a straggler while another target could respond."""
        result = self.run_call({"slow": 5.0, "fast": 0.0})
        self.assertEqual(getattr(result, "server_id", ""), "fast")
        self.assertEqual(self.cancelled, [SLOW])

    def test_quick_call_is_not_hedged(self) -> None:
        """Guards against hedges that double the load although calls are fast."""
        self.run_call({"slow": 0.0, "fast": 0.0})
        self.assertEqual(self.called, ["slow"])

    def test_failed_hedge_does_not_hide_the_first_response(self) -> None:
        """Guards against a failed hedge that wins over a call that later succeeds."""
        result = self.run_call({"slow": 0.2, "fast": 0.0}, failing="fast")
        self.assertEqual(getattr(result, "server_id", ""), "slow")
        self.assertIsInstance(result, BackendResponse)

    def test_first_call_continues_without_retry_budget(self) -> None:
        """Guards against cancelling the first call because no hedge was allowed."""
        result = self.run_call({"slow": 0.1}, second=None)
        self.assertEqual(getattr(result, "server_id", ""), "slow")
        self.assertEqual(self.cancelled, [])


if __name__ == "__main__":
    unittest.main()
