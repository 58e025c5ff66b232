"""What an instance knows of a table, kept so that it can tell other instances what changed."""

from collections.abc import Callable, Hashable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from damasktide.rows.store import Changes, Row, TableState

# Rows that were dropped are remembered up to this number; a reader that is further behind reads
# the whole table.
MAX_KEPT_DROPS = 512

# Returns what of a row matters to its readers; a change of the rest is no news.
RowFingerprint = Callable[[Row], Hashable]


def value_fingerprint(row: Row) -> Hashable:
    """Return all of a row's value, so that each change of it is news."""
    return row.value


def version_fingerprint(row: Row) -> Hashable:
    """Return the row's version, so that each write is news, also one of the same value."""
    return row.version


@dataclass(frozen=True, slots=True)
class _TrackedRow:
    row: Row
    fingerprint: Hashable
    changed_at_version: int


@dataclass(frozen=True, slots=True)
class TableSnapshot:
    """Rows of a table as of one version of the store.

    Attributes
    ----------
    version
        Version of the store up to which all changes are included.
    complete_since
        Changes after this version can be told; older drops have been forgotten.
    requested_at
        Lease clock at which the store was asked for the last answer.
    tracked_by_key
        Rows with the version at which each last changed in essence.
    drops
        Dropped rows, oldest first.
    """

    version: int
    complete_since: int
    requested_at: float
    tracked_by_key: Mapping[str, _TrackedRow] = field(default_factory=dict)
    drops: tuple[Row, ...] = ()

    @classmethod
    def of(
        cls, state: TableState, requested_at: float, fingerprint: RowFingerprint
    ) -> "TableSnapshot":
        """Return the snapshot of a table that was read as a whole."""
        tracked = {row.key: _TrackedRow(row, fingerprint(row), row.version) for row in state.rows}
        return cls(state.version, state.version, requested_at, tracked)

    def reread(
        self, state: TableState, requested_at: float, fingerprint: RowFingerprint
    ) -> "TableSnapshot":
        """Return the snapshot after another complete read; rows that it lacks were dropped."""
        listed = {row.key for row in state.rows}
        missing = tuple(
            Row(key, b"", state.version, is_dropped=True)
            for key, item in self.tracked_by_key.items()
            if key not in listed and item.row.version < state.version
        )
        return self.updated(
            Changes((*state.rows, *missing), state.version), requested_at, fingerprint
        )

    def updated(
        self, changes: Changes, requested_at: float, fingerprint: RowFingerprint
    ) -> "TableSnapshot":
        """Return the snapshot after ``changes``."""
        requested_at = max(requested_at, self.requested_at)
        version = max(self.version, changes.version)
        if not changes.rows:
            return replace(self, version=version, requested_at=requested_at)
        tracked = dict(self.tracked_by_key)
        drop_by_key = {row.key: row for row in self.drops}
        for row in changes.rows:
            before = tracked.get(row.key)
            if before is not None and before.row.version >= row.version:
                continue
            tracked.pop(row.key, None)
            drop_by_key.pop(row.key, None)
            if row.is_dropped:
                drop_by_key[row.key] = row
                continue
            new_fingerprint = fingerprint(row)
            has_changed = before is None or before.fingerprint != new_fingerprint
            changed_at_version = (
                row.version if before is None or has_changed else before.changed_at_version
            )
            tracked[row.key] = _TrackedRow(row, new_fingerprint, changed_at_version)
        drops = tuple(drop_by_key.values())
        forgotten, kept = drops[:-MAX_KEPT_DROPS], drops[-MAX_KEPT_DROPS:]
        complete_since = max((self.complete_since, *(row.version for row in forgotten)))
        return TableSnapshot(version, complete_since, requested_at, tracked, kept)

    @property
    def rows(self) -> tuple[Row, ...]:
        """All rows of the table."""
        return tuple(item.row for item in self.tracked_by_key.values())

    def rows_after(self, version: int) -> tuple[Row, ...]:
        """Return the rows that changed in essence after ``version``, in the order of change."""
        changed = [
            (item.changed_at_version, item.row)
            for item in self.tracked_by_key.values()
            if item.changed_at_version > version
        ]
        changed += [(row.version, row) for row in self.drops if row.version > version]
        return tuple(row for _, row in sorted(changed, key=lambda item: item[0]))


def latest_requested_at(snapshots: Iterable[TableSnapshot | None]) -> float:
    """Return when the store was last asked for an answer about any table."""
    return max(
        (item.requested_at for item in snapshots if item is not None), default=float("-inf")
    )
