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
    Arrival,
    Ending,
    ServerSettings,
    Start,
    Verdict,
)
from damasktide_standins.backend_server.task import (
    ApplyGrant,
    Cancel,
    Enter,
    ExecutionTask,
    Inject,
    Leave,
    ReadFaults,
    ReadGrant,
    ReadLoad,
)

SOCKET_KEY = "damasktide.socket"
_METHODS = ["GET", "HEAD", "PUT", "POST", "DELETE"]
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_STATUS_BY_VERDICT = {
    Verdict.NOT_OWNER: 409,
    Verdict.SHED: 503,
    Verdict.DEADLINE_PASSED: 504,
    Verdict.CANCELLED: 409,
}


def build_app(settings: ServerSettings, task: ExecutionTask, clock: Clock) -> Bottle:
    """Return the WSGI application of one server."""
    # Errors pass through bottle, because a reset connection gets no error page.
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
            task.ask(Inject(fault, json.loads(body) if body else {}))
        except (KeyError, ValueError) as error:
            return _json(400, {"error": str(error)})
        return _json(200, task.ask(ReadFaults()))

    app.route("/faults", "GET", lambda: _json(200, task.ask(ReadFaults())))
    app.route("/faults/<fault>", "POST", inject)


class _RequestHandler:
    """Runs forwarded requests."""

    def __init__(self, settings: ServerSettings, task: ExecutionTask, clock: Clock) -> None:
        self._settings = settings
        self._task = task
        self._clock = clock

    def __call__(self, service: str, operation: str, key: str = "") -> HTTPResponse:
        if service != self._settings.service:
            return _not_run(404, "unknown service", request.get_header("Idempotency-Key", ""))
        body_length = len(request.body.read())
        arrival = self._arrival(key)
        cancelled = Event()
        start = self._enter(arrival, cancelled)
        if start.verdict is Verdict.RESET:
            _reset_connection()
        if start.verdict is not Verdict.RUN:
            status = _STATUS_BY_VERDICT[start.verdict]
            return _not_run(status, start.verdict.value, arrival.request_id)
        finish = self._run(start, arrival, cancelled)
        if finish.reset:
            _reset_connection()
        request_id = f"other-{start.run_id}" if finish.cross else arrival.request_id
        if finish.ending is not Ending.COMPLETED:
            return _json(500, {"error": finish.ending.value}, {"Idempotency-Key": request_id})
        response = self._answer(request_id, operation, key, body_length)
        return _truncated(response) if finish.truncate else response

    def _answer(self, request_id: str, operation: str, key: str, body_length: int) -> HTTPResponse:
        answer = {
            "server_id": self._settings.server_id,
            "request_id": request_id,
            "key": key,
            "operation": operation,
            "body_length": body_length,
        }
        return _json(200, answer, {"Idempotency-Key": request_id})

    def _enter(self, arrival: Arrival, cancelled: Event) -> Start:
        started = AsyncResult()
        self._task.tell(Enter(arrival, started, cancelled))
        start: Start = started.get()
        return start

    def _run(self, start: Start, arrival: Arrival, cancelled: Event) -> Any:
        start_time = time.time()
        cancelled.wait(start.service_time_s)
        return self._task.ask(Leave(start.run_id, arrival, start_time, time.time()))

    def _arrival(self, key: str) -> Arrival:
        shard = request.get_header("Damasktide-Shard")
        remaining_ms = request.get_header("Damasktide-Deadline-Ms")
        return Arrival(
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
