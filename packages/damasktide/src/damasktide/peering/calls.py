"""Pending calls to peers, and their errors."""

from dataclasses import dataclass

from gevent.event import AsyncResult
from returns.result import Failure, Result


@dataclass(frozen=True, slots=True)
class PeerError:
    """Reason for which a call has no reply.

    Attributes
    ----------
    not_sent
        True if no byte of the call was written, so that the peer cannot have run it; False if
        the outcome is unknown.
    reason
        Description for logs.
    """

    not_sent: bool
    reason: str


class PendingCall:
    """Result of a call, for which one greenlet waits; set by the link that carries the call.

    Attributes
    ----------
    is_written
        Whether the link has begun to write the call, so that the peer may run it.
    is_abandoned
        Whether the wait has ended without a result.
    """

    def __init__(self) -> None:
        self.is_written = False
        self.is_abandoned = False
        self._result = AsyncResult()

    def resolve(self, result: Result[bytes, PeerError]) -> None:
        """Set the result, which wakes the waiting greenlet."""
        self._result.set(result)

    def fail(self, reason: str) -> None:
        """Fail the call; the error tells whether the call was written."""
        self.resolve(Failure(PeerError(not self.is_written, reason)))

    def wait(self, timeout_s: float) -> Result[bytes, PeerError]:
        """Wait for the result; return an error after ``timeout_s`` seconds."""
        try:
            self._result.wait(timeout=timeout_s)
        finally:
            # An abandoned call must not be written later.
            self.is_abandoned = not self._result.ready()
        if self.is_abandoned:
            return Failure(PeerError(not self.is_written, f"no reply within {timeout_s:.3f} s"))
        result: Result[bytes, PeerError] = self._result.value
        return result
