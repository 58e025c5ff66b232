"""WSGI application for callers' requests, health probes and operators' queries."""

import json
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from bottle import Bottle, HTTPResponse, request

from damasktide.admission.refusals import Refusal
from damasktide.admission.request import BackendResponse, CallerRequest
from damasktide.frontend.parsing import METHODS, RequestBounds, parse_request
from damasktide.frontend.responses import refusal_response, response_from_backend
from damasktide.lifecycle.probes import ProbeResponse, healthz, readyz
from damasktide.lifecycle.state import LifecycleSnapshot
from damasktide.runtime.published import Published


@dataclass(frozen=True, slots=True)
class AppHandlers:
    """Callbacks and state that the application uses.

    Attributes
    ----------
    handle
        Serves a caller's request.
    lifecycle
        State of the instance, for the platform's probes.
    is_out_of_service
        Returns whether operators have taken the instance or its failure domain out of service.
    query_by_name
        Handlers of operators' queries; each gets the rest of the path as its arguments.
    on_refused
        Called with each refusal issued by the front end itself.
    """

    handle: Callable[[CallerRequest], BackendResponse | Refusal]
    lifecycle: Published[LifecycleSnapshot]
    is_out_of_service: Callable[[], bool]
    query_by_name: Mapping[str, Callable[..., Any]]
    on_refused: Callable[[Refusal], None]


def build_app(handlers: AppHandlers, bounds: RequestBounds) -> Bottle:
    """Return the WSGI application of an instance."""
    app = Bottle()

    def serve(**_path: str) -> HTTPResponse:
        parsed = parse_request(request.environ, bounds)
        if isinstance(parsed, Refusal):
            handlers.on_refused(parsed)
            given_id = request.environ.get("HTTP_IDEMPOTENCY_KEY", "")
            return refusal_response(given_id if given_id.isprintable() else "", parsed)
        result = handlers.handle(parsed)
        if isinstance(result, Refusal):
            response = refusal_response(parsed.request_id, result)
        else:
            response = response_from_backend(parsed.request_id, result)
        if handlers.lifecycle.value.closes_connections:
            response.set_header("Connection", "close")
        return response

    def query(name: str, rest: str = "") -> HTTPResponse:
        handler = handlers.query_by_name.get(name)
        if handler is None:
            return _json_response({"error": f"unknown query {name}"}, 404)
        try:
            return _json_response(handler(*filter(None, rest.split("/", 1))), 200)
        except (TypeError, KeyError, ValueError) as error:
            return _json_response({"error": str(error)}, 400)

    def readiness() -> HTTPResponse:
        return _probe_response(readyz(handlers.lifecycle.value, handlers.is_out_of_service()))

    app.route("/healthz", "GET", lambda: _probe_response(healthz(handlers.lifecycle.value)))
    app.route("/readyz", "GET", readiness)
    app.route("/admin/<name>", "GET", query)
    app.route("/admin/<name>/<rest:path>", "GET", query)
    app.route("/<path:path>", sorted(METHODS), serve)
    return app


def _probe_response(response: ProbeResponse) -> HTTPResponse:
    return _json_response(response, response.status)


def _json_response(document: Any, status: int) -> HTTPResponse:
    text = json.dumps(_to_json_value(document))
    return HTTPResponse(text, status, {"Content-Type": "application/json"})


def _to_json_value(document: Any) -> Any:
    if isinstance(document, Mapping):
        return {str(key): _to_json_value(value) for key, value in document.items()}
    if hasattr(document, "__dataclass_fields__"):
        return _to_json_value(asdict(document))
    if isinstance(document, list | tuple | frozenset):
        return [_to_json_value(item) for item in document]
    return document.value if isinstance(document, Enum) else document
