"""Rows of the table service and the errors of calls to the store."""

from dataclasses import dataclass
from enum import Enum

MAX_ROW_CHANGES = 16


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A change that was applied to a row.

    Attributes
    ----------
    change_id
        Id that the writer assigned to the change.
    version
        Version that the change created.
    """

    change_id: str
    version: int


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service.

    Attributes
    ----------
    key
        Name of the row, such as ``configuration``.
    version
        Incremented by each write; 0 means that the row is absent.
    body
        JSON text.
    change_id
        Id of the change that created this version.
    changes
        The most recent changes of the row, oldest first, including this version. A writer
        whose response was lost finds out from them whether its write took effect, even if
        the row has been written again since.
    """

    key: str
    version: int
    body: str
    change_id: str
    changes: tuple[AppliedChange, ...] = ()

    @classmethod
    def absent(cls, key: str) -> "Row":
        """Return the placeholder for a row that does not exist."""
        return cls(key, 0, "", "")

    def history_covers(self, version: int) -> bool:
        """Return whether the kept changes reach back to ``version``."""
        return any(change.version <= version for change in self.changes)


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Asks for a conditional write of one row; the reply is ``Result[Row, StoreError]``.

    Attributes
    ----------
    key
        Name of the row.
    body
        New JSON text.
    based_on
        Version that the row must have for the write to take effect.
    change_id
        Id of the change; a repeat of the same change carries the same id. At most 36
        characters, the limit of the table service for request tokens.
    repeated
        Whether an earlier attempt with this id may have taken effect.
    """

    key: str
    body: str
    based_on: int
    change_id: str
    repeated: bool = False

    def applied_to(self, before: tuple[AppliedChange, ...]) -> Row:
        """Return the row that this write creates from a row with the changes ``before``."""
        version = self.based_on + 1
        changes = (*before, AppliedChange(self.change_id, version))[-MAX_ROW_CHANGES:]
        return Row(self.key, version, self.body, self.change_id, changes)


class StoreErrorKind(Enum):
    """Kind of failure of a call to the store."""

    UNAVAILABLE = "unavailable"
    """The store was unreachable or failed; a write definitely did not take effect."""
    CONFLICT = "conflict"
    """Another change was applied first; the error holds the current row."""
    UNRESOLVED = "unresolved"
    """It is unknown whether a write took effect: its response was lost and the row could not
    be read back in time, or the row's history no longer reaches back to it. In the second case
    the error holds the row."""
    NOT_FOUND = "not_found"
    """The object store has no object of that name."""
    CORRUPT = "corrupt"
    """The content of an object does not match its name, or a row could not be decoded."""
    REJECTED = "rejected"
    """The store refused the call as malformed."""


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call to the store.

    Attributes
    ----------
    kind
        What failed.
    detail
        Explanation for logs and operators.
    current
        The current row, for a conflict.
    """

    kind: StoreErrorKind
    detail: str
    current: Row | None = None


@dataclass(frozen=True, slots=True)
class VersionRead:
    """The version of a row and the time of the read.

    Attributes
    ----------
    version
        Version of the row; 0 if it is absent.
    requested_at
        As in :class:`RowRead`.
    """

    version: int
    requested_at: float


@dataclass(frozen=True, slots=True)
class RowRead:
    """A row and the time of the read.

    Attributes
    ----------
    row
        The row; version 0 if it is absent.
    requested_at
        Monotonic time in seconds just before the request was sent. The row was current at
        some time after it, no matter how late the response arrived.
    """

    row: Row
    requested_at: float
