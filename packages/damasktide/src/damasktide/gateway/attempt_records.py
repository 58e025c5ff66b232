"""Records of the attempts of one request."""

from dataclasses import dataclass

from damasktide.dispatch.messages import TargetSelection
from damasktide.gateway.call import TargetCall, TargetResponse


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that produced no response for the caller.

    Attributes
    ----------
    excludes_execution
        Whether it is certain that the target has not run the request and never will.
    cause
        Description for the log, or for the caller in a refusal.
    response
        Response of the target, if it reported the failure itself.
    is_misdirected
        Whether the target does not hold the key, or another target uses the address.
    """

    excludes_execution: bool
    cause: str
    response: TargetResponse | None = None
    is_misdirected: bool = False


@dataclass(slots=True, eq=False)
class TargetAttempt:
    """An attempt in flight.

    Attributes
    ----------
    call
        Call to the target.
    selection
        The dispatcher's selection of the target.
    is_abandoned
        Whether this instance cancelled the attempt, because another one succeeded first or the
        caller's body ended early.
    """

    call: TargetCall
    selection: TargetSelection
    is_abandoned: bool = False
