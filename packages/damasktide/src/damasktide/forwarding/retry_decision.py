"""Decides what follows a failed call: another try or a refusal."""

from dataclasses import dataclass

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.forwarding.upstream import FailureKind

# Below this remaining time another try cannot succeed.
MIN_REMAINING_S = 0.005


@dataclass(frozen=True, slots=True)
class TryAgain:
    """Another try is allowed.

    Attributes
    ----------
    reason
        Why, as counted in the metrics.
    uses_budget
        Whether the try counts against the retry budget. A request that certainly did not run
        because its key has no owner yet puts no load on a backend server.
    """

    reason: FailureKind
    uses_budget: bool


def after_failure(
    kind: FailureKind, is_idempotent: bool, is_keyed: bool, remaining_s: float
) -> TryAgain | Refusal:
    """Return what follows a failed call.

    Parameters
    ----------
    kind
        How the call failed.
    is_idempotent
        Whether the request may run more than once.
    is_keyed
        Whether only the owner of the key may run it.
    remaining_s
        Seconds until the caller's deadline.
    """
    may_run_again = is_idempotent or kind.is_not_run
    if may_run_again and remaining_s > MIN_REMAINING_S:
        waits_for_owner = is_keyed and kind in _OWNER_CHANGES
        return TryAgain(kind, uses_budget=not waits_for_owner)
    return refusal_for(kind, is_keyed)


def refusal_for(kind: FailureKind, is_keyed: bool) -> Refusal:
    """Return the refusal that tells the caller of a failed call."""
    if kind.is_not_run:
        return _not_run_refusal(kind, is_keyed)
    if kind in (FailureKind.INCOMPLETE, FailureKind.WRONG_ANSWER):
        detail = "the backend server's response was cut short or belongs to another request"
        return Refusal(RefusalCode.ANSWER_INCOMPLETE, detail)
    return Refusal(RefusalCode.OUTCOME_UNKNOWN, f"the backend server did not answer: {kind.value}")


_OWNER_CHANGES = frozenset({FailureKind.NOT_CONNECTED, FailureKind.NOT_OWNER})


def _not_run_refusal(kind: FailureKind, is_keyed: bool) -> Refusal:
    if kind is FailureKind.SHED:
        return Refusal(RefusalCode.OVERLOADED, "the backend server sheds load", 1)
    code = RefusalCode.NO_OWNER if is_keyed else RefusalCode.NO_TARGET
    return Refusal(code, f"no backend server took the request: {kind.value}", 1)
