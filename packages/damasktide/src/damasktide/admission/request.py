"""A caller's request, independent of the protocol that carried it."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A parsed request.

    Attributes
    ----------
    request_id
        Id that the caller gave, or a generated one.
    has_given_id
        Whether the caller gave the id.
    attempt
        1 for the first attempt, higher after an unknown outcome.
    method
        HTTP method in upper case.
    service, operation
        What is called.
    key
        Key, or None.
    query
        Query string without the question mark.
    content_type
        Media type of the body, or an empty string.
    body
        The whole body.
    deadline
        Monotonic time in seconds until which the caller waits.
    home_regions
        Regions in which the request may be served, sent and kept, or None for any.
    token
        Credentials of the customer.
    """

    request_id: str
    has_given_id: bool
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
        Regions that plan and home regions allow.
    is_idempotent
        Whether it may run more than once.
    is_keyed
        Whether it goes to the owner of its key.
    """

    request: CallerRequest
    customer: str
    allowed_regions: frozenset[str]
    is_idempotent: bool
    is_keyed: bool


@dataclass(frozen=True, slots=True)
class BackendResponse:
    """A whole response of a backend server.

    Attributes
    ----------
    status
        HTTP status.
    content_type
        Media type.
    body
        The whole body.
    server_id
        Backend server that responded.
    headers
        Further headers for the caller.
    """

    status: int
    content_type: str
    body: bytes
    server_id: str
    headers: Mapping[str, str]
