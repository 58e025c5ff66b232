import time
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from unittest import mock

from gevent import sleep, socket

from damasktide.admission.refusals import Outcome
from damasktide.admission.request import BackendResponse, CallerRequest
from damasktide.admission.tests.samples import BOOKING
from damasktide.forwarding.failures import FailureKind, UpstreamFailure, refusal_for
from damasktide.forwarding.upstream import Destination, Upstream
from damasktide.http1.tests.loopback_server import running_server


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


def response(request_id: str, status: int, is_not_run: bool = False) -> bytes:
    fields = ["Date: Sat, 05 Dec 2026 12:00:00 GMT", f"Idempotency-Key: {request_id}"]
    fields += ["Damasktide-Not-Run: 1"] if is_not_run else []
    lines = (f"HTTP/1.1 {status} X", *fields, "Content-Length: 2", "", "ok")
    return "\r\n".join(lines).encode()


# Returns what a backend server sends, given the id of the request and its number on a connection.
Respond = Callable[[str, int], bytes]


@contextmanager
def backend_server(respond: Respond) -> Iterator[Destination]:
    """Run a backend server whose responses a test chooses."""

    def handle(sock: socket.socket, address: object) -> None:
        number = 0
        while data := sock.recv(65_536):
            request_id = data.partition(b"Idempotency-Key: ")[2].partition(b"\r\n")[0]
            sock.sendall(respond(request_id.decode(), number))
            number += 1

    with running_server(handle) as (host, port):
        yield Destination("s", host, port)


class LateCopyTest(unittest.TestCase):
    """A backend server sends a second copy of a response where the next one is expected."""

    def setUp(self) -> None:
        self.upstream = Upstream()
        self.addCleanup(self.upstream.close)

    def send(self, destination: Destination, request_id: str) -> BackendResponse | UpstreamFailure:
        result = self.upstream.send(replace(BOOKING, request_id=request_id), destination, 0.1)
        # The connection is taken again only if nothing has arrived on it meanwhile.
        sleep(0.01)
        return result

    def test_refusal_of_another_request_does_not_state_that_this_one_was_not_run(self) -> None:
        """Guards against a booking that runs while its caller is told that it has not."""

        def respond(request_id: str, number: int) -> bytes:
            own = response(request_id, 200)
            return response("r0", 503, is_not_run=True) + own if number else own

        with backend_server(respond) as destination:
            self.send(destination, "r1")
            failure = self.send(destination, "r2")
            self.assertEqual(failure, UpstreamFailure(FailureKind.WRONG_ANSWER, "s"))
            self.assertIsInstance(self.send(destination, "r3"), BackendResponse)

    def test_copy_of_a_refusal_is_not_the_answer_to_the_next_attempt(self) -> None:
        """Guards against matching the copy by the id, which the attempts of a request share."""
        refusal = response("r1", 503, is_not_run=True)
        is_refused = False

        def respond(request_id: str, number: int) -> bytes:
            nonlocal is_refused
            if not is_refused:
                is_refused = True
                return refusal
            own = response(request_id, 200)
            return refusal + own if number else own

        with backend_server(respond) as destination:
            failure = self.send(destination, "r1")
            self.assertEqual(failure, UpstreamFailure(FailureKind.SHED, "s"))
            self.assertIsInstance(self.send(destination, "r1"), BackendResponse)

    def test_part_of_a_copy_does_not_change_the_response_after_it(self) -> None:
        """Guards against a success for a booking that failed, or ran without being reported."""
        for copied, own_status in ((response("r1", 200), 500), (response("r1", 503, True), 200)):
            for length in range(1, len(copied) + 1):
                part = copied[:length]

                def respond(request_id: str, number: int) -> bytes:
                    own = response(request_id, own_status)  # noqa: B023
                    return part + own if number else response(request_id, 200)  # noqa: B023

                with self.subTest(part=part), backend_server(respond) as destination:
                    self.send(destination, "r1")
                    result = self.send(destination, "r2")
                    if isinstance(result, BackendResponse):
                        self.assertEqual((result.status, result.body), (own_status, b"ok"))
                    else:
                        self.assertFalse(result.kind.is_not_run)


if __name__ == "__main__":
    unittest.main()
