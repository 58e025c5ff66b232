"""Outcome of a call and the place where its caller waits for it."""

from dataclasses import dataclass

from gevent.event import AsyncResult
from returns.result import Failure, Result


@dataclass(frozen=True, slots=True)
class PeerError:
    """Why a call has no reply.

    Attributes
    ----------
    not_sent
        True if certainly no byte of the call was written, so that the peer did not run it;
        False if the outcome is unknown.
    reason
        Explanation for logs.
    """

    not_sent: bool
    reason: str


class PendingCall:
    """Connects a waiting caller with the link that carries its call."""

    def __init__(self) -> None:
        self.is_written = False
        self.is_abandoned = False
        self._result = AsyncResult()

    def resolve(self, result: Result[bytes, PeerError]) -> None:
        """Wake the caller."""
        self._result.set(result)

    def fail(self, reason: str) -> None:
        """Wake the caller with an error that says whether the call was written."""
        self.resolve(Failure(PeerError(not self.is_written, reason)))

    def wait(self, timeout_s: float) -> Result[bytes, PeerError]:
        """Return the result, or an error after ``timeout_s`` seconds."""
        try:
            self._result.wait(timeout=timeout_s)
        finally:
            # A call that nobody waits for must not be written later.
            self.is_abandoned = not self._result.ready()
        if self.is_abandoned:
            return Failure(PeerError(not self.is_written, f"no reply within {timeout_s:.3f} s"))
        result: Result[bytes, PeerError] = self._result.value
        return result
