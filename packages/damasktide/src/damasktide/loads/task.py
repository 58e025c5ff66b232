"""Task that exchanges the targets' load reports with other instances."""

from collections.abc import Callable, Sequence
from time import monotonic

from loguru import logger

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.loads.codec import MalformedReportsError, decode_reports, encode_reports
from damasktide.loads.messages import PeerReport, incarnation_hash
from damasktide.loads.report_cache import LoadReportCache
from damasktide.relay.exchange import RelayExchange
from damasktide.relay.tree import RelayPeer
from damasktide.runtime.task import Task, TaskFailed

LOADS_KIND = "loads"
# Calls take 0.1 to 0.5 s, so a report is outdated after about that time. While no target is full,
# reports are exchanged less often.
BUSY_INTERVAL_S = 0.5
IDLE_INTERVAL_S = 1.0
REPLY_TIMEOUT_S = 0.3


class LoadExchange(Task):
    """Owns the load report cache and exchanges its contents with other instances.

    An instance exchanges reports with its parent in the relay tree, a root with the other roots.

    Parameters
    ----------
    name
        Name of this instance.
    relay
        Links to other instances.
    on_reports
        Called with the time and the reports that were new to this instance.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    """

    def __init__(
        self,
        name: str,
        relay: RelayExchange,
        on_reports: Callable[[float, Sequence[PeerReport]], None],
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("loads", on_failure)
        self._name = name
        self._relay = relay
        self._on_reports = on_reports
        self._cache = LoadReportCache()
        self._due_at = 0.0
        relay.serve(LOADS_KIND, self._serve)

    def record_own_report(self, incarnation: tuple[str, int], report: LoadReport) -> None:
        """Record a report that arrived with a response; called by the request greenlets."""
        self._cache.record_own(monotonic(), incarnation_hash(incarnation), report, self._name)

    def next_wake_at(self) -> float | None:
        """Return when the next exchange is due."""
        return self._due_at

    def on_wake(self) -> None:
        """Exchange reports with the parent or the other roots."""
        now = monotonic()
        self._cache.drop_expired(now)
        self._due_at = now + (
            BUSY_INTERVAL_S if self._cache.has_full_target() else IDLE_INTERVAL_S
        )
        source = self._relay.sources.domain_source(now)
        if source is not None:
            self._exchange_reports(source.peer, self._cache.reports_from(now, self._name))
            return
        for peer in self._relay.other_roots:
            self._exchange_reports(peer, self._cache.reports_excluding(now, self._root_names()))

    def _exchange_reports(self, peer: RelayPeer, reports: list[PeerReport]) -> None:
        """Send ``reports`` to ``peer`` and merge the reports in its reply."""
        reply = self._relay.call(peer, LOADS_KIND, encode_reports(reports), REPLY_TIMEOUT_S)
        if reply is not None:
            self._merge_reports(reply, peer.name)

    def _serve(self, sender_id: str, body: bytes) -> bytes:
        sender = sender_id.partition("#")[0]
        self._merge_reports(body, sender)
        roots = self._root_names()
        # Each root sends its reports to every other root; a child gets all reports but its own.
        excluded = roots if sender in roots else frozenset({sender})
        return encode_reports(self._cache.reports_excluding(monotonic(), excluded))

    def _root_names(self) -> frozenset[str]:
        return frozenset(peer.name for peer in self._relay.other_roots)

    def _merge_reports(self, body: bytes, sender: str) -> None:
        try:
            received = decode_reports(body)
        except MalformedReportsError as error:
            logger.bind(peer=sender).warning("cannot decode load reports: {}", error)
            return
        now = monotonic()
        updates = self._cache.merge(now, received, sender)
        if updates:
            self._on_reports(now, updates)
