"""Answers of the gateway's own, and what they say about execution."""

import json
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus


class Reason(Enum):
    """Why a request ends without a target's answer."""

    MALFORMED = "malformed"
    NO_ROUTE = "no_route"
    STARTING = "starting"
    NO_TARGET = "no_target"
    NO_OWNER = "no_owner"
    OVERLOADED = "overloaded"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
    CALLER_GONE = "caller_gone"


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of the gateway's own.

    Attributes
    ----------
    status
        HTTP status. 408, 421, 429 and 503 promise that the request has not run and never will.
    reason
        Why.
    detail
        Explanation for the caller.
    retry_after_s
        Time after which a retry is useful, or None.
    """

    status: int
    reason: Reason
    detail: str
    retry_after_s: float | None = None

    @property
    def promises_not_run(self) -> bool:
        """Whether the caller may rely on the request not having run."""
        return self.status in (408, 421, 429, 503)

    @property
    def phrase(self) -> bytes:
        """Reason phrase of the status."""
        return HTTPStatus(self.status).phrase.encode()

    def body(self) -> bytes:
        """Return the problem document (RFC 9457)."""
        outcome = "not_run" if self.promises_not_run or self.status < 500 else "unknown"
        document = {"code": self.reason.value, "detail": self.detail, "outcome": outcome}
        return json.dumps(document).encode() + b"\n"


def not_run(reason: Reason, detail: str, retry_after_s: float) -> Refusal:
    """Return a refusal that promises that the request has not run."""
    return Refusal(503, reason, detail, retry_after_s)
