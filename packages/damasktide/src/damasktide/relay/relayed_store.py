"""Store client that reads from another instance first."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from math import isinf
from time import monotonic
from typing import TypeVar

import gevent
from loguru import logger

from damasktide.relay.exchange import RelayExchange
from damasktide.relay.messages import (
    CHANGES_FORGOTTEN,
    ChangesRefused,
    ChangesRequest,
    RelayedChanges,
)
from damasktide.relay.sources import RelaySource
from damasktide.relay.table_sources import STORE, TableSources
from damasktide.rows.store import (
    Changes,
    ExpectedRow,
    HistoryLostError,
    RowStore,
    RowWrite,
    StoreNotCalledError,
    StoreUnavailableError,
    TableState,
)
from damasktide.runtime.clock import LeaseClock

T = TypeVar("T")

# Time for which sources without fresh data are polled before the store is called, and the interval
# between the polls. It keeps the instances of a large domain from calling the store simultaneously
# over a saturated link.
SOURCE_RETRY_TIMEOUT_S = 0.4
SOURCE_RETRY_INTERVAL_S = 0.15

# Longest wait of a call to the store by an instance whose sources have nothing fresh. The response
# crosses the link between the regions, so a call that still waits after the sources have become
# fresh again would transfer each large change once more.
MAX_DEFERRED_WAIT_S = 0.5

# Time for which a starting instance waits until the other instances are known, which takes one
# small response of the store.
INSTANCES_TIMEOUT_S = 0.5
INSTANCES_POLL_INTERVAL_S = 0.02
# Time for which a starting instance of a large failure domain tries to read a table from another
# instance. After a power failure all instances start simultaneously, and sending a table of 0.7 MB
# to each of 29 instances takes over 5 s on a link of 30 Mbit/s.
FULL_READ_TIMEOUT_S = 1.5

# Wait of a call about the table whose calls watch over the source. The root of the relay polls the
# store for that table each 0.6 s, and each response ends the wait.
WATCH_WAIT_S = 0.7
# Shortest time allowed for the reply to such a call.
MIN_REPLY_S = 0.2
# Longest wait of a call to another instance. An unresponsive source is detected by the first call
# that times out, which also ends the other calls to it. Short waits are therefore needed only for
# the table that changes constantly.
MAX_RELAY_WAIT_S = 4.0


class RelayedStore:
    """Requests changes from other instances, and from the store if they have no fresh data.

    Writes always go to the store. Full reads also do, except the first read of a table in a large
    failure domain or far from the store, and reads while the store is unavailable.

    Parameters
    ----------
    store
        Client of the store.
    exchange
        Links to other instances.
    table_sources
        Receives where the changes of each table are requested, and up to when they are known.
    reads_from_peer
        Whether the first read of a table may come from another instance.
    watches_source
        Whether the table changes constantly, so that its calls show whether the source responds.
        They end at the maximum age of the data; their failure ends the calls for other tables.
    """

    def __init__(
        self,
        store: RowStore,
        exchange: RelayExchange,
        table_sources: TableSources,
        reads_from_peer: bool = False,
        watches_source: bool = False,
    ) -> None:
        self._store = store
        self._exchange = exchange
        self._table_sources = table_sources
        self._reads_from_peer = reads_from_peer
        self._watches_source = watches_source
        # Name of the last source, and the confirmation that it sent.
        self._known_confirmation = ("", 0.0)
        self._clock = LeaseClock()
        self._is_interrupted = False
        # Whether an instance asked during the current call did not know changes that old.
        self._are_changes_forgotten = False

    def read_table(self, table: str) -> TableState:
        """See :meth:`damasktide.rows.store.RowStore.read_table`."""
        reads_from_peer, self._reads_from_peer = self._reads_from_peer, False
        if reads_from_peer and (state := self._table_from_peer(table)) is not None:
            return state
        try:
            return self._call_store(table, lambda: self._store.read_table(table))
        except StoreUnavailableError:
            state = self._table_from_reachable_peer(table)
            if state is None:
                raise
            return state

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        """See :meth:`damasktide.rows.store.RowStore.wait_for_changes`."""
        self._are_changes_forgotten = False
        changes = self._changes_from_peers(table, after, wait_s)
        if changes is not None:
            return changes
        if self._exchange.sources.source(monotonic()) is not None:
            wait_s = min(wait_s, MAX_DEFERRED_WAIT_S)
        try:
            return self._call_store(
                table, lambda: self._store.wait_for_changes(table, after, wait_s)
            )
        except StoreUnavailableError as error:
            changes = self._changes_from_fallback(table, after)
            if changes is not None:
                return changes
            if self._are_changes_forgotten:
                # An instance that has just started has the table, but not its earlier changes.
                raise HistoryLostError(table) from error
            raise

    def interrupt(self) -> None:
        """See :meth:`damasktide.rows.store.RowStore.interrupt`."""
        self._is_interrupted = True
        self._store.interrupt()

    def round_trip_s(self) -> float | None:
        """See :meth:`damasktide.rows.store.RowStore.round_trip_s`."""
        return self._store.round_trip_s()

    def write(self, writes: Sequence[RowWrite], expected: Sequence[ExpectedRow] = ()) -> int:
        """See :meth:`damasktide.rows.store.RowStore.write`."""
        return self._store.write(writes, expected)

    def _table_from_peer(self, table: str) -> TableState | None:
        """Read the table from another instance, or return None if none has it in time."""
        sources = self._exchange.sources
        wait_until = monotonic() + INSTANCES_TIMEOUT_S
        while not sources.is_order_known and monotonic() < wait_until:
            gevent.sleep(INSTANCES_POLL_INTERVAL_S)
        until = monotonic() + FULL_READ_TIMEOUT_S
        while sources.reads_from_peers and (source := sources.source(monotonic())) is not None:
            state = self._table_from(source, table)
            if state is not None or monotonic() >= until:
                return state
            gevent.sleep(SOURCE_RETRY_INTERVAL_S)
        return None

    def _table_from_reachable_peer(self, table: str) -> TableState | None:
        """Read the table from the first instance that has it while the store is unavailable."""
        sources = self._exchange.sources
        for source in (sources.source(monotonic()), sources.fallback_source(monotonic())):
            if source is not None and (state := self._table_from(source, table)) is not None:
                return state
        return None

    def _table_from(self, source: RelaySource, table: str) -> TableState | None:
        reply = self._request_from(
            source, ChangesRequest(table, 0, 0.0, source.max_age_s, is_full_read=True)
        )
        if reply is None:
            return None
        logger.bind(table=table, peer=source.peer.name, version=reply.version).info(
            "read a table from another instance"
        )
        return TableState(reply.rows, reply.version, reply.age_s, source.peer.name)

    def _changes_from_peers(self, table: str, after: int, wait_s: float) -> Changes | None:
        """Request changes from other instances; poll sources that have nothing fresh."""
        sources = self._exchange.sources
        refused_at: float | None = None
        while (source := sources.source(monotonic())) is not None:
            self._exchange.follow(source)
            call_source, call_wait_s = self._limited_call(
                source, table, wait_s if refused_at is None else 0.0
            )
            changes = self._changes_from(call_source, table, after, call_wait_s)
            changes = changes or self._changes_from_fallback(table, after)
            if changes is not None or not sources.may_retry_sources(monotonic()):
                return changes
            refused_at = refused_at or monotonic()
            if monotonic() >= refused_at + SOURCE_RETRY_TIMEOUT_S:
                return None
            gevent.sleep(SOURCE_RETRY_INTERVAL_S)
        return None

    def _changes_from_fallback(self, table: str, after: int) -> Changes | None:
        source = self._exchange.sources.fallback_source(monotonic())
        return self._changes_from(source, table, after, 0.0) if source is not None else None

    def _limited_call(
        self, source: RelaySource, table: str, wait_s: float
    ) -> tuple[RelaySource, float]:
        """Return the source, with its margin, and the wait of a call that ends in time.

        Calls that watch over the source end when the data reaches the maximum age.
        """
        confirmed_at = self._table_sources.confirmed_at(table)
        if not self._watches_source or wait_s <= 0.0 or isinf(confirmed_at):
            return source, wait_s
        left_s = max(MIN_REPLY_S, confirmed_at + source.max_age_s - self._clock.now())
        wait_s = min(WATCH_WAIT_S, left_s)
        margin_s = min(source.reply_margin_s, max(MIN_REPLY_S, left_s - wait_s))
        return replace(source, reply_margin_s=margin_s), wait_s

    def _call_store(self, table: str, call: Callable[[], T]) -> T:
        """Call the store about ``table`` and record whether it responded."""
        sources = self._exchange.sources
        if not sources.may_call_store(monotonic()):
            self._table_sources.record_failure(table)
            raise StoreNotCalledError
        self._is_interrupted = False
        requested_at = self._clock.now()
        self._table_sources.record_request(table, STORE, requested_at)
        try:
            result = call()
        except StoreUnavailableError:
            self._table_sources.record_failure(table)
            if not self._is_interrupted:
                sources.record_store_failure(monotonic())
            raise
        except HistoryLostError:
            self._table_sources.record_failure(table)
            raise
        waited_s = result.waited_s if isinstance(result, Changes) else 0.0
        self._table_sources.record_store_reply(table, requested_at, waited_s)
        sources.record_store_response()
        return result

    def _changes_from(
        self, source: RelaySource, table: str, after: int, wait_s: float
    ) -> Changes | None:
        name, confirmation = self._known_confirmation
        request = ChangesRequest(
            table,
            after,
            min(wait_s, MAX_RELAY_WAIT_S),
            source.max_age_s,
            known_confirmation=confirmation if name == source.peer.name else float("-inf"),
            accepts_complete=True,
        )
        reply = self._request_from(source, request)
        if reply is None:
            return None
        return Changes(reply.rows, reply.version, reply.age_s, source.peer.name, reply.is_complete)

    def _request_from(self, source: RelaySource, request: ChangesRequest) -> RelayedChanges | None:
        requested_at = self._clock.now()
        self._table_sources.record_request(request.table, source.peer.name, requested_at)
        reply = self._exchange.request_changes(source, request)
        if isinstance(reply, ChangesRefused):
            self._table_sources.record_failure(request.table)
            self._are_changes_forgotten |= reply.reason == CHANGES_FORGOTTEN
            return None
        self._table_sources.record_peer_reply(
            request.table,
            source.peer.name,
            requested_at,
            requested_at - reply.age_s,
            {table: requested_at - age_s for table, age_s in reply.age_s_by_table.items()},
            requested_at - reply.uninterrupted_s,
        )
        self._known_confirmation = (source.peer.name, reply.confirmation)
        self._exchange.sources.record_peer_reply(source.peer.name)
        return reply
