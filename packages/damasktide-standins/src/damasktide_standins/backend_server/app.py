"""HTTP interface of the stand-in backend server."""

import errno
import json
import socket
import struct
import time
from collections.abc import Iterator
from dataclasses import asdict
from typing import Any

from bottle import Bottle, HTTPResponse, request
from gevent.event import AsyncResult, Event

from damasktide.runtime.clock import Clock
from damasktide_standins.backend_server.grants import Grant
from damasktide_standins.backend_server.requests import (
    Admission,
    AdmissionDecision,
    Ending,
    IncomingRequest,
    ServerSettings,
)
from damasktide_standins.backend_server.task import (
    AdmitRequest,
    ApplyGrant,
    Cancel,
    ExecutionTask,
    FinishRun,
    InjectFault,
    ReadFaults,
    ReadGrant,
    ReadLoad,
)

SOCKET_KEY = "damasktide.socket"
_METHODS = ["GET", "HEAD", "PUT", "POST", "DELETE"]
# SO_LINGER with a time-out of 0: closing the socket resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_STATUS_BY_DECISION = {
    AdmissionDecision.NOT_OWNER: 409,
    AdmissionDecision.SHED: 503,
    AdmissionDecision.DEADLINE_PASSED: 504,
    AdmissionDecision.CANCELLED: 409,
}


def build_app(settings: ServerSettings, task: ExecutionTask, clock: Clock) -> Bottle:
    """Return the WSGI application of one server."""
    # Exceptions propagate through bottle, so that a reset connection gets no error page.
    app = Bottle(catchall=False)
    _add_control_routes(app, settings, task)
    _add_fault_routes(app, task)
    handler = _RequestHandler(settings, task, clock)
    app.route("/<service>/<operation>", _METHODS, handler)
    app.route("/<service>/<operation>/<key:path>", _METHODS, handler)
    return app


def _add_control_routes(app: Bottle, settings: ServerSettings, task: ExecutionTask) -> None:
    def read_grant(service: str) -> HTTPResponse:
        if service != settings.service:
            return _json(404, {"error": "unknown service"})
        return _json(200, asdict(task.ask(ReadGrant())))

    def apply_grant() -> HTTPResponse:
        document = json.loads(request.body.read())
        if document["service"] != settings.service:
            return _json(404, {"error": "unknown service"})
        refusal, state = task.ask(ApplyGrant(_parse_grant(document)))
        if refusal is None:
            return _json(200, asdict(state))
        return _json(409, {**asdict(state), "error": refusal})

    app.route("/damasktide/grants/<service>", "GET", read_grant)
    app.route("/damasktide/grants", "POST", apply_grant)
    app.route("/damasktide/load", "GET", lambda: _json(200, asdict(task.ask(ReadLoad()))))
    app.route(
        "/damasktide/requests/<request_id>",
        "DELETE",
        lambda request_id: _json(200, {"cancelled": task.ask(Cancel(request_id))}),
    )


def _parse_grant(document: dict[str, Any]) -> Grant:
    return Grant(
        int(document["version"]),
        frozenset(document["shards"]),
        str(document["term"]),
        int(document["basis_ms"]),
        int(document["ttl_ms"]),
    )


def _add_fault_routes(app: Bottle, task: ExecutionTask) -> None:
    def inject(fault: str) -> HTTPResponse:
        body = request.body.read()
        try:
            task.ask(InjectFault(fault, json.loads(body) if body else {}))
        except (KeyError, ValueError) as error:
            return _json(400, {"error": str(error)})
        return _json(200, task.ask(ReadFaults()))

    app.route("/faults", "GET", lambda: _json(200, task.ask(ReadFaults())))
    app.route("/faults/<fault>", "POST", inject)


class _RequestHandler:
    """Handles forwarded requests: admission, run and response."""

    def __init__(self, settings: ServerSettings, task: ExecutionTask, clock: Clock) -> None:
        self._settings = settings
        self._task = task
        self._clock = clock

    def __call__(self, service: str, operation: str, key: str = "") -> HTTPResponse:
        if service != self._settings.service:
            return _not_run(404, "unknown service", request.get_header("Idempotency-Key", ""))
        body_length = len(request.body.read())
        incoming = self._parse_request(key)
        cancelled = Event()
        admission = self._admit(incoming, cancelled)
        if admission.decision is AdmissionDecision.RESET:
            _reset_connection()
        if admission.decision is not AdmissionDecision.RUN:
            status = _STATUS_BY_DECISION[admission.decision]
            return _not_run(status, admission.decision.value, incoming.request_id)
        result = self._run(admission, incoming, cancelled)
        if result.reset:
            _reset_connection()
        request_id = f"other-{admission.run_id}" if result.cross else incoming.request_id
        if result.ending is not Ending.COMPLETED:
            return _json(500, {"error": result.ending.value}, {"Idempotency-Key": request_id})
        response = self._success_response(request_id, operation, key, body_length)
        return _truncated(response) if result.truncate else response

    def _success_response(
        self, request_id: str, operation: str, key: str, body_length: int
    ) -> HTTPResponse:
        document = {
            "server_id": self._settings.server_id,
            "request_id": request_id,
            "key": key,
            "operation": operation,
            "body_length": body_length,
        }
        return _json(200, document, {"Idempotency-Key": request_id})

    def _admit(self, incoming: IncomingRequest, cancelled: Event) -> Admission:
        result = AsyncResult()
        self._task.tell(AdmitRequest(incoming, result, cancelled))
        admission: Admission = result.get()
        return admission

    def _run(self, admission: Admission, incoming: IncomingRequest, cancelled: Event) -> Any:
        started_at = time.time()
        cancelled.wait(admission.service_time_s)
        return self._task.ask(FinishRun(admission.run_id, incoming, started_at, time.time()))

    def _parse_request(self, key: str) -> IncomingRequest:
        shard = request.get_header("Damasktide-Shard")
        remaining_ms = request.get_header("Damasktide-Deadline-Ms")
        return IncomingRequest(
            request.get_header("Idempotency-Key", ""),
            key,
            int(shard) if shard else None,
            self._clock.now() + float(remaining_ms) / 1000 if remaining_ms else None,
        )


def _json(
    status: int, document: dict[str, Any], headers: dict[str, str] | None = None
) -> HTTPResponse:
    body = json.dumps(document)
    return HTTPResponse(body, status, {"Content-Type": "application/json", **(headers or {})})


def _not_run(status: int, reason: str, request_id: str) -> HTTPResponse:
    headers = {"Damasktide-Not-Run": "1", "Idempotency-Key": request_id}
    return _json(status, {"error": reason}, headers)


def _reset_connection() -> None:
    connection: socket.socket = request.environ[SOCKET_KEY]
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    raise ConnectionResetError(errno.ECONNRESET, "fault: connection reset")


def _truncated(response: HTTPResponse) -> HTTPResponse:
    body: str = response.body
    response.set_header("Content-Length", str(len(body)))
    response.body = _first_half(body.encode())
    return response


def _first_half(body: bytes) -> Iterator[bytes]:
    yield body[: len(body) // 2]
    raise ConnectionResetError(errno.ECONNRESET, "fault: response truncated")
