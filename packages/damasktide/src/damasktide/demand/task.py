"""Task that sums the demand of all instances along the relay trees, up to the leader."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from time import monotonic

from loguru import logger

from damasktide.demand.codec import MalformedReportError, decode_report, encode_report
from damasktide.demand.messages import DemandReport, Speed, merge_reports
from damasktide.demand.meter import DemandMeter
from damasktide.relay.exchange import RelayExchange
from damasktide.relay.tree import RelayPeer
from damasktide.runtime.task import Task, TaskFailed, every, handles

DEMAND_KIND = "demand"
REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 0.6
# A report of another instance that is older than this is ignored: it has missed two reports.
MAX_REPORT_AGE_S = 2.5


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report from another instance."""

    sender: str
    report: DemandReport


@dataclass(frozen=True, slots=True)
class _Received:
    at: float
    report: DemandReport


class DemandExchange(Task):
    """Owns the demand meter and the latest reports of the instances below this one.

    An instance reports to its parent in the relay tree, the root of a tree to the leader. The
    leader passes the sum on to ``on_demand``.

    Parameters
    ----------
    name
        Name of this instance.
    relay
        Links to other instances.
    leader
        Returns the leader, or None if it is not known.
    speeds
        Returns what this instance knows of the speed of the targets of keyed services.
    on_demand
        Called on the leader with the demand of all instances.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    """

    def __init__(
        self,
        name: str,
        relay: RelayExchange,
        leader: Callable[[], RelayPeer | None],
        speeds: Callable[[], Iterable[tuple[int, Speed]]],
        on_demand: Callable[[DemandReport], None],
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("demand", on_failure)
        self._name = name
        self._relay = relay
        self._leader = leader
        self._speeds = speeds
        self._on_demand = on_demand
        self._meter = DemandMeter()
        self._received_by_sender: dict[str, _Received] = {}
        relay.serve(DEMAND_KIND, self._serve)

    def record_request(self, service: str, key: int, work_s: float) -> None:
        """Record a request for a key; called by the request greenlets."""
        self._meter.record_request(monotonic(), service, key, work_s)

    @every(REPORT_INTERVAL_S)
    def _report(self) -> None:
        now = monotonic()
        leader = self._leader()
        if leader is None:
            return
        report = self._summed_report(now)
        if leader.name == self._name:
            self._on_demand(report)
            return
        parent = self._relay.sources.domain_source(now)
        receiver = parent.peer if parent is not None else leader
        if report.load_by_bucket:
            self._relay.call(receiver, DEMAND_KIND, encode_report(report), REPORT_TIMEOUT_S)

    @handles(ReportReceived)
    def _report_received(self, message: ReportReceived) -> None:
        self._received_by_sender[message.sender] = _Received(monotonic(), message.report)

    def _summed_report(self, now: float) -> DemandReport:
        self._received_by_sender = {
            sender: received
            for sender, received in self._received_by_sender.items()
            if now - received.at <= MAX_REPORT_AGE_S
        }
        own = DemandReport(self._meter.loads(now), dict(self._speeds()))
        received = (received.report for received in self._received_by_sender.values())
        return merge_reports(iter((own, *received)))

    def _serve(self, sender_id: str, body: bytes) -> bytes:
        sender = sender_id.partition("#")[0]
        try:
            self.tell(ReportReceived(sender, decode_report(body)))
        except MalformedReportError as error:
            logger.bind(peer=sender).warning("cannot decode a demand report: {}", error)
        return b""
