"""What instances tell each other about the durations of calls at targets."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum


@dataclass(frozen=True, slots=True)
class CallSummary:
    """Durations of the recent calls of a target, as sums that can be added and decayed.

    The duration of a call is the logarithm of its ratio to the typical call of its route, without
    the effects of the target's load and of co-located work. Calls are counted separately while at
    most half of the target's slots were in use and above that, because a target may become slower
    before it is full.

    Attributes
    ----------
    low_weight, high_weight
        Number of calls at low and at high occupancy.
    low_sum, high_sum
        Sums of their logarithmic duration ratios.
    """

    low_weight: float = 0.0
    low_sum: float = 0.0
    high_weight: float = 0.0
    high_sum: float = 0.0

    @property
    def weight(self) -> float:
        """Number of calls."""
        return self.low_weight + self.high_weight

    def plus(self, other: "CallSummary", factor: float = 1.0) -> "CallSummary":
        """Return the sum of this summary and ``factor`` times the other one."""
        return CallSummary(
            self.low_weight + factor * other.low_weight,
            self.low_sum + factor * other.low_sum,
            self.high_weight + factor * other.high_weight,
            self.high_sum + factor * other.high_sum,
        )

    def scaled(self, factor: float) -> "CallSummary":
        """Return the summary with all sums multiplied by ``factor``."""
        return CallSummary(
            self.low_weight * factor,
            self.low_sum * factor,
            self.high_weight * factor,
            self.high_sum * factor,
        )

    def bounded(self, max_weight: float) -> "CallSummary":
        """Return the summary with the weight limited; the means remain."""
        if self.weight <= max_weight:
            return self
        return self.scaled(max_weight / self.weight)


Record = tuple[int, CallSummary]


class Scope(IntEnum):
    """Which calls an instance asks about.

    Attributes
    ----------
    REST
        Those of all instances except the requester and the instances below it.
    DOMAIN
        Those of the instances of the receiver's failure domain.
    """

    REST = 0
    DOMAIN = 1


@dataclass(frozen=True, slots=True)
class SummaryRequest:
    """Summaries of the sender and the instances below it, and a request for others.

    Attributes
    ----------
    scope
        Which calls the requested summaries are about.
    known_epoch, known_version
        Epoch and version of the last reply of the receiver; zeros if there was none.
    records
        Summaries that have changed since the receiver last replied, by incarnation hash.
    """

    scope: Scope
    known_epoch: int = 0
    known_version: int = 0
    records: Sequence[Record] = ()


@dataclass(frozen=True, slots=True)
class SummaryReply:
    """Summaries that have changed since the version that the requester knows.

    Attributes
    ----------
    epoch
        Random number that identifies this run of the sender's process.
    version
        Version of the sender's table up to which the records are complete.
    records
        Changed summaries, by incarnation hash.
    """

    epoch: int
    version: int
    records: Sequence[Record] = ()
