"""Failures of HTTP/1.1 calls, and whether the server may have executed the request."""

from enum import Enum


class CallFailure(Enum):
    """Reason for which a call has no response."""

    NOT_CONNECTED = "not_connected"
    NOT_SENT = "not_sent"
    TIMED_OUT = "timed_out"
    CLOSED = "closed"
    NOT_HTTP = "not_http"
    TOO_LARGE = "too_large"
    ABORTED = "aborted"

    @property
    def excludes_execution(self) -> bool:
        """Whether the server cannot have received the request."""
        return self in _EXCLUDES_EXECUTION


_EXCLUDES_EXECUTION = frozenset({CallFailure.NOT_CONNECTED, CallFailure.NOT_SENT})


class CallError(Exception):
    """A call that ended without a complete response.

    Parameters
    ----------
    failure
        Reason.
    detail
        Description for the log.
    is_refused
        Whether the connection was refused, because no process listens at the address.
    """

    def __init__(self, failure: CallFailure, detail: str = "", is_refused: bool = False) -> None:
        super().__init__(f"{failure.value}: {detail}" if detail else failure.value)
        self.failure = failure
        self.is_refused = is_refused


class BadRequestError(Exception):
    """A malformed request of a caller, or one that exceeds a limit.

    Parameters
    ----------
    status
        HTTP status of the response.
    detail
        Description for the caller.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
