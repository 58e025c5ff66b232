"""Serves other instances from the table snapshots of this one."""

from collections.abc import Mapping

from loguru import logger

from damasktide.relay.codec import (
    MalformedChangesError,
    decode_changes_request,
    encode_changes_reply,
)
from damasktide.relay.messages import (
    CHANGES_FORGOTTEN,
    ChangesRefused,
    ChangesReply,
    ChangesRequest,
    RelayedChanges,
)
from damasktide.relay.table_sources import TableSources
from damasktide.rows.snapshot import TableSnapshot
from damasktide.rows.store import era_of
from damasktide.runtime.clock import Clock
from damasktide.runtime.published import Published

# Kind of the peer calls that request changes.
CHANGES_KIND = "relay-news"
# Upper limit on the wait that a peer may request.
MAX_WAIT_S = 5.0
# Delay after the freshness limit before it is checked again, so that it has certainly passed.
FRESHNESS_RECHECK_S = 0.02

Snapshots = Mapping[str, Published[TableSnapshot | None]]


class ChangesServer:
    """Serves requests for changes; each call runs in its own greenlet.

    Parameters
    ----------
    snapshots
        Snapshot of each table.
    table_sources
        Where the tables are followed, which shows how fresh the snapshots are.
    clock
        Lease clock.
    """

    def __init__(self, snapshots: Snapshots, table_sources: TableSources, clock: Clock) -> None:
        self._snapshots = snapshots
        self._table_sources = table_sources
        self._clock = clock

    def serve(self, sender_id: str, body: bytes) -> bytes:
        """Decode a request and return the encoded reply."""
        try:
            request = decode_changes_request(body)
        except MalformedChangesError as error:
            logger.bind(peer=sender_id).warning("cannot decode request for changes: {}", error)
            return encode_changes_reply(ChangesRefused("malformed"))
        return encode_changes_reply(self.reply_to(request))

    def reply_to(self, request: ChangesRequest) -> ChangesReply:
        """Return the changes as soon as there are any, or a newer response without any.

        A requester that is behind the known changes gets the complete table at once.
        """
        published = self._snapshots.get(request.table)
        if published is None:
            return ChangesRefused("unknown table")
        arrived_at = self._clock.now()
        until = arrived_at + min(request.wait_s, MAX_WAIT_S)
        while True:
            snapshot = published.value
            if snapshot is None:
                return ChangesRefused("not read yet")
            if era_of(snapshot.version) < era_of(request.after):
                # The requester would take its own rows for confirmed.
                return ChangesRefused("the store has been restored since")
            now = self._clock.now()
            confirmed_at = max(
                snapshot.requested_at, self._table_sources.confirmed_at(request.table)
            )
            fresh_until = confirmed_at + request.max_age_s
            if now > fresh_until:
                return ChangesRefused("no fresh answer of the store")
            # Checked after the freshness, so that the requester can read the complete table here.
            is_behind = not request.is_full_read and request.after < snapshot.complete_since
            if is_behind and not request.accepts_complete:
                return ChangesRefused(CHANGES_FORGOTTEN)
            is_complete = is_behind or request.is_full_read
            rows = snapshot.rows if is_complete else snapshot.rows_after(request.after)
            is_newer = snapshot.requested_at > request.known_confirmation
            if rows or is_newer or now >= until or is_complete:
                # Relative to the arrival, because the requester counts from the time at which it
                # sent the request.
                return RelayedChanges(
                    rows,
                    snapshot.version,
                    age_s=arrived_at - confirmed_at,
                    age_s_by_table={
                        table: arrived_at - at
                        for table, at in self._table_sources.confirmed_at_by_table().items()
                    },
                    confirmation=snapshot.requested_at,
                    uninterrupted_s=(
                        arrived_at - self._table_sources.uninterrupted_since(request.table)
                    ),
                    is_complete=is_complete,
                )
            # The wait ends once the snapshot is stale, so that the requester does not depend on an
            # instance that has lost contact with the store itself.
            published.wait_for_change(
                snapshot, min(until, fresh_until + FRESHNESS_RECHECK_S) - now
            )
