"""Messages between instances about the tables of the store."""

from dataclasses import dataclass

from damasktide.rows.store import Row


@dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Asks what changed in a table.

    Attributes
    ----------
    table
        Name of the table.
    after
        Version of the store up to which the asker knows the table.
    wait_s
        Longest time to wait for a change, in seconds.
    max_age_s
        Greatest age of the store's last answer that the asker accepts, in seconds.
    is_whole
        Whether all rows of the table are asked for, at once; ``after`` and ``wait_s`` say nothing.
    """

    table: str
    after: int
    wait_s: float
    max_age_s: float
    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class RelayedChanges:
    """What changed in a table.

    Attributes
    ----------
    rows
        Changed rows, in the order of change.
    version
        Version of the store up to which they are complete.
    age_s
        Age of the store's last answer about the table, in seconds.
    """

    rows: tuple[Row, ...]
    version: int
    age_s: float


@dataclass(frozen=True, slots=True)
class ChangesRefused:
    """The asked instance knows no better than the asker."""

    reason: str


News = RelayedChanges | ChangesRefused
