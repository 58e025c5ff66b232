"""Rows of the platform's store, and the interface of its clients."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

# Bits of a version that count the writes of one era; the bits above are the era. A store that was
# restored from an older copy is in the next era. It issues the same numbers again, so versions
# rise over restores only with the era. A store that does not state its era is in era 0.
ERA_SHIFT = 40


def era_of(version: int) -> int:
    """Return the era of the store in which ``version`` was read or written."""
    return version >> ERA_SHIFT


def number_of(version: int) -> int:
    """Return the number that the store itself gave to ``version``.

    A row that is in the copy keeps its number when the store is restored.
    """
    return version & ((1 << ERA_SHIFT) - 1)


def version_of(era: int, number: int) -> int:
    """Return the version for a ``number`` issued by the store, read in ``era``."""
    return (era << ERA_SHIFT) | number


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read from the store.

    Attributes
    ----------
    key
        Key within its table.
    value
        Bytes; empty for a deleted row.
    version
        Version of the store at the row's last change, read in the store's current era.
    is_dropped
        Whether the row no longer exists.
    """

    key: str
    value: bytes
    version: int
    is_dropped: bool = False


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A row to write.

    Attributes
    ----------
    table
        Table.
    key
        Key within its table.
    value
        Bytes, or None to delete the row.
    """

    table: str
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class ExpectedRow:
    """A condition of a write: the row has this version; 0 means that it does not exist."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class TableState:
    """All rows of a table.

    Attributes
    ----------
    rows
        The rows.
    version
        Version of the store up to which the rows are complete.
    relayed_age_s
        Age of the response at the start of the call if another instance relayed it, negative if
        it was requested during the call; None if the store itself responded.
    relayed_by
        Name of the instance that relayed the response; empty if the store itself responded.
    """

    rows: tuple[Row, ...]
    version: int
    relayed_age_s: float | None = None
    relayed_by: str = ""


@dataclass(frozen=True, slots=True)
class Changes:
    """Changed rows in order, up to a version of the store.

    Attributes
    ----------
    rows
        The rows.
    version
        Version of the store up to which the rows are complete.
    relayed_age_s
        Age of the response at the start of the call if another instance relayed it, negative if
        it was requested during the call; None if the store itself responded.
    relayed_by
        Name of the instance that relayed the response; empty if the store itself responded.
    is_complete
        Whether the rows are the complete table, because earlier changes are not known.
    waited_s
        Time in seconds for which the store has waited without a change since the call was made.
    """

    rows: tuple[Row, ...]
    version: int
    relayed_age_s: float | None = None
    relayed_by: str = ""
    is_complete: bool = False
    waited_s: float = 0.0


class StoreUnavailableError(Exception):
    """A call to the store that did not take effect, or whose effect is unknown.

    Parameters
    ----------
    detail
        Text for the log.
    is_certain
        Whether it is certain that nothing was done.
    """

    def __init__(self, detail: str, is_certain: bool = False) -> None:
        super().__init__(detail)
        self.is_certain = is_certain


class StoreNotCalledError(StoreUnavailableError):
    """The store was not called, because another call failed shortly before.

    This does not show that the store is unavailable, since the other call may have failed alone.
    """

    def __init__(self) -> None:
        super().__init__("the store failed recently; not calling it yet", is_certain=True)


class ConditionFailedError(Exception):
    """A conditional write whose condition did not hold; nothing was written."""


class HistoryLostError(Exception):
    """The requested changes are no longer known; the complete table must be read again."""


class RowStore(Protocol):
    """Client of the platform's store."""

    def read_table(self, table: str) -> TableState:
        """Return all rows of ``table``.

        Raises
        ------
        StoreUnavailableError
            If there is no response.
        """

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return what changed in ``table`` after version ``after``, waiting up to ``wait_s``.

        Raises
        ------
        StoreUnavailableError
            If there is no response.
        HistoryLostError
            If the store has discarded that part of its history.
        """

    def interrupt(self) -> None:
        """End a call of another greenlet that waits for changes; that call then raises."""

    def round_trip_s(self) -> float | None:
        """Return the shortest round trip to the store so far, in seconds.

        Opens a connection if none was opened before; None if the store cannot be reached.
        """

    def write(self, writes: Sequence[RowWrite], expected: Sequence[ExpectedRow] = ()) -> int:
        """Write rows atomically if all of ``expected`` holds; return the version of the write.

        Raises
        ------
        StoreUnavailableError
            If there is no response; unless ``is_certain``, the write may still take effect.
        ConditionFailedError
            If a condition does not hold.
        """
