"""Responses that the gateway generates itself, and what they state about execution."""

import json
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus


class Reason(Enum):
    """Why a request ends without a response from a target."""

    MALFORMED = "malformed"
    NO_ROUTE = "no_route"
    UNAUTHENTICATED = "unauthenticated"
    OVER_CAP = "over_cap"
    NO_REGION = "no_region"
    STARTING = "starting"
    NO_TARGET = "no_target"
    NO_OWNER = "no_owner"
    OVERLOADED = "overloaded"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
    CALLER_GONE = "caller_gone"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A response that the gateway generates instead of forwarding one from a target.

    Attributes
    ----------
    status
        HTTP status. 408, 421, 429 and 503 guarantee that the request has not run and never will.
    reason
        Reason code.
    detail
        Explanation for the caller.
    retry_after_s
        Seconds after which a retry is useful, or None if unknown.
    """

    status: int
    reason: Reason
    detail: str
    retry_after_s: float | None = None

    @property
    def guarantees_not_run(self) -> bool:
        """Whether the caller may rely on the request not having run."""
        return self.status in (408, 421, 429, 503)

    @property
    def phrase(self) -> bytes:
        """Reason phrase of the status."""
        return HTTPStatus(self.status).phrase.encode()

    def body(self) -> bytes:
        """Return the problem document (RFC 9457)."""
        outcome = "not_run" if self.guarantees_not_run or self.status < 500 else "unknown"
        document = {"code": self.reason.value, "detail": self.detail, "outcome": outcome}
        return json.dumps(document).encode() + b"\n"


def not_run_refusal(reason: Reason, detail: str, retry_after_s: float) -> Refusal:
    """Return a refusal which guarantees that the request has not run."""
    return Refusal(503, reason, detail, retry_after_s)
