"""Task that tells other instances of the load of targets, and hears of it from them."""

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
# Calls take 0.1 to 0.5 s, so a report is old after about that time; in calm hours all targets
# have free slots, and it is told less often.
BUSY_PERIOD_S = 0.5
CALM_PERIOD_S = 1.0
ANSWER_TIMEOUT_S = 0.3


class LoadExchange(Task):
    """Owns the board; exchanges it with the parent, or as a root with the other roots.

    Parameters
    ----------
    name
        Name of this instance.
    relay
        Links to other instances.
    on_reports
        Called with the time and the reports that are news here.
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
        self._board = LoadReportCache()
        self._due_at = 0.0
        relay.serve(LOADS_KIND, self._serve)

    def seen(self, incarnation: tuple[str, int], report: LoadReport) -> None:
        """Take in a report that came with a response; called by the request greenlets."""
        self._board.see(monotonic(), incarnation_hash(incarnation), report, self._name)

    def next_wake_at(self) -> float | None:
        """Return when the next exchange is due."""
        return self._due_at

    def on_wake(self) -> None:
        """Exchange reports."""
        now = monotonic()
        self._board.forget_old(now)
        self._due_at = now + (BUSY_PERIOD_S if self._board.has_full() else CALM_PERIOD_S)
        source = self._relay.sources.source(now)
        if source is not None:
            self._swap(source.peer, self._board.told_by(now, self._name))
            return
        for peer in self._relay.other_roots:
            self._swap(peer, self._board.fresh(now, self._root_names()))

    def _swap(self, peer: RelayPeer, told: list[PeerReport]) -> None:
        """Tell ``peer`` what is known here, and take in what it knows."""
        answer = self._relay.call(peer, LOADS_KIND, encode_reports(told), ANSWER_TIMEOUT_S)
        if answer is not None:
            self._take(answer, peer.name)

    def _serve(self, sender_id: str, body: bytes) -> bytes:
        sender = sender_id.partition("#")[0]
        self._take(body, sender)
        roots = self._root_names()
        # Another root hears from each root itself; an instance below hears everything.
        left_out = roots if sender in roots else frozenset({sender})
        return encode_reports(self._board.fresh(monotonic(), left_out))

    def _root_names(self) -> frozenset[str]:
        return frozenset(peer.name for peer in self._relay.other_roots)

    def _take(self, body: bytes, sender: str) -> None:
        try:
            heard = decode_reports(body)
        except MalformedReportsError as error:
            logger.bind(peer=sender).warning("load reports cannot be read: {}", error)
            return
        now = monotonic()
        news = self._board.take(now, heard, sender)
        if news:
            self._on_reports(now, news)
