"""The slot that one request holds at the limiter."""

from damasktide.admission.refusals import Refusal
from damasktide.admission.request import AdmittedRequest
from damasktide.limits.messages import Leave, Placed, Refused
from damasktide.limits.task import LimiterTask


class SlotLease:
    """Acquires and releases the limiter slot of one request.

    A request that waits for an owner releases its slot during the wait, so that requests for
    other keys of the same backend server can use it.

    Parameters
    ----------
    limiter
        Task that owns the slots.
    admitted
        The request.
    counts_volume
        Whether the first acquisition counts against the customer's volume.
    """

    def __init__(
        self, limiter: LimiterTask, admitted: AdmittedRequest, counts_volume: bool
    ) -> None:
        self._limiter = limiter
        self._admitted = admitted
        self._counts_volume = counts_volume
        self._ticket: int | None = None

    def acquire(self, owner_id: str | None) -> Refusal | None:
        """Wait for a slot; return None once it is held, or the refusal.

        Parameters
        ----------
        owner_id
            Owner of the key, or None for unkeyed work.
        """
        if self._ticket is not None:
            return None
        request = self._admitted.request
        verdict = self._limiter.enter(
            self._admitted.customer,
            request.service,
            request.deadline,
            owner_id,
            self._counts_volume,
        )
        if isinstance(verdict, Refused):
            return verdict.refusal
        self._counts_volume = False
        self._ticket = verdict.ticket
        return None

    def place(self, server_id: str) -> None:
        """Tell the limiter which target the request uses."""
        if self._ticket is not None:
            self._limiter.tell(Placed(self._ticket, server_id))

    def release(self) -> None:
        """Release the slot if it is held."""
        if self._ticket is not None:
            self._limiter.tell(Leave(self._ticket))
            self._ticket = None
