"""Failures of calls over HTTP/1.1, told apart by what they say about execution."""

from enum import Enum


class CallFailure(Enum):
    """Why a call has no response."""

    NOT_CONNECTED = "not_connected"
    NOT_SENT = "not_sent"
    TIMED_OUT = "timed_out"
    CLOSED = "closed"
    NOT_HTTP = "not_http"
    ABORTED = "aborted"

    @property
    def excludes_execution(self) -> bool:
        """Whether the server cannot have received the request."""
        return self in _EXCLUDES_EXECUTION


_EXCLUDES_EXECUTION = frozenset({CallFailure.NOT_CONNECTED, CallFailure.NOT_SENT})


class CallError(Exception):
    """A call that ended without a whole response.

    Parameters
    ----------
    failure
        Why.
    detail
        Text for the log.
    is_refused
        Whether the address refused the connection: no process listens there.
    """

    def __init__(self, failure: CallFailure, detail: str = "", is_refused: bool = False) -> None:
        super().__init__(f"{failure.value}: {detail}" if detail else failure.value)
        self.failure = failure
        self.is_refused = is_refused


class BadRequestError(Exception):
    """A request of a caller that cannot be read.

    Parameters
    ----------
    status
        HTTP status to answer with.
    detail
        What is wrong.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
