"""Request handling of the gateway, from a caller's connection to the response."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from time import monotonic

from loguru import logger

from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.link_budget import LinkBudget
from damasktide.dispatch.retry_allowance import RetryAllowance, RetryLimits
from damasktide.gateway.attempts import Attempts, OnResponse, OpenCall
from damasktide.gateway.call import (
    CONNECT_TIMEOUT_S,
    CROSS_REGION_CONNECT_TIMEOUT_S,
    MAX_BUFFERED_RESPONSE_BYTES,
    TargetCall,
    TargetResponse,
)
from damasktide.gateway.dialect import Dialect, RequestMetadata
from damasktide.gateway.exchange import CallerExchange
from damasktide.gateway.pipeline import Pipeline, PipelinedRequest, PipelineRules
from damasktide.gateway.pipeline_order import BufferBudget
from damasktide.gateway.refusals import Reason, Refusal, not_run_refusal
from damasktide.gateway.request import GatewayRequest, deadlines, read_body
from damasktide.gateway.telemetry import GatewayTelemetry
from damasktide.http1.caller_connection import CallerConnection
from damasktide.http1.errors import BadRequestError, CallError, CallFailure
from damasktide.http1.messages import (
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_response,
    end_to_end_fields,
)
from damasktide.http1.pool import ConnectionPool
from damasktide.http1.server_connection import ServerConnection
from damasktide.keyspace.key_map import KeyMap
from damasktide.lifecycle.state import StopTimes
from damasktide.organisations.organisation import CallerIdentity, Organisation
from damasktide.quotas.messages import MAX_WAIT_S
from damasktide.routing.configuration import Route, RoutingConfiguration, Service
from damasktide.routing.splitter import TrafficSplitter
from damasktide.routing.task import RoutingActivated
from damasktide.targets.target import TargetEntry

STARTING_RETRY_AFTER_S = 0.5
ROUTE_CHANGED_RETRY_AFTER_S = 0.1
# Targets cut off a response of which nothing has been read for some seconds. The start of it that
# was kept must not be sent then, because the rest would be missing.
MAX_UNREAD_S = 1.0
_CONNECTION_CLOSE = (b"Connection", b"close")


class UnsentResponseError(Exception):
    """The response of a target was lost before any part of it was sent to the caller.

    Parameters
    ----------
    cause
        How the response was lost.
    """

    def __init__(self, cause: CallError) -> None:
        super().__init__(str(cause))
        self.cause = cause


@dataclass(frozen=True, slots=True)
class GatewayContext:
    """Dependencies that all connections share.

    Attributes
    ----------
    dialect
        Reads and writes header fields.
    pool
        Connections to targets.
    dispatcher
        Selects targets.
    routing
        Returns the active routing configuration, or None before the first one.
    maps
        Returns the key maps of keyed services by service name.
    instance_count
        Returns the number of instances that share the retry budget.
    stop_times
        Returns the times of the graceful stop, or None before it has begun. During the stop,
        callers are asked to reconnect, which takes them to another instance.
    on_started, on_finished
        Called at the beginning and at the end of each request.
    retry_limits
        Limits on retries and hedges over all instances.
    telemetry
        Counts and logs how requests end.
    link
        Bandwidth budget of the network link of this machine.
    on_response
        Called with the incarnation of a target and the metadata of each of its responses.
    on_request
        Called with each request before its first attempt.
    pipeline_budget
        Memory for pipelined requests.
    take_token
        Takes a token of an organisation, for which it waits at most the given seconds; returns
        0.0, or the seconds until one can be expected.
    refund_token
        Returns a token that was not used.
    """

    dialect: Dialect
    pool: ConnectionPool
    dispatcher: Dispatcher
    routing: Callable[[], RoutingActivated | None]
    maps: Callable[[], Mapping[str, KeyMap]]
    instance_count: Callable[[], int]
    stop_times: Callable[[], StopTimes | None]
    on_started: Callable[[], None]
    on_finished: Callable[[], None]
    retry_limits: RetryLimits
    telemetry: GatewayTelemetry
    link: LinkBudget = field(default_factory=lambda: LinkBudget(0.0))
    on_response: OnResponse = lambda incarnation, metadata: None
    on_request: Callable[[GatewayRequest], None] = lambda request: None
    pipeline_budget: BufferBudget = field(default_factory=lambda: BufferBudget.for_machine(0.0))
    take_token: Callable[[Organisation, float], float] = lambda organisation, max_wait_s: 0.0
    refund_token: Callable[[Organisation], None] = lambda organisation: None

    def is_stopping(self) -> bool:
        """Return whether the graceful stop has begun."""
        return self.stop_times() is not None


class GatewayHandler:
    """Serves callers' connections, each in its own greenlet.

    Parameters
    ----------
    context
        Dependencies that all connections share.

    Attributes
    ----------
    in_flight
        Number of requests that are being served.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._splitter = TrafficSplitter()
        self._allowance_by_service: dict[str, RetryAllowance] = {}
        self._pipeline_rules = PipelineRules(
            self._may_pipeline,
            self._serve_pipelined,
            context.is_stopping,
            context.telemetry.record_pipelined,
            context.telemetry.record_pipeline_bound,
            context.pipeline_budget,
        )
        self._unanswered_attempts: set[Attempts] = set()
        self.in_flight = 0

    def abort_unanswered(self) -> None:
        """Abort requests to which no target has responded; their callers get a refusal."""
        for attempts in list(self._unanswered_attempts):
            attempts.abort_by_stop()

    def serve(self, caller: CallerConnection) -> None:
        """Serve the requests of one connection until it ends."""
        pipeline = Pipeline(caller, self._pipeline_rules)
        caller.read_ahead = pipeline
        try:
            while self._serve_next(caller, pipeline):
                pass
        finally:
            pipeline.close()

    def _serve_next(self, caller: CallerConnection, pipeline: Pipeline) -> bool:
        """Serve the next request; return whether the connection can carry another one."""
        try:
            head = caller.read_request()
        except BadRequestError as error:
            self._reject(caller, error)
            head = None
        if head is None:
            caller.finish_sending()
            return False
        # The process must not end before the caller has got the responses.
        with self._counted_in_flight():
            if self._serve_request(caller, head) and pipeline.finish_first():
                return True
            pipeline.close()
            caller.finish_sending()
            return False

    def _serve_pipelined(self, request: PipelinedRequest, head: RequestHead) -> bool:
        with self._counted_in_flight():
            keeps_alive = self._serve_request(request, head)
            request.flush()
            return keeps_alive

    @contextmanager
    def _counted_in_flight(self) -> Iterator[None]:
        self.in_flight += 1
        self._context.on_started()
        try:
            yield
        finally:
            self.in_flight -= 1
            self._context.on_finished()

    def _may_pipeline(self, head: RequestHead) -> bool:
        """Return whether a request may be served at the same time as earlier ones."""
        routing = self._context.routing()
        if routing is None:
            return False
        try:
            host = self._context.dialect.request_metadata(head).host
        except BadRequestError:
            return False
        route = routing.table.find(host, head.target.decode("latin-1"))
        return route is not None and route.kind.is_idempotent

    def _serve_request(self, caller: CallerExchange, head: RequestHead) -> bool:
        """Serve one request; return whether the connection can carry another one."""
        try:
            metadata = self._context.dialect.request_metadata(head)
            admitted = self._admit(caller, head, metadata)
        except BadRequestError as error:
            self._reject(caller, error)
            return False
        if isinstance(admitted, GatewayRequest) and not _may_start(caller, admitted):
            admitted = not_run_refusal(
                Reason.NOT_RUN, "the route has changed", ROUTE_CHANGED_RETRY_AFTER_S
            )
        if isinstance(admitted, Refusal):
            keeps_alive = self._keeps_alive(caller, head)
            self._send_refusal(caller, metadata, admitted, keeps_alive)
            self._context.telemetry.record_refusal(metadata.request_id, None, admitted)
            return keeps_alive
        return self._forward(caller, admitted)

    def _keeps_alive(self, caller: CallerExchange, head: RequestHead) -> bool:
        """Return whether the connection stays open after the response to a request.

        During a planned stop it stays open for the requests that were forwarded behind it.
        """
        if not head.keeps_alive or not caller.is_body_read:
            return False
        return not self._context.is_stopping() or caller.has_requests_behind

    def _admit(
        self, caller: CallerExchange, head: RequestHead, metadata: RequestMetadata
    ) -> GatewayRequest | Refusal:
        routing = self._context.routing()
        if routing is None:
            return not_run_refusal(Reason.STARTING, "no configuration yet", STARTING_RETRY_AFTER_S)
        route = routing.table.find(metadata.host, head.target.decode("latin-1"))
        if route is None:
            return Refusal(404, Reason.NO_ROUTE, "no route for this host and path")
        identity = _identify(routing.configuration, route, metadata)
        if isinstance(identity, Refusal):
            return identity
        organisation = identity.organisation if identity is not None else None
        regions = route.regions
        if organisation is not None and organisation.regions:
            regions = regions & organisation.regions if regions else organisation.regions
            if not regions:
                return Refusal(403, Reason.NO_REGION, "no region may serve this request")
        if organisation is not None and (wait_s := self._take_token(organisation)):
            detail = f"the usage cap of {organisation.name} is reached"
            return Refusal(429, Reason.OVER_CAP, detail, wait_s)
        service_name = self._splitter.choose(route)
        service = routing.configuration.service_by_name.get(service_name, Service(service_name))
        self._allowance(service_name).count_request(monotonic())
        wait_s = self._context.link.reserve(monotonic(), route.name)
        if wait_s:
            self._refund_tokens(organisation, 1)
            return not_run_refusal(Reason.OVERLOADED, "the link is full", wait_s)
        try:
            body = read_body(caller)
        except BadRequestError:
            self._refund_tokens(organisation, 1)
            raise
        deadline, caller_deadline = deadlines(route, metadata, caller.received_at)
        rank = routing.table.rank(route, service_name, organisation)
        return GatewayRequest(
            head,
            metadata,
            body,
            route,
            service,
            rank,
            caller.received_at,
            deadline,
            caller_deadline,
            regions,
            identity,
        )

    def _forward(self, caller: CallerExchange, request: GatewayRequest) -> bool:
        self._context.on_request(request)
        attempts = Attempts(
            request,
            self._context.dispatcher,
            self._allowance(request.service.name),
            self._context.maps,
            self._context.instance_count,
            self._call_opener(caller),
            self._context.on_response,
            lambda max_wait_s: not self._take_token(request.organisation, max_wait_s),
            self._context.stop_times,
        )
        try:
            result = self._run_attempts(caller, request, attempts, attempts.run)
            return self._respond(caller, request, attempts, result)
        finally:
            self._refund_tokens(request.organisation, attempts.unused_tokens)

    def _run_attempts(
        self,
        caller: CallerExchange,
        request: GatewayRequest,
        attempts: Attempts,
        run: Callable[[], TargetResponse | Refusal],
    ) -> TargetResponse | Refusal:
        """Return the result of ``run``, which a disconnect or the end of a stop aborts."""
        self._unanswered_attempts.add(attempts)
        caller.watch_for_disconnect(
            attempts.abort, request.route.kind.is_idempotent and request.head.keeps_alive
        )
        try:
            return run()
        finally:
            self._unanswered_attempts.discard(attempts)
            caller.stop_watching()

    def _respond(
        self,
        caller: CallerExchange,
        request: GatewayRequest,
        attempts: Attempts,
        result: TargetResponse | Refusal,
    ) -> bool:
        """Send the result of a request; return whether the connection can carry another one."""
        if caller.is_disconnected:
            if attempts.call is not None:
                attempts.call.close()
            self._context.telemetry.record_disconnect(request)
            return False
        keeps_alive = self._keeps_alive(caller, request.head)
        if isinstance(result, Refusal):
            self._send_refusal(caller, request.metadata, result, keeps_alive)
            self._context.telemetry.record_refusal(request.metadata.request_id, request, result)
            return keeps_alive
        try:
            keeps_alive = self._send_response(caller, request, attempts.call, result, keeps_alive)
        except UnsentResponseError as error:
            cause = error.cause
            self._context.telemetry.record_unsent_response(request, str(cause))
            result = self._run_attempts(
                caller, request, attempts, lambda: attempts.run_again(cause)
            )
            return self._respond(caller, request, attempts, result)
        self._context.telemetry.record_response(request, result)
        return keeps_alive

    def _send_response(
        self,
        caller: CallerExchange,
        request: GatewayRequest,
        call: TargetCall | None,
        response: TargetResponse,
        keeps_alive: bool,
    ) -> bool:
        head = response.head
        if head.status < 300:
            length = head.content_length
            self._context.link.learn(request.route.name, length or len(response.body))
        fields = list(end_to_end_fields(head.headers))
        if not keeps_alive:
            fields.append(_CONNECTION_CLOSE)
        if response.is_complete:
            caller.send(
                _encode_complete_response(request.head.method, head, fields, response.body)
            )
            return keeps_alive
        assert call is not None
        return self._stream_response(caller, request, call, response, fields, keeps_alive)

    def _stream_response(
        self,
        caller: CallerExchange,
        request: GatewayRequest,
        call: TargetCall,
        response: TargetResponse,
        fields: list[tuple[bytes, bytes]],
        keeps_alive: bool,
    ) -> bool:
        """Forward a long response while it arrives; return whether the connection stays open."""
        head = response.head
        length = head.content_length
        if length is not None:
            fields.append((b"Content-Length", b"%d" % length))
        else:
            fields.append((b"Transfer-Encoding", b"chunked"))
        encode = (lambda data: data) if length is not None else encode_chunk
        try:
            caller.send(encode_response(head.status, head.reason, fields, None))
            caller.send(encode(response.body))
            for data in _paced_body(caller, call, request.caller_deadline):
                caller.send(encode(data))
            if length is None:
                caller.send(encode_chunk(b""))
        except (CallError, OSError) as error:
            call.close()
            if isinstance(error, CallError) and caller.discard_unsent():
                raise UnsentResponseError(error) from error
            self._context.telemetry.record_truncated_response(request, str(error))
            # The head has been sent, so only closing the connection tells the caller that the
            # response is incomplete.
            return False
        call.finish()
        return keeps_alive

    def _send_refusal(
        self,
        caller: CallerExchange,
        metadata: RequestMetadata,
        refusal: Refusal,
        keeps_alive: bool,
    ) -> None:
        fields = list(
            self._context.dialect.refusal_fields(metadata.request_id, refusal.retry_after_s)
        )
        fields.append((b"Content-Type", b"application/problem+json"))
        if not keeps_alive:
            fields.append(_CONNECTION_CLOSE)
        caller.send(encode_response(refusal.status, refusal.phrase, fields, refusal.body()))

    def _reject(self, caller: CallerExchange, error: BadRequestError) -> None:
        refusal = Refusal(error.status, Reason.MALFORMED, error.detail)
        self._context.telemetry.record_refusal(None, None, refusal)
        try:
            caller.send_plain(error.status, refusal.phrase, error.detail)
        except OSError as send_error:
            logger.debug("cannot send the response to a malformed request: {}", send_error)

    def _call_opener(self, caller: CallerExchange) -> OpenCall:
        if caller.max_response_bytes is None:
            return self._open_call
        return partial(self._open_call, max_buffered_bytes=caller.max_response_bytes)

    def _open_call(
        self,
        request: GatewayRequest,
        entry: TargetEntry,
        used_connections: set[ServerConnection],
        max_buffered_bytes: int = MAX_BUFFERED_RESPONSE_BYTES,
    ) -> TargetCall:
        return TargetCall(
            self._context.pool,
            self._context.dialect,
            entry,
            request.head,
            request.metadata.request_id,
            CONNECT_TIMEOUT_S
            if self._context.dispatcher.is_in_own_region(entry.domain)
            else CROSS_REGION_CONNECT_TIMEOUT_S,
            used_connections,
            request.identity,
            max_buffered_bytes,
        )

    def _take_token(
        self, organisation: Organisation | None, max_wait_s: float = MAX_WAIT_S
    ) -> float:
        if organisation is None:
            return 0.0
        return self._context.take_token(organisation, max_wait_s)

    def _refund_tokens(self, organisation: Organisation | None, count: int) -> None:
        if organisation is not None:
            for _ in range(count):
                self._context.refund_token(organisation)

    def _allowance(self, service: str) -> RetryAllowance:
        allowance = self._allowance_by_service.get(service)
        if allowance is None:
            allowance = RetryAllowance(self._context.retry_limits)
            self._allowance_by_service[service] = allowance
        return allowance


def _may_start(caller: CallerExchange, request: GatewayRequest) -> bool:
    """Return whether a request may start now.

    The kind of its route may have changed since a pipelined request was read.
    """
    return not isinstance(caller, PipelinedRequest) or request.route.kind.is_idempotent


def _paced_body(caller: CallerExchange, call: TargetCall, until: float) -> Iterator[bytes]:
    """Yield the rest of a body, no faster than it may be sent or kept.

    Raises
    ------
    CallError
        If the body is not complete by ``until``, or has been left unread for too long.
    """
    parts = call.read_remaining_body(until)
    while True:
        waited_s = caller.wait_to_send()
        if waited_s >= MAX_UNREAD_S:
            raise CallError(CallFailure.CLOSED, f"not read from the target for {waited_s:.1f} s")
        data = next(parts, None)
        if data is None:
            return
        yield data


def _identify(
    configuration: RoutingConfiguration, route: Route, metadata: RequestMetadata
) -> CallerIdentity | Refusal | None:
    """Return who sent a request, None without organisations, or a refusal for an unknown key."""
    if not configuration.organisations:
        return None
    organisation = configuration.organisations.find(metadata.api_key)
    if organisation is None and route.requires_key:
        return Refusal(401, Reason.UNAUTHENTICATED, "the API key is missing or unknown")
    return CallerIdentity(organisation)


def _encode_complete_response(
    method: bytes, head: ResponseHead, fields: list[tuple[bytes, bytes]], body: bytes
) -> bytes:
    if method == b"HEAD" or head.status in (204, 304):
        length = head.field(b"content-length")
        if length is not None:
            fields.append((b"Content-Length", length))
        return encode_response(head.status, head.reason, fields, None)
    return encode_response(head.status, head.reason, fields, body)
