"""Which source each table is followed at; a state machine without I/O."""

# Name of the store as a source; instances have non-empty names.
STORE = ""


class TableSources:
    """Tracks the source of each table and the latest reply of each source.

    A follower may wait for seconds until a quiet table changes. Replies of the same source about
    other tables show meanwhile that it would have reported a change. Replies of another source
    show nothing about the table.

    Times are seconds on the lease clock.
    """

    def __init__(self) -> None:
        self._source_by_table: dict[str, str] = {}
        self._confirmed_at_by_source: dict[str, float] = {}

    def record_request(self, table: str, source: str) -> None:
        """Record that the changes of ``table`` are requested from ``source``."""
        if self._source_by_table.get(table) != source:
            self._source_by_table.pop(table, None)

    def record_reply(self, table: str, source: str, requested_at: float) -> None:
        """Record a reply with the rows or changes of ``table``.

        Parameters
        ----------
        table
            Name of the table.
        source
            Name of the instance that replied, or ``STORE``.
        requested_at
            Time at which the reply was requested from the store.
        """
        self._source_by_table[table] = source
        self._confirmed_at_by_source[source] = max(
            requested_at, self._confirmed_at_by_source.get(source, requested_at)
        )

    def record_failure(self, table: str) -> None:
        """Record that the source of ``table`` refused or did not reply."""
        self._source_by_table.pop(table, None)

    def confirmed_at(self, table: str) -> float:
        """Return the time of the latest reply of the source at which ``table`` is followed.

        The result is negative infinity if the table is not followed at any source.
        """
        source = self._source_by_table.get(table)
        if source is None:
            return float("-inf")
        return self._confirmed_at_by_source[source]
