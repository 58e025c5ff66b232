"""Serves the requests of one caller's connection."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from time import monotonic

from loguru import logger

from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.link_budget import LinkBudget
from damasktide.dispatch.load_estimate import LoadReport
from damasktide.dispatch.retry_allowance import RetryAllowance, RetryLimits
from damasktide.gateway.admission import GatewayRequest, deadlines, read_body
from damasktide.gateway.attempts import Attempts
from damasktide.gateway.call import (
    CONNECT_TIMEOUT_S,
    FAR_CONNECT_TIMEOUT_S,
    TargetCall,
    TargetResponse,
)
from damasktide.gateway.dialect import Dialect, RequestMetadata
from damasktide.gateway.refusals import Reason, Refusal, not_run
from damasktide.gateway.telemetry import GatewayTelemetry
from damasktide.http1.caller_connection import CallerConnection
from damasktide.http1.errors import BadRequestError, CallError
from damasktide.http1.messages import (
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_response,
    end_to_end_fields,
)
from damasktide.http1.pool import ConnectionPool
from damasktide.keyspace.key_map import KeyMap
from damasktide.routing.configuration import Service
from damasktide.routing.splitter import TrafficSplitter
from damasktide.routing.task import RoutingActivated
from damasktide.targets.target import TargetEntry

STARTING_RETRY_S = 0.5
_CLOSE = (b"Connection", b"close")


@dataclass(frozen=True, slots=True)
class GatewayParts:
    """What all connections share.

    Attributes
    ----------
    dialect
        Reads and writes header fields.
    pool
        Connections to targets.
    dispatcher
        Chooses targets.
    routing
        Returns the configuration in force, or None.
    maps
        Returns the maps of keyed services.
    instances
        Returns how many instances share a budget.
    is_closing
        Returns whether callers are to open new connections elsewhere.
    on_started, on_finished
        Called at the beginning and at the end of each request.
    retry_limits
        Bound on further sends over all instances.
    telemetry
        Counts and logs how requests end.
    link
        Budget of the machine's own link.
    on_report
        Called with the life of a target and the load that it reports.
    """

    dialect: Dialect
    pool: ConnectionPool
    dispatcher: Dispatcher
    routing: Callable[[], RoutingActivated | None]
    maps: Callable[[], Mapping[str, KeyMap]]
    instances: Callable[[], int]
    is_closing: Callable[[], bool]
    on_started: Callable[[], None]
    on_finished: Callable[[], None]
    retry_limits: RetryLimits
    telemetry: GatewayTelemetry
    link: LinkBudget = field(default_factory=lambda: LinkBudget(0.0))
    on_report: Callable[[tuple[str, int], LoadReport], None] = lambda incarnation, report: None


class GatewayHandler:
    """Serves callers' connections, each in its own greenlet.

    Parameters
    ----------
    parts
        What all connections share.
    """

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts
        self._splitter = TrafficSplitter()
        self._allowance_by_service: dict[str, RetryAllowance] = {}
        self.in_flight = 0

    def serve(self, caller: CallerConnection) -> None:
        """Serve one request after the other until the connection ends."""
        while True:
            try:
                head = caller.read_request()
            except BadRequestError as error:
                self._reject(caller, error)
                return
            if head is None:
                return
            self.in_flight += 1
            self._parts.on_started()
            try:
                keeps_alive = self._serve_request(caller, head)
            finally:
                self.in_flight -= 1
                self._parts.on_finished()
            if not keeps_alive:
                return

    def _serve_request(self, caller: CallerConnection, head: RequestHead) -> bool:
        try:
            metadata = self._parts.dialect.request_metadata(head)
            found = self._admit(caller, head, metadata)
        except BadRequestError as error:
            self._reject(caller, error)
            return False
        keeps_alive = head.keeps_alive and caller.is_body_read and not self._parts.is_closing()
        if isinstance(found, Refusal):
            self._send_refusal(caller, metadata, found, keeps_alive)
            self._parts.telemetry.refused(metadata.request_id, None, found)
            return keeps_alive
        return self._forward(caller, found, keeps_alive)

    def _admit(
        self, caller: CallerConnection, head: RequestHead, metadata: RequestMetadata
    ) -> GatewayRequest | Refusal:
        in_force = self._parts.routing()
        if in_force is None:
            return not_run(Reason.STARTING, "no configuration yet", STARTING_RETRY_S)
        route = in_force.table.find(metadata.host, head.target.decode("latin-1"))
        if route is None:
            return Refusal(404, Reason.NO_ROUTE, "no route for this host and path")
        name = self._splitter.choose(route)
        service = in_force.configuration.service_by_name.get(name, Service(name))
        self._allowance(name).count_request(monotonic())
        wait_s = self._parts.link.reserve(monotonic(), route.name)
        if wait_s:
            return not_run(Reason.OVERLOADED, "the link is full", wait_s)
        body = read_body(caller)
        until, caller_until = deadlines(route, metadata, caller.received_at)
        rank = in_force.table.rank(route, name)
        return GatewayRequest(
            head, metadata, body, route, service, rank, caller.received_at, until, caller_until
        )

    def _forward(
        self, caller: CallerConnection, request: GatewayRequest, keeps_alive: bool
    ) -> bool:
        attempts = Attempts(
            request,
            self._parts.dispatcher,
            self._allowance(request.service.name),
            self._parts.maps,
            self._parts.instances,
            self._open_call,
            self._parts.on_report,
        )
        caller.watch(attempts.abort)
        try:
            result = attempts.run()
        finally:
            caller.unwatch()
        if caller.is_gone:
            if attempts.call is not None:
                attempts.call.close()
            self._parts.telemetry.caller_left(request)
            return False
        keeps_alive = keeps_alive and caller.is_body_read and not self._parts.is_closing()
        if isinstance(result, Refusal):
            self._send_refusal(caller, request.metadata, result, keeps_alive)
            self._parts.telemetry.refused(request.metadata.request_id, request, result)
            return keeps_alive
        keeps_alive = self._send_answer(caller, request, attempts.call, result, keeps_alive)
        self._parts.telemetry.answered(request, result)
        return keeps_alive

    def _send_answer(
        self,
        caller: CallerConnection,
        request: GatewayRequest,
        call: TargetCall | None,
        answer: TargetResponse,
        keeps_alive: bool,
    ) -> bool:
        head = answer.head
        if head.status < 300:
            length = head.content_length
            self._parts.link.learn(request.route.name, length or len(answer.body))
        fields = list(end_to_end_fields(head.headers))
        if not keeps_alive:
            fields.append(_CLOSE)
        if answer.is_whole:
            caller.send(_whole_response(request.head.method, head, fields, answer.body))
            return keeps_alive
        assert call is not None
        return self._stream(caller, request, call, answer, fields) and keeps_alive

    def _stream(
        self,
        caller: CallerConnection,
        request: GatewayRequest,
        call: TargetCall,
        answer: TargetResponse,
        fields: list[tuple[bytes, bytes]],
    ) -> bool:
        """Pass on a long response; return whether it is whole."""
        head = answer.head
        length = head.content_length
        if length is not None:
            fields.append((b"Content-Length", b"%d" % length))
        else:
            fields.append((b"Transfer-Encoding", b"chunked"))
        encode = (lambda data: data) if length is not None else encode_chunk
        try:
            caller.send(encode_response(head.status, head.reason, fields, None))
            caller.send(encode(answer.body))
            for data in call.rest_of_body(request.caller_until):
                caller.send(encode(data))
            if length is None:
                caller.send(encode_chunk(b""))
        except (CallError, OSError) as error:
            # The head has been sent, so only an early end of the connection tells the caller.
            call.close()
            self._parts.telemetry.broken_off(request, str(error))
            return False
        call.finish()
        return True

    def _send_refusal(
        self,
        caller: CallerConnection,
        metadata: RequestMetadata,
        refusal: Refusal,
        keeps_alive: bool,
    ) -> None:
        fields = list(
            self._parts.dialect.refusal_fields(metadata.request_id, refusal.retry_after_s)
        )
        fields.append((b"Content-Type", b"application/problem+json"))
        if not keeps_alive:
            fields.append(_CLOSE)
        caller.send(encode_response(refusal.status, refusal.phrase, fields, refusal.body()))

    def _reject(self, caller: CallerConnection, error: BadRequestError) -> None:
        refusal = Refusal(error.status, Reason.MALFORMED, error.detail)
        self._parts.telemetry.refused(None, None, refusal)
        try:
            caller.send_plain(error.status, refusal.phrase, error.detail)
        except OSError as send_error:
            logger.debug("caller left before it was told of its bad request: {}", send_error)

    def _open_call(self, request: GatewayRequest, entry: TargetEntry) -> TargetCall:
        return TargetCall(
            self._parts.pool,
            self._parts.dialect,
            entry,
            request.head,
            request.metadata.request_id,
            CONNECT_TIMEOUT_S
            if self._parts.dispatcher.is_near(entry.domain)
            else FAR_CONNECT_TIMEOUT_S,
        )

    def _allowance(self, service: str) -> RetryAllowance:
        allowance = self._allowance_by_service.get(service)
        if allowance is None:
            allowance = RetryAllowance(self._parts.retry_limits)
            self._allowance_by_service[service] = allowance
        return allowance


def _whole_response(
    method: bytes, head: ResponseHead, fields: list[tuple[bytes, bytes]], body: bytes
) -> bytes:
    if method == b"HEAD" or head.status in (204, 304):
        length = head.field(b"content-length")
        if length is not None:
            fields.append((b"Content-Length", length))
        return encode_response(head.status, head.reason, fields, None)
    return encode_response(head.status, head.reason, fields, body)
