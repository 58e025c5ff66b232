"""Up to when each table is known to be complete; a state machine without I/O."""

from collections.abc import Mapping
from dataclasses import dataclass

# Name of the store as a source; instances have non-empty names.
STORE = ""


@dataclass(frozen=True, slots=True)
class _PendingCall:
    source: str
    requested_at: float


class TableSources:
    """Tracks where the changes of each table are requested, and up to when they are known.

    A follower may wait for seconds until a quiet table changes. Replies of the same source about
    other tables show meanwhile that it would have reported a change. That holds for the store,
    which knows all changes, up to the time at which such a reply was requested, and for as long
    as it waited without a change. Another instance
    states for each table up to when it knows the changes itself. A reply shows nothing about a
    table whose changes are not being requested from its source.

    Times are seconds on the lease clock.

    Parameters
    ----------
    interruption_s
        Seconds without a confirmation after which a table counts as interrupted.
    """

    def __init__(self, interruption_s: float = 0.0) -> None:
        self._interruption_s = interruption_s
        self._pending_by_table: dict[str, _PendingCall] = {}
        self._confirmed_at_by_table: dict[str, float] = {}
        self._uninterrupted_since_by_table: dict[str, float] = {}

    def record_request(self, table: str, source: str, requested_at: float) -> None:
        """Record that a call requests the changes of ``table`` from ``source``."""
        self._pending_by_table[table] = _PendingCall(source, requested_at)

    def record_store_reply(self, table: str, requested_at: float, waited_s: float = 0.0) -> None:
        """Record a reply of the store with the rows or changes of ``table``.

        Parameters
        ----------
        table
            Name of the table.
        requested_at
            Time at which the reply was requested.
        waited_s
            Time for which the store has waited without a change, in seconds.
        """
        waiting = self._waiting_tables(STORE, requested_at)
        confirmed_at = requested_at + waited_s
        self._record_reply(table, confirmed_at, dict.fromkeys(waiting, confirmed_at))

    def record_peer_reply(
        self,
        table: str,
        source: str,
        requested_at: float,
        confirmed_at: float,
        confirmed_at_by_table: Mapping[str, float],
        uninterrupted_since: float = float("inf"),
    ) -> None:
        """Record a reply of another instance with the rows or changes of ``table``.

        Parameters
        ----------
        table
            Name of the table.
        source
            Name of the instance.
        requested_at
            Time at which the reply was requested.
        confirmed_at
            Time up to which the reply has all changes of ``table``.
        confirmed_at_by_table
            Time up to which the instance knew the changes of each table when it replied.
        uninterrupted_since
            Time since which the instance has had ``table`` without an interruption.
        """
        waiting = self._waiting_tables(source, requested_at)
        confirmed = {other: at for other, at in confirmed_at_by_table.items() if other in waiting}
        self._record_reply(table, confirmed_at, confirmed)
        self._uninterrupted_since_by_table[table] = min(
            uninterrupted_since, self.uninterrupted_since(table)
        )

    def record_failure(self, table: str) -> None:
        """Record that the source of ``table`` refused or did not reply."""
        self._pending_by_table.pop(table, None)

    def confirmed_at(self, table: str) -> float:
        """Return the time up to which all changes of ``table`` are known.

        The result is negative infinity if the table has not been read.
        """
        return self._confirmed_at_by_table.get(table, float("-inf"))

    def uninterrupted_since(self, table: str) -> float:
        """Return the time since which the store has served ``table``, here or to the sources.

        The result is infinity if the table has not been read.
        """
        return self._uninterrupted_since_by_table.get(table, float("inf"))

    def confirmed_at_by_table(self) -> Mapping[str, float]:
        """Return :meth:`confirmed_at` of all tables that have been read."""
        return dict(self._confirmed_at_by_table)

    def _waiting_tables(self, source: str, requested_at: float) -> frozenset[str]:
        """Return the tables for which a call waits at ``source`` since ``requested_at``."""
        return frozenset(
            table
            for table, call in self._pending_by_table.items()
            if call.source == source and call.requested_at <= requested_at
        )

    def _record_reply(
        self, table: str, confirmed_at: float, confirmed_at_by_table: Mapping[str, float]
    ) -> None:
        self._pending_by_table.pop(table, None)
        for other, at in {**confirmed_at_by_table, table: confirmed_at}.items():
            known_at = self.confirmed_at(other)
            if at >= known_at + self._interruption_s:
                self._uninterrupted_since_by_table[other] = at
            self._confirmed_at_by_table[other] = max(at, known_at)
