"""The WSGI application: callers' requests, health and the operators' queries."""

import json
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from bottle import Bottle, HTTPResponse, request

from damasktide.admission.refusals import Refusal
from damasktide.admission.request import BackendResponse, CallerRequest
from damasktide.frontend.parsing import METHODS, RequestBounds, parse_request
from damasktide.frontend.responses import answer_response, refusal_response
from damasktide.lifecycle.probes import ProbeAnswer, healthz, readyz
from damasktide.lifecycle.state import LifecycleSnapshot
from damasktide.runtime.published import Published


@dataclass(frozen=True, slots=True)
class AppHandlers:
    """What the application calls.

    Attributes
    ----------
    handle
        Serves a caller's request.
    lifecycle
        State of the instance, for the platform's probes.
    is_out_of_service
        Returns whether operators have taken the instance or its failure domain out.
    query_by_name
        Operators' queries; each takes the rest of the path as its arguments.
    on_refused
        Called with each refusal that the front end itself makes.
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
            response = answer_response(parsed.request_id, result)
        if handlers.lifecycle.value.closes_connections:
            response.set_header("Connection", "close")
        return response

    def query(name: str, rest: str = "") -> HTTPResponse:
        handler = handlers.query_by_name.get(name)
        if handler is None:
            return _json({"error": f"unknown query {name}"}, 404)
        try:
            return _json(handler(*filter(None, rest.split("/", 1))), 200)
        except (TypeError, KeyError, ValueError) as error:
            return _json({"error": str(error)}, 400)

    def readiness() -> HTTPResponse:
        return _probe(readyz(handlers.lifecycle.value, handlers.is_out_of_service()))

    app.route("/healthz", "GET", lambda: _probe(healthz(handlers.lifecycle.value)))
    app.route("/readyz", "GET", readiness)
    app.route("/admin/<name>", "GET", query)
    app.route("/admin/<name>/<rest:path>", "GET", query)
    app.route("/<path:path>", sorted(METHODS), serve)
    return app


def _probe(answer: ProbeAnswer) -> HTTPResponse:
    return _json(answer, answer.status)


def _json(document: Any, status: int) -> HTTPResponse:
    text = json.dumps(_plain(document))
    return HTTPResponse(text, status, {"Content-Type": "application/json"})


def _plain(document: Any) -> Any:
    if isinstance(document, Mapping):
        return {str(key): _plain(value) for key, value in document.items()}
    if hasattr(document, "__dataclass_fields__"):
        return _plain(asdict(document))
    if isinstance(document, list | tuple | frozenset):
        return [_plain(item) for item in document]
    return document.value if isinstance(document, Enum) else document
