"""Messages between instances about changes of the store's tables."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from damasktide.rows.store import Row

# Reason of a refusal to a requester that is further behind than the known changes.
CHANGES_FORGOTTEN = "changes are no longer known"


@dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Request for the changes of a table.

    Attributes
    ----------
    table
        Name of the table.
    after
        Version of the store up to which the requester has the table.
    wait_s
        Longest time to wait for a change, in seconds.
    max_age_s
        Maximum age of the store's last response that the requester accepts, in seconds.
    is_full_read
        Whether to return all rows immediately; ``after`` and ``wait_s`` are ignored then.
    known_confirmation
        Confirmation that the requester already has of this sender. A newer one ends the wait, so
        that the age of the data does not grow by a wait at each level of the relay.
    accepts_complete
        Whether the requester accepts the complete table if it is further behind than the known
        changes; it is refused otherwise.
    """

    table: str
    after: int
    wait_s: float
    max_age_s: float
    is_full_read: bool = False
    known_confirmation: float = float("inf")
    accepts_complete: bool = False


@dataclass(frozen=True, slots=True)
class RelayedChanges:
    """Changes of a table.

    Attributes
    ----------
    rows
        Changed rows, in the order of change, or all rows if ``is_complete``.
    version
        Version of the store up to which the rows are complete.
    age_s
        Time in seconds, before the arrival of the request, up to which the sender knows all
        changes of the table; negative if it knows changes since.
    age_s_by_table
        The same for each table that the sender has read.
    confirmation
        Time on the sender's clock, in seconds, at which the latest reply that the sender has
        about the table was requested from the store.
    uninterrupted_s
        Time in seconds, before the arrival of the request, since which the sender or its sources
        have had the table without an interruption; negative infinity if that is not known.
    is_complete
        Whether the rows are the complete table; rows that it lacks do not exist.
    """

    rows: tuple[Row, ...]
    version: int
    age_s: float
    age_s_by_table: Mapping[str, float] = field(default_factory=dict)
    confirmation: float = 0.0
    uninterrupted_s: float = float("-inf")
    is_complete: bool = False


@dataclass(frozen=True, slots=True)
class ChangesRefused:
    """Refusal by an instance that has no sufficiently fresh copy of the table."""

    reason: str


ChangesReply = RelayedChanges | ChangesRefused
