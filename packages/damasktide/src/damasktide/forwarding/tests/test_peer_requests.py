import time
import unittest
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from returns.result import Failure

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.forwarding import codec
from damasktide.forwarding.destinations import destination_finders
from damasktide.forwarding.request_service import RequestService, RequestServiceDependencies
from damasktide.forwarding.router import Router
from damasktide.forwarding.slot_lease import SlotLease
from damasktide.forwarding.tests.samples import booking
from damasktide.limits.messages import Admitted, Leave
from damasktide.peering.calls import PeerError

PEER = "oyo-a-1#1"


class PeerRequestTest(unittest.TestCase):
    def peer_and_own_timeouts(self, timeout_s: float) -> tuple[float, float]:
        """Return the peer's time to run the request, and how long this instance waits for it."""
        timeouts: list[tuple[float, float]] = []

        def call(_host: str, _port: int, _kind: str, body: bytes, wait_s: float) -> Any:
            remaining_s = codec.decode_request(body).request.deadline - time.monotonic()
            timeouts.append((remaining_s, wait_s))
            return Failure(PeerError(False, "no reply"))

        alive = [SimpleNamespace(instance_id=PEER, host="127.0.0.1", peer_port=1)]
        view = SimpleNamespace(value=SimpleNamespace(alive=alive))
        dependencies = cast(
            RequestServiceDependencies,
            SimpleNamespace(view=view, peers=SimpleNamespace(call=call)),
        )
        result = RequestService(dependencies)._forward(booking(timeout_s), PEER)
        assert isinstance(result, Refusal)
        self.assertIs(result.code, RefusalCode.OUTCOME_UNKNOWN)
        return timeouts[0]

    def test_peer_times_out_first(self) -> None:
        """Guards against a peer's "not run" refusal that arrives after the caller's deadline."""
        peer_s, own_s = self.peer_and_own_timeouts(3.0)
        self.assertGreaterEqual(own_s - peer_s, 0.09)
        peer_s, own_s = self.peer_and_own_timeouts(0.1)
        self.assertGreater(peer_s, 0.05)
        self.assertGreater(own_s, peer_s)


class OwnerWaitTest(unittest.TestCase):
    def test_deadline_during_the_wait_for_an_owner_is_refused_as_no_owner(self) -> None:
        """Guards against a missing owner that is reported as a deadline that was too short."""
        budget = SimpleNamespace(tell=lambda _message: None)
        router = Router(
            {"batch-desk": cast(Any, None)},
            cast(Any, None),
            cast(Any, budget),
            lambda _reason: None,
        )
        lease = mock.Mock(**{"acquire.return_value": None})
        owner_patch = mock.patch("damasktide.forwarding.router.owner_of_request")
        owner_patch.start()
        self.addCleanup(owner_patch.stop)
        finder = destination_finders._item_by_key[True]
        self.addCleanup(destination_finders._item_by_key.__setitem__, True, finder)
        no_owner = Refusal(RefusalCode.NO_OWNER, "none")
        destination_finders._item_by_key[True] = lambda _route, _admitted, _tried: no_owner
        self.assertEqual(router.route(booking(0.2), lease), no_owner)
        late_result = router.route(booking(-0.1), lease)
        assert isinstance(late_result, Refusal)
        self.assertIs(late_result.code, RefusalCode.DEADLINE_TOO_SHORT)

    def test_slot_is_released_while_a_request_waits_for_an_owner(self) -> None:
        """Guards against requests for a lost owner that hold slots while they wait."""
        limiter = mock.Mock()
        limiter.enter.side_effect = [Admitted(1), Admitted(2)]
        lease = SlotLease(limiter, booking(1.0), counts_volume=True)
        self.assertIsNone(lease.acquire("s1"))
        self.assertIsNone(lease.acquire("s1"))
        lease.release()
        lease.release()
        self.assertIsNone(lease.acquire("s2"))
        volumes = [call.args[4] for call in limiter.enter.call_args_list]
        self.assertEqual(volumes, [True, False])
        limiter.tell.assert_called_once_with(Leave(1))


if __name__ == "__main__":
    unittest.main()
