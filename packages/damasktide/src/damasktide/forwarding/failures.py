"""Failures of calls to a target, and the refusals that report them to the caller."""

from dataclasses import dataclass
from enum import Enum

from damasktide.admission.refusals import Refusal, RefusalCode


class FailureKind(Enum):
    """Kinds of failed calls to a target; each value names the retry reason in the metrics."""

    NOT_CONNECTED = "not_connected"
    NOT_OWNER = "not_owner"
    LEASE_EXPIRED = "no_right"
    SHED = "shed"
    TIMED_OUT = "timed_out"
    RESET = "reset"
    INCOMPLETE = "incomplete"
    WRONG_ANSWER = "wrong_answer"

    @property
    def is_not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self in _NOT_RUN

    @property
    def is_owner_change(self) -> bool:
        """Whether a keyed request failed because its owner was lost or has changed."""
        return self in _OWNER_CHANGES


_OWNER_CHANGES = frozenset(
    {FailureKind.NOT_CONNECTED, FailureKind.NOT_OWNER, FailureKind.LEASE_EXPIRED}
)
_NOT_RUN = _OWNER_CHANGES | {FailureKind.SHED}


@dataclass(frozen=True, slots=True)
class UpstreamFailure:
    """A call that returned no complete response to the request.

    Attributes
    ----------
    kind
        Kind of the failure.
    server_id
        Id of the target.
    """

    kind: FailureKind
    server_id: str


def refusal_for(kind: FailureKind, is_keyed: bool) -> Refusal:
    """Return the refusal that reports a failed call to the caller."""
    if kind is FailureKind.SHED:
        return Refusal(RefusalCode.OVERLOADED, "the backend server sheds load", 1)
    if kind.is_not_run:
        code = RefusalCode.NO_OWNER if is_keyed else RefusalCode.NO_TARGET
        return Refusal(code, f"no backend server took the request: {kind.value}", 1)
    if kind in (FailureKind.INCOMPLETE, FailureKind.WRONG_ANSWER):
        detail = "the backend server's response was cut short or belongs to another request"
        return Refusal(RefusalCode.ANSWER_INCOMPLETE, detail)
    detail = f"the backend server did not answer: {kind.value}"
    return Refusal(RefusalCode.OUTCOME_UNKNOWN, detail)
