"""Several attempts of one request at the same target, over loopback sockets."""

import unittest
from collections import Counter
from time import monotonic

from gevent import sleep, socket

from damasktide.dispatch.messages import CallOutcome, TargetQuery, TargetSelection
from damasktide.dispatch.retry_allowance import RetryAllowance, RetryLimits
from damasktide.gateway.attempts import Attempts
from damasktide.gateway.call import TargetCall, TargetResponse
from damasktide.gateway.dialect import RequestMetadata
from damasktide.gateway.request import Body, GatewayRequest
from damasktide.gateway.tests.fake_target import (
    PlainDialect,
    request_ids,
    response,
    running_server,
)
from damasktide.http1.messages import RequestHead
from damasktide.http1.pool import Address, ConnectionPool
from damasktide.routing.configuration import Route, RouteKind, Service, WeightedService
from damasktide.targets.target import TargetEntry, TargetState

TIMEOUT_S = 5.0
SERVICE = Service("vault")


class OnlyTarget:
    """Selects the same target each time, as for a request whose key has one owner."""

    def __init__(self, address: Address) -> None:
        self.entry = TargetEntry("t", 1, SERVICE.name, "a1", address, 1, TargetState.READY)
        self.outcomes: list[CallOutcome] = []

    def choose(self, now: float, query: TargetQuery) -> TargetSelection:
        return TargetSelection(self.entry, 1.0, 0.0)

    def record_outcome(self, now: float, outcome: CallOutcome) -> None:
        self.outcomes.append(outcome)


class StutteringTarget:
    """Rejects the first attempt of each request and runs the next ones.

    Sends a second copy of the rejection where the next response on that connection is expected.
    """

    def __init__(self) -> None:
        self.runs: Counter[bytes] = Counter()
        self._rejected_ids: set[bytes] = set()

    def handle(self, sock: socket.socket, address: object) -> None:
        late_copy = b""
        for request_id in request_ids(sock):
            sock.sendall(late_copy)
            late_copy = b""
            if request_id in self._rejected_ids:
                self.runs[request_id] += 1
                # The copy arrives first, as the target works on the request meanwhile.
                sleep(0.05)
                sock.sendall(response(request_id, b"booked"))
                continue
            self._rejected_ids.add(request_id)
            late_copy = response(request_id, b"", status=503)
            sock.sendall(late_copy)


class TestRetryAtTheSameTarget(unittest.TestCase):
    """The only target of a request rejects it and later sends a second copy of the rejection.

    All attempts of a request share its id, so the id does not tell the copy from the response to
    the next attempt.
    """

    def setUp(self) -> None:
        self.target = StutteringTarget()
        self.pool = ConnectionPool()
        self.addCleanup(self.pool.close_all)

    def send(self, address: Address, request_id: bytes, max_attempts: int) -> int:
        head = RequestHead(b"POST", b"/", ((b"Id", request_id),))
        services = (WeightedService(SERVICE.name, 1.0),)
        route = Route("r", "h", "/", RouteKind.NON_IDEMPOTENT, services, max_attempts=max_attempts)
        metadata = RequestMetadata(request_id, TIMEOUT_S, None, "h")
        now = monotonic()
        until = now + TIMEOUT_S
        attempts = Attempts(
            GatewayRequest(head, metadata, Body(b""), route, SERVICE, 0, now, until, until),
            OnlyTarget(address),  # type: ignore[arg-type]
            RetryAllowance(RetryLimits(slack=10.0)),
            dict,
            lambda: 1,
            lambda request, entry, *rest: TargetCall(
                self.pool, PlainDialect(), entry, head, request_id, TIMEOUT_S, *rest
            ),
        )
        result = attempts.run()
        return result.head.status if isinstance(result, TargetResponse) else result.status

    def test_copy_of_a_rejection_is_not_the_answer_to_the_next_attempt(self) -> None:
        """Guards against a caller who is told that a booking has not run while it runs."""
        with running_server(self.target.handle) as address:
            self.assertEqual(self.send(address, b"booking", max_attempts=2), 200)

    def test_copy_of_a_rejection_does_not_lead_to_a_further_attempt(self) -> None:
        """Guards against a booking that runs twice."""
        with running_server(self.target.handle) as address:
            self.send(address, b"booking", max_attempts=3)
        self.assertEqual(self.target.runs[b"booking"], 1)

    def test_connection_of_a_rejected_attempt_carries_other_requests(self) -> None:
        """Guards against a new connection for each rejection, which costs the target time."""
        opened: list[Address] = []
        self.pool = ConnectionPool(opened.append)
        with running_server(self.target.handle) as address:
            self.send(address, b"first", max_attempts=2)
            self.send(address, b"second", max_attempts=2)
        self.assertEqual(len(opened), 2)
