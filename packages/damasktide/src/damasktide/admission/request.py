"""A caller's request, independent of the protocol that carried it."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A parsed request.

    Attributes
    ----------
    request_id
        Id given by the caller, or generated if the caller gave none.
    is_id_from_caller
        Whether the caller gave the id.
    attempt
        1 for the first attempt, higher after an unknown outcome.
    method
        HTTP method in upper case.
    service, operation
        Service and operation that are called.
    key
        Key of a keyed request, or None.
    query
        Query string without the question mark.
    content_type
        Media type of the body, or an empty string.
    body
        Complete body.
    deadline
        Monotonic time in seconds at which the caller stops waiting.
    home_regions
        Regions in which the request may be served, sent and stored, or None for any.
    token
        Credentials of the customer.
    """

    request_id: str
    is_id_from_caller: bool
    attempt: int
    method: str
    service: str
    operation: str
    key: str | None
    query: str
    content_type: str
    body: bytes
    deadline: float
    home_regions: frozenset[str] | None
    token: str


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that the customer's plan allows.

    Attributes
    ----------
    request
        The request.
    customer
        Name of the customer.
    allowed_regions
        Regions that both the plan and the home regions allow.
    is_idempotent
        Whether the request may run more than once.
    is_keyed
        Whether the request must run on the owner of its key.
    """

    request: CallerRequest
    customer: str
    allowed_regions: frozenset[str]
    is_idempotent: bool
    is_keyed: bool


@dataclass(frozen=True, slots=True)
class BackendResponse:
    """A complete response of a backend server.

    Attributes
    ----------
    status
        HTTP status.
    content_type
        Media type.
    body
        Complete body.
    server_id
        Backend server that responded.
    headers
        Additional headers for the caller.
    """

    status: int
    content_type: str
    body: bytes
    server_id: str
    headers: Mapping[str, str]
