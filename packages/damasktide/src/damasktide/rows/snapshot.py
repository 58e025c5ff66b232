"""Snapshots of tables, from which an instance relays changes to other instances."""

from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass, field, replace

from damasktide.rows.store import Changes, Row, TableState, era_of

# Number of deleted rows that are remembered; a reader that is further behind reads the complete
# table.
MAX_KEPT_DROPS = 512

# Returns the part of a row that matters to its readers; other changes are not relayed.
RowFingerprint = Callable[[Row], Hashable]


def value_fingerprint(row: Row) -> Hashable:
    """Return the row's value, so that each change of the value is relayed."""
    return row.value


def version_fingerprint(row: Row) -> Hashable:
    """Return the row's version, so that each write is relayed, even one of the same value."""
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
        Version after which all changes are known; older deletions may have been forgotten.
    requested_at
        Time on the lease clock at which the store's latest response was requested.
    tracked_by_key
        Rows with the version at which the fingerprint of each last changed.
    drops
        Deleted rows, in the order in which they were recorded.
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
        """Return the snapshot of a table after a complete read."""
        tracked_by_key = {
            row.key: _TrackedRow(row, fingerprint(row), row.version) for row in state.rows
        }
        return cls(state.version, state.version, requested_at, tracked_by_key)

    def reread(
        self,
        state: TableState,
        requested_at: float,
        fingerprint: RowFingerprint,
        is_history_lost: bool = False,
    ) -> "TableSnapshot":
        """Return the snapshot after another complete read; rows that it lacks were deleted.

        If the store has lost its history, it may have hidden changes while it reported newer
        versions. A reader may have such a version, so it reads the complete table as well. So do
        the readers of a store that was restored from an older copy.
        """
        listed = {row.key for row in state.rows}
        missing = tuple(
            Row(key, b"", state.version, is_dropped=True)
            for key, tracked in self.tracked_by_key.items()
            if key not in listed and tracked.row.version < state.version
        )
        found = self.updated(
            Changes((*state.rows, *missing), state.version), requested_at, fingerprint
        )
        if not is_history_lost and era_of(state.version) == era_of(self.version):
            return found
        return replace(found, complete_since=max(found.complete_since, state.version))

    def updated(
        self, changes: Changes, requested_at: float, fingerprint: RowFingerprint
    ) -> "TableSnapshot":
        """Return the snapshot after ``changes``."""
        requested_at = max(requested_at, self.requested_at)
        version = max(self.version, changes.version)
        if not changes.rows:
            return replace(self, version=version, requested_at=requested_at)
        tracked_by_key = dict(self.tracked_by_key)
        drop_by_key = {row.key: row for row in self.drops}
        for row in changes.rows:
            before = tracked_by_key.get(row.key)
            known = before.row if before is not None else drop_by_key.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            tracked_by_key.pop(row.key, None)
            drop_by_key.pop(row.key, None)
            if row.is_dropped:
                drop_by_key[row.key] = row
                continue
            new_fingerprint = fingerprint(row)
            has_changed = before is None or before.fingerprint != new_fingerprint
            changed_at_version = (
                row.version if before is None or has_changed else before.changed_at_version
            )
            tracked_by_key[row.key] = _TrackedRow(row, new_fingerprint, changed_at_version)
        drops = tuple(drop_by_key.values())
        forgotten, kept = drops[:-MAX_KEPT_DROPS], drops[-MAX_KEPT_DROPS:]
        complete_since = max((self.complete_since, *(row.version for row in forgotten)))
        return TableSnapshot(version, complete_since, requested_at, tracked_by_key, kept)

    @property
    def rows(self) -> tuple[Row, ...]:
        """All rows of the table."""
        return tuple(tracked.row for tracked in self.tracked_by_key.values())

    def rows_after(self, version: int) -> tuple[Row, ...]:
        """Return the rows whose fingerprint changed after ``version``, in order of change."""
        changed = [
            (tracked.changed_at_version, tracked.row)
            for tracked in self.tracked_by_key.values()
            if tracked.changed_at_version > version
        ]
        changed += [(row.version, row) for row in self.drops if row.version > version]
        return tuple(row for _, row in sorted(changed, key=lambda change: change[0]))
