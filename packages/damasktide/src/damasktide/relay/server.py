"""Answers other instances from the snapshots of this one."""

from collections.abc import Iterable, Mapping

from loguru import logger

from damasktide.relay.codec import (
    MalformedChangesError,
    decode_changes_request,
    encode_changes_reply,
)
from damasktide.relay.messages import ChangesRefused, ChangesRequest, News, RelayedChanges
from damasktide.rows.snapshot import TableSnapshot, latest_requested_at
from damasktide.runtime.clock import Clock
from damasktide.runtime.published import Published

# Kind of the calls in which another instance asks for news.
CHANGES_KIND = "relay-news"
# Bound on the wait that a peer may ask for.
LONGEST_WAIT_S = 5.0
# Pause after which an answer that has become too old is certainly seen to be.
RECHECK_S = 0.02

Snapshots = Mapping[str, Published[TableSnapshot | None]]


class ChangesServer:
    """Answers questions for news; each call runs in its own greenlet.

    Parameters
    ----------
    snapshots
        Snapshot of each table.
    clock
        Lease clock.
    """

    def __init__(self, snapshots: Snapshots, clock: Clock) -> None:
        self._snapshots = snapshots
        self._clock = clock

    def serve(self, sender_id: str, body: bytes) -> bytes:
        """Return the encoded answer to an encoded question."""
        try:
            wanted = decode_changes_request(body)
        except MalformedChangesError as error:
            logger.bind(peer=sender_id).warning("question for news cannot be read: {}", error)
            return encode_changes_reply(ChangesRefused("malformed"))
        return encode_changes_reply(self.answer(wanted))

    def answer(self, wanted: ChangesRequest) -> News:
        """Return what changed, at once or when something does."""
        published = self._snapshots.get(wanted.table)
        if published is None:
            return ChangesRefused("unknown table")
        until = self._clock.now() + min(wanted.wait_s, LONGEST_WAIT_S)
        while True:
            snapshot = published.value
            if snapshot is None:
                return ChangesRefused("not read yet")
            if not wanted.is_whole and wanted.after < snapshot.complete_since:
                return ChangesRefused("changes are no longer known")
            now = self._clock.now()
            fresh_until = latest_requested_at(self._all()) + wanted.max_age_s
            if now > fresh_until:
                return ChangesRefused("no fresh answer of the store")
            rows = snapshot.rows if wanted.is_whole else snapshot.rows_after(wanted.after)
            if rows or now >= until or wanted.is_whole:
                age_s = max(0.0, now - snapshot.requested_at)
                return RelayedChanges(rows, snapshot.version, age_s)
            # An asker must not wait on when this instance has lost the store itself.
            published.wait_beyond(snapshot, min(until, fresh_until + RECHECK_S) - now)

    def _all(self) -> Iterable[TableSnapshot | None]:
        return (published.value for published in self._snapshots.values())
