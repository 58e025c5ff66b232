"""Several attempts of one request at the same target, over loopback sockets."""

import unittest
from collections import Counter
from collections.abc import Callable, Iterator
from time import monotonic

from gevent import sleep, socket

from damasktide.dispatch.messages import CallOutcome, TargetQuery, TargetSelection
from damasktide.dispatch.retry_allowance import RetryAllowance, RetryLimits
from damasktide.gateway.attempts import Attempts
from damasktide.gateway.call import TargetCall, TargetResponse
from damasktide.gateway.dialect import RequestMetadata
from damasktide.gateway.refusals import Refusal
from damasktide.gateway.request import Body, GatewayRequest
from damasktide.gateway.tests.fake_target import PlainDialect, request_ids, response, target
from damasktide.http1.errors import BadRequestError
from damasktide.http1.messages import RequestHead
from damasktide.http1.pool import Address, ConnectionPool
from damasktide.http1.tests.loopback_server import running_server
from damasktide.lifecycle.state import StopTimes
from damasktide.routing.configuration import Route, RouteKind, Service, WeightedService
from damasktide.targets.target import TargetEntry, TargetState

TIMEOUT_S = 5.0
SERVICE = Service("vault")
NO_BODY = Body(b"")


class OnlyTarget:
    """Selects the same target each time, as for a request whose key has one owner."""

    def __init__(self, address: Address) -> None:
        self.entry = TargetEntry("t", 1, SERVICE.name, "a1", address, 1, TargetState.READY)
        self.outcomes: list[CallOutcome] = []

    def choose(self, now: float, query: TargetQuery) -> TargetSelection:
        return TargetSelection(self.entry, 1.0, 0.0)

    def record_outcome(self, now: float, outcome: CallOutcome) -> None:
        self.outcomes.append(outcome)


def request(
    request_id: bytes,
    max_attempts: int = 2,
    body: Body = NO_BODY,
    kind: RouteKind = RouteKind.NON_IDEMPOTENT,
) -> GatewayRequest:
    services = (WeightedService(SERVICE.name, 1.0),)
    route = Route("r", "h", "/", kind, services, max_attempts=max_attempts)
    head = RequestHead(b"POST", b"/", ((b"Id", request_id),))
    metadata = RequestMetadata(request_id, TIMEOUT_S, None, "h")
    now = monotonic()
    until = now + TIMEOUT_S
    return GatewayRequest(head, metadata, body, route, SERVICE, 0, now, until, until)


def attempts(
    pool: ConnectionPool,
    dispatcher: OnlyTarget,
    request: GatewayRequest,
    take_token: Callable[[float], bool] = lambda max_wait_s: True,
    stop_times: StopTimes | None = None,
    dialect: PlainDialect | None = None,
) -> Attempts:
    return Attempts(
        request,
        dispatcher,  # type: ignore[arg-type]
        RetryAllowance(RetryLimits(slack=10.0)),
        dict,
        lambda: 1,
        lambda request, entry, *rest: TargetCall(
            pool,
            dialect or PlainDialect(),
            entry,
            request.head,
            request.metadata.request_id,
            TIMEOUT_S,
            *rest,
        ),
        take_token=take_token,
        stop_times=lambda: stop_times,
    )


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
        booking = request(request_id, max_attempts)
        result = attempts(self.pool, OnlyTarget(address), booking).run()
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


class TestTokens(unittest.TestCase):
    """Tokens of the organisation that the attempts of a request use."""

    def setUp(self) -> None:
        self.tokens_taken = 0
        self.received = 0

    def take_token(self, max_wait_s: float) -> bool:
        self.tokens_taken += 1
        return False

    def lose_responses(self, sock: socket.socket, address: object) -> None:
        for _ in request_ids(sock):
            self.received += 1
            return

    def test_rejected_attempt_leaves_its_token_to_the_next_one(self) -> None:
        with running_server(StutteringTarget().handle) as address:
            run = attempts(
                ConnectionPool(), OnlyTarget(address), request(b"booking"), self.take_token
            )
            self.assertIsInstance(run.run(), TargetResponse)
        self.assertEqual((self.tokens_taken, run.unused_tokens), (0, 0))

    def test_request_that_may_have_run_is_not_sent_again_without_a_token(self) -> None:
        """Guards against retries that exceed the cap of the organisation."""
        read = request(b"read", kind=RouteKind.IDEMPOTENT)
        with running_server(self.lose_responses) as address:
            run = attempts(ConnectionPool(), OnlyTarget(address), read, self.take_token)
            self.assertIsInstance(run.run(), Refusal)
        self.assertEqual((self.received, self.tokens_taken, run.unused_tokens), (1, 1, 0))

    def test_request_that_was_not_sent_keeps_its_token(self) -> None:
        target = OnlyTarget(("127.0.0.1", 9))
        run = attempts(ConnectionPool(), target, request(b"r"), self.take_token)
        run.abort()
        run.run()
        self.assertEqual(run.unused_tokens, 1)


class TestUpload(unittest.TestCase):
    """A body that is sent while it arrives from the caller, and that does not end."""

    def test_caller_that_stops_sending_ends_the_attempt(self) -> None:
        """Guards against counting the call as in flight at its target for good."""

        def remaining_parts() -> Iterator[bytes]:
            yield b"second part"
            raise BadRequestError(408, "the body did not arrive in time")

        received: list[bytes] = []

        def handle(sock: socket.socket, address: object) -> None:
            received.extend(iter(lambda: sock.recv(65_536), b""))
            received.append(b"")

        with running_server(handle) as address:
            dispatcher = OnlyTarget(address)
            body = Body(b"first part", remaining_parts())
            result = attempts(ConnectionPool(), dispatcher, request(b"upload", body=body)).run()
            assert isinstance(result, Refusal)
            # A status that states "not run" would be wrong, as the target has the first part.
            self.assertEqual((result.status, result.guarantees_not_run), (502, False))
            self.assertEqual([outcome.is_abandoned for outcome in dispatcher.outcomes], [True])
            sleep(0.05)
            self.assertEqual(received[-1], b"", "the connection to the target is still open")


class TestStatusOutsideTheDefinedRange(unittest.TestCase):
    """A target in trouble responds with the status 000, then with 200 on the same connection."""

    def setUp(self) -> None:
        self.pool = ConnectionPool()
        self.addCleanup(self.pool.close_all)
        self.arrivals: list[bytes] = []

    def respond(self, request_id: bytes) -> Iterator[bytes]:
        self.arrivals.append(request_id)
        yield response(request_id, b"", status=0).replace(b" 0 ", b" 000 ")
        yield response(request_id, b"late")

    def test_booking_fails_at_once_and_may_have_run(self) -> None:
        """Guards against 000 or the late 200 as the answer, and against a second execution."""
        started_at = monotonic()
        with target(self.respond) as address:
            result = attempts(self.pool, OnlyTarget(address), request(b"booking")).run()
        assert isinstance(result, Refusal)
        self.assertEqual((result.status, result.guarantees_not_run), (502, False))
        self.assertEqual(self.arrivals, [b"booking"])
        self.assertLess(monotonic() - started_at, TIMEOUT_S / 2)
