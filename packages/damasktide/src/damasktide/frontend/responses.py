"""HTTP responses for callers."""

import json
from dataclasses import asdict, dataclass

from bottle import HTTPResponse

from damasktide.admission.refusals import Outcome, Refusal
from damasktide.admission.request import BackendResponse

PROBLEM_TYPE = "application/problem+json"
REQUEST_ID_HEADER = "Idempotency-Key"
SERVED_BY_HEADER = "Damasktide-Served-By"


@dataclass(frozen=True, slots=True)
class Problem:
    """Body of a refusal, as in RFC 9457.

    Attributes
    ----------
    type, title, status, detail
        As defined by the RFC.
    code
        Stable code of the refusal.
    outcome
        ``not_run``, ``unknown`` or ``already_run``.
    not_run
        Whether the request certainly did not run.
    request_id
        Id of the refused request.
    """

    type: str
    title: str
    status: int
    detail: str
    code: str
    outcome: str
    not_run: bool
    request_id: str


def response_from_backend(request_id: str, response: BackendResponse) -> HTTPResponse:
    """Return the HTTP response that passes on a backend server's response."""
    headers = {
        **response.headers,
        "Content-Type": response.content_type,
        REQUEST_ID_HEADER: request_id,
        SERVED_BY_HEADER: response.server_id,
    }
    return HTTPResponse(response.body, response.status, headers)


def refusal_response(request_id: str, refusal: Refusal) -> HTTPResponse:
    """Return a refusal as a problem document."""
    outcome = refusal.code.outcome
    problem = Problem(
        type=f"urn:damasktide:refusal:{refusal.code.value}",
        title=refusal.code.value.replace("_", " "),
        status=refusal.code.status,
        detail=refusal.detail,
        code=refusal.code.value,
        outcome=outcome.value,
        not_run=outcome is Outcome.NOT_RUN,
        request_id=request_id,
    )
    headers = {"Content-Type": PROBLEM_TYPE, REQUEST_ID_HEADER: request_id}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(refusal.retry_after_s)
    return HTTPResponse(json.dumps(asdict(problem)), problem.status, headers)
