"""Client of the store that asks another instance first."""

from collections.abc import Callable, Sequence
from time import monotonic
from typing import TypeVar

import gevent
from loguru import logger

from damasktide.relay.exchange import RelayExchange
from damasktide.relay.messages import ChangesRefused, ChangesRequest, RelayedChanges
from damasktide.relay.sources import RelaySource
from damasktide.rows.store import (
    Changes,
    ExpectedRow,
    RowStore,
    RowWrite,
    StoreUnavailableError,
    TableState,
)

T = TypeVar("T")

# Sources without fresh news are asked again for this time before the store is, with this pause, so
# that not all instances of a large domain ask the store at once over a link that is full.
SOURCE_PATIENCE_S = 0.4
SOURCE_RETRY_S = 0.15

# Wait of a call to the store by an instance that others of a large failure domain go before. A
# waiting call is answered over the link between the regions, so one that outlasts the moment in
# which the sources knew nothing fresh would bring each large change once more.
DIRECT_WAIT_S = 0.5

# An instance that starts waits this long to learn of the others, by one small answer of the store.
INSTANCES_WAIT_S = 0.5
INSTANCES_POLL_S = 0.02
# In a large failure domain an instance that starts waits this long for a table from another one.
# After a loss of power all start at once, and a table of 0.7 MB for each of 29 instances takes
# over 5 s of a link of 30 Mbit/s.
WHOLE_PATIENCE_S = 1.5

# A source that fell silent is noticed by the first call that it does not answer, which ends the
# others, so only the table that changes all the time needs short waits.
LONGEST_RELAY_WAIT_S = 4.0


class RelayedStore:
    """Asks another instance for changes, and the store where that has none.

    Writes always go to the store, and so do complete reads but for the first one of a large table
    in a large failure domain.

    Parameters
    ----------
    store
        Client of the store.
    exchange
        Links to other instances.
    is_large
        Whether the table is so large that an instance that starts asks another one for it.
    """

    def __init__(self, store: RowStore, exchange: RelayExchange, is_large: bool = False) -> None:
        self._store = store
        self._exchange = exchange
        self._asks_for_whole = is_large
        self._is_interrupted = False

    def read_table(self, table: str) -> TableState:
        """See :meth:`damasktide.rows.store.RowStore.read_table`."""
        asks_for_whole, self._asks_for_whole = self._asks_for_whole, False
        if asks_for_whole and (found := self._whole_table(table)) is not None:
            return found
        return self._asked(lambda: self._store.read_table(table))

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        """See :meth:`damasktide.rows.store.RowStore.wait_for_changes`."""
        found = self._news(table, after, wait_s)
        if found is not None:
            return found
        if self._exchange.sources.waits_for_others:
            wait_s = min(wait_s, DIRECT_WAIT_S)
        try:
            return self._asked(lambda: self._store.wait_for_changes(table, after, wait_s))
        except StoreUnavailableError:
            found = self._substitute_news(table, after)
            if found is None:
                raise
            return found

    def interrupt(self) -> None:
        """See :meth:`damasktide.rows.store.RowStore.interrupt`."""
        self._is_interrupted = True
        self._store.interrupt()

    def write(self, writes: Sequence[RowWrite], expected: Sequence[ExpectedRow] = ()) -> int:
        """See :meth:`damasktide.rows.store.RowStore.write`."""
        return self._store.write(writes, expected)

    def _whole_table(self, table: str) -> TableState | None:
        """Return the table as another instance knows it, for which it gets some time."""
        sources = self._exchange.sources
        known_until = monotonic() + INSTANCES_WAIT_S
        while not sources.knows_instances and monotonic() < known_until:
            gevent.sleep(INSTANCES_POLL_S)
        until = monotonic() + WHOLE_PATIENCE_S
        while sources.waits_for_others and (source := sources.source(monotonic())) is not None:
            news = self._answer(
                source, ChangesRequest(table, 0, 0.0, source.max_age_s, is_whole=True)
            )
            if news is not None:
                logger.bind(table=table, peer=source.peer.name, version=news.version).info(
                    "read a table from another instance"
                )
                return TableState(news.rows, news.version, news.age_s)
            if monotonic() >= until:
                return None
            gevent.sleep(SOURCE_RETRY_S)
        return None

    def _news(self, table: str, after: int, wait_s: float) -> Changes | None:
        """Return what another instance knows; sources without fresh news are asked again."""
        sources = self._exchange.sources
        refused_at: float | None = None
        while (source := sources.source(monotonic())) is not None:
            found = self._relayed(source, table, after, wait_s if refused_at is None else 0.0)
            found = found or self._substitute_news(table, after)
            if found is not None or sources.substitute(monotonic()) is None:
                return found
            refused_at = refused_at or monotonic()
            if monotonic() >= refused_at + SOURCE_PATIENCE_S:
                return None
            gevent.sleep(SOURCE_RETRY_S)
        return None

    def _substitute_news(self, table: str, after: int) -> Changes | None:
        substitute = self._exchange.sources.substitute(monotonic())
        return self._relayed(substitute, table, after, 0.0) if substitute is not None else None

    def _asked(self, call: Callable[[], T]) -> T:
        """Call the store and note whether it answered."""
        sources = self._exchange.sources
        if not sources.may_ask_store(monotonic()):
            raise StoreUnavailableError("the store was lost a moment ago", is_certain=True)
        self._is_interrupted = False
        try:
            answer = call()
        except StoreUnavailableError:
            if not self._is_interrupted:
                sources.store_failed(monotonic())
            raise
        sources.store_answered()
        return answer

    def _relayed(
        self, source: RelaySource, table: str, after: int, wait_s: float
    ) -> Changes | None:
        wait_s = min(wait_s, LONGEST_RELAY_WAIT_S)
        news = self._answer(source, ChangesRequest(table, after, wait_s, source.max_age_s))
        return Changes(news.rows, news.version, news.age_s) if news is not None else None

    def _answer(self, source: RelaySource, wanted: ChangesRequest) -> RelayedChanges | None:
        news = self._exchange.ask_peer(source.peer, wanted)
        if isinstance(news, ChangesRefused):
            return None
        self._exchange.sources.peer_answered(source.peer.name)
        return news
