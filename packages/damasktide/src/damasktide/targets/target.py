"""Targets as the platform lists them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class TargetState(Enum):
    """Whether a target may be given work."""

    READY = "ready"
    # The target announced its end in the list.
    DRAINING = "draining"
    # The target announced its end in a response, and its entry does not say so yet.
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as described by its own check-in.

    Attributes
    ----------
    target_id
        Id.
    started_at_ms
        Start of this incarnation of the target, on its own clock; differs for each incarnation.
    service, domain
        Service and failure domain.
    address
        Host and port.
    slots
        Requests that it runs at once.
    state
        Whether it may be given work.
    cold_start_remaining_s
        Seconds of cold start that remained when the entry was written.
    """

    target_id: str
    started_at_ms: int
    service: str
    domain: str
    address: tuple[str, int]
    slots: int
    state: TargetState
    cold_start_remaining_s: float = 0.0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start time, which identify this run of the target's process."""
        return (self.target_id, self.started_at_ms)


@dataclass(frozen=True, slots=True)
class TargetView:
    """Targets known to this instance.

    Attributes
    ----------
    entry_by_id
        Listed targets, including those that drain.
    usable_by_service
        Targets that may be given work, ordered by id.
    evacuated_domains
        Failure domains whose targets get no work.
    leaving_since_by_id
        Monotonic time in seconds at which each listed target that announced its end in a response
        was first seen to do so.
    unconfirmed_since_by_id
        Monotonic time in seconds at which each listed target returned to service, if it is not
        known yet whether it is cold. Its entry may be from before it became cold.
    """

    entry_by_id: Mapping[str, TargetEntry] = field(default_factory=dict)
    usable_by_service: Mapping[str, tuple[TargetEntry, ...]] = field(default_factory=dict)
    evacuated_domains: frozenset[str] = frozenset()
    leaving_since_by_id: Mapping[str, float] = field(default_factory=dict)
    unconfirmed_since_by_id: Mapping[str, float] = field(default_factory=dict)

    def usable(self, target_id: str) -> TargetEntry | None:
        """Return the target if it may be given work, else None."""
        entry = self.entry_by_id.get(target_id)
        if entry is None or entry.state is not TargetState.READY:
            return None
        return None if entry.domain in self.evacuated_domains else entry
