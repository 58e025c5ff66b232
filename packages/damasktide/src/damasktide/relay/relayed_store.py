"""Client of the store that asks another instance first."""

from collections.abc import Callable, Sequence
from time import monotonic
from typing import TypeVar

import gevent

from damasktide.relay.exchange import RelayExchange
from damasktide.relay.messages import NewsRefused
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

# A source that fell silent is noticed by the first call that it does not answer, which ends the
# others, so only the table that changes all the time needs short waits.
LONGEST_RELAY_WAIT_S = 4.0


class RelayedStore:
    """Asks another instance for changes, and the store where that has none.

    Complete reads and writes always go to the store.

    Parameters
    ----------
    store
        Client of the store.
    exchange
        Links to other instances.
    """

    def __init__(self, store: RowStore, exchange: RelayExchange) -> None:
        self._store = store
        self._exchange = exchange
        self._is_interrupted = False

    def read_table(self, table: str) -> TableState:
        """See :meth:`damasktide.rows.store.RowStore.read_table`."""
        return self._asked(lambda: self._store.read_table(table))

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        """See :meth:`damasktide.rows.store.RowStore.wait_for_changes`."""
        found = self._news(table, after, wait_s)
        if found is not None:
            return found
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
        news = self._exchange.ask_peer(source, table, after, min(wait_s, LONGEST_RELAY_WAIT_S))
        if isinstance(news, NewsRefused):
            return None
        self._exchange.sources.peer_answered(source.peer.name)
        return Changes(news.rows, news.version, news.age_s)
