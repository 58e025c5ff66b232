"""A gateway instance with its tasks, its listeners and its graceful stop."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from secrets import randbits
from time import monotonic, time

import gevent
from loguru import logger
from prometheus_client import CollectorRegistry

from damasktide.capacity.learner import make_learner
from damasktide.capacity.metrics import CapacityCollector
from damasktide.capacity.task import CapacityExchange
from damasktide.demand.messages import Speed
from damasktide.demand.task import DemandExchange
from damasktide.dispatch.dispatcher import Dispatcher
from damasktide.dispatch.link_budget import LinkBudget
from damasktide.gateway.dialect import Dialect, ResponseMetadata
from damasktide.gateway.handler import GatewayContext, GatewayHandler
from damasktide.gateway.pipeline_order import BufferBudget
from damasktide.gateway.probe_listener import ProbeHandler
from damasktide.gateway.request import GatewayRequest
from damasktide.gateway.telemetry import GatewayTelemetry
from damasktide.http1.caller_connection import CallerLimits
from damasktide.http1.listener import Listener
from damasktide.http1.pool import ConnectionPool
from damasktide.keyspace.assignment_controller import HOLD_S
from damasktide.keyspace.assignment_task import (
    AssignmentTask,
    DemandObserved,
    KeyedServices,
    Members,
    Resign,
    TargetsChanged,
)
from damasktide.keyspace.command_sender import CommandCodec
from damasktide.keyspace.table import InstanceRecord
from damasktide.lifecycle.state import Lifecycle, LifecycleSnapshot, Phase
from damasktide.lifecycle.task import (
    BeginDrain,
    LifecycleTask,
    MarkReady,
    RequestFinished,
    RequestStarted,
)
from damasktide.loads.messages import PeerReport, incarnation_hash
from damasktide.loads.task import LoadExchange
from damasktide.quotas.task import QuotaExchange
from damasktide.relay.exchange import RelayExchange, RelayGroup
from damasktide.relay.relayed_store import RelayedStore
from damasktide.relay.server import ChangesServer
from damasktide.relay.table_sources import TableSources
from damasktide.relay.tree import RelayPeer, relay_order, upstream
from damasktide.routing.configuration import RoutingConfiguration, Service
from damasktide.routing.task import RecordDecoder, RoutingTask
from damasktide.rows.snapshot import TableSnapshot
from damasktide.rows.store import RowStore
from damasktide.runtime.clock import LeaseClock, MonotonicClock
from damasktide.runtime.published import Published
from damasktide.settings.gateway import GatewaySettings
from damasktide.targets.cold_start_probe import ColdStartProber, HealthDecoder, ProbeTarget
from damasktide.targets.target import TargetView
from damasktide.targets.task import (
    SURVIVED_INTERVALS,
    EvacuatedDomains,
    TargetDecoder,
    TargetLeaving,
    TargetTask,
)

# The platform checks readiness every second and removes a machine after two failed checks.
SERVE_AFTER_DRAIN_S = 2.6
# Part of the stop grace period that remains when requests in flight are aborted.
STOP_MARGIN_S = 0.5
# Part of that margin in which the callers of aborted requests get their responses; the rest allows
# for a process that is scheduled late.
ABORT_S = 0.3
HOUSEKEEPING_INTERVAL_S = 0.5
CLOSE_IDLE_INTERVAL_S = 0.1
READY_POLL_INTERVAL_S = 0.02
# The speed that this instance has learned of a target counts as that of at most this many calls,
# because the mean that it keeps forgets older ones.
MAX_SPEED_WEIGHT = 20


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Dependencies on the platform, provided by its adapter.

    Attributes
    ----------
    dialect
        Header fields of callers and targets.
    commands
        Codec of the commands that grant and release keys.
    health
        Decoder of responses to health checks.
    open_store
        Creates a client of the store.
    target_table, decode_target
        Table that lists the targets, and the decoder of its rows.
    operator_table, decode_record
        Table to which operators write, and the decoder of its rows.
    readiness_path, metrics_path
        Paths of the readiness check and of the metrics.
    """

    dialect: Dialect
    commands: CommandCodec
    health: HealthDecoder
    open_store: Callable[[], RowStore]
    target_table: str
    decode_target: TargetDecoder
    operator_table: str
    decode_record: RecordDecoder
    readiness_path: str
    metrics_path: str


class GatewayInstance:
    """A gateway, which runs until it has drained.

    Parameters
    ----------
    settings
        Validated settings.
    adapter
        Adapter to the platform.
    """

    def __init__(self, settings: GatewaySettings, adapter: PlatformAdapter) -> None:
        self._settings = settings
        boot_id = f"{time():.6f}"
        listen = settings.peer_listen
        record = InstanceRecord(
            settings.instance,
            boot_id,
            settings.domain,
            (listen.host, listen.port) if listen is not None else None,
            settings.link_mbps,
        )
        registry = CollectorRegistry()
        self._lifecycle_snapshot: Published[LifecycleSnapshot] = Published(LifecycleSnapshot())
        longest_deadline_s = settings.stop_grace_s - SERVE_AFTER_DRAIN_S - STOP_MARGIN_S
        lifecycle = Lifecycle(SERVE_AFTER_DRAIN_S, longest_deadline_s, ABORT_S)
        self._lifecycle = LifecycleTask(
            lifecycle, MonotonicClock(), self._lifecycle_snapshot, (self._phase_changed,)
        )
        on_failure = self._lifecycle.tell
        self._snapshots: dict[str, Published[TableSnapshot | None]] = {}
        self._table_sources = TableSources(SURVIVED_INTERVALS * settings.check_in_interval_s)
        self._relay_exchange: RelayExchange | None = None
        self._load_exchange: LoadExchange | None = None
        self._demand_exchange: DemandExchange | None = None
        self._capacity_exchange: CapacityExchange | None = None
        learner, summaries = make_learner(settings.target_learning, randbits(32) or 1)
        self._incarnation_by_hash: dict[int, tuple[str, int]] = {}
        self._keyed_services: frozenset[str] = frozenset()
        if listen is not None:
            changes_server = ChangesServer(self._snapshots, self._table_sources, LeaseClock())
            self._relay_exchange = RelayExchange(
                settings.instance, boot_id, listen, changes_server, on_failure
            )
            self._load_exchange = LoadExchange(
                settings.instance, self._relay_exchange, self._apply_peer_reports, on_failure
            )
            self._demand_exchange = DemandExchange(
                settings.instance,
                self._relay_exchange,
                lambda: self._assignment.leader.value,
                self._speeds_of_keyed_targets,
                lambda report: self._assignment.tell(DemandObserved(report)),
                on_failure,
            )
        if self._relay_exchange is not None and settings.target_learning == "shared":
            self._capacity_exchange = CapacityExchange(
                settings.instance,
                self._relay_exchange,
                summaries,
                on_failure,
            )
        self._targets = TargetTask(
            self._open_store(adapter, reads_from_peer=True, watches_source=True),
            adapter.target_table,
            adapter.decode_target,
            self._targets_changed,
            self._store_unavailable,
            on_failure,
            settings.check_in_interval_s,
            lambda: self._table_sources.uninterrupted_since(adapter.target_table),
            self._cold_s,
        )
        self._assignment = AssignmentTask(
            record,
            lambda reads_from_peer: self._open_store(adapter, reads_from_peer),
            adapter.commands,
            lambda: self._targets.confirmed_at.value,
            self._members_changed,
            min(HOLD_S, settings.longest_hold_s),
            settings.region_by_domain,
            on_failure,
        )
        self._routing = RoutingTask(
            self._open_store(adapter, reads_from_peer=True),
            adapter.operator_table,
            adapter.decode_record,
            self._configuration_changed,
            self._evacuation_changed,
            on_failure,
        )
        self._quota_exchange = QuotaExchange(
            settings.instance,
            boot_id,
            self._relay_exchange,
            lambda: self._assignment.leader.value,
            self._assignment.leadership,
            settings.quota_limits,
            registry,
            on_failure,
        )
        followers = {
            adapter.target_table: self._targets.follower,
            adapter.operator_table: self._routing.follower,
            **self._assignment.followers,
        }
        self._snapshots.update((table, follower.snapshot) for table, follower in followers.items())
        self._dispatcher = Dispatcher(
            settings.domain,
            settings.region_by_domain,
            settings.instance,
            drain_s=settings.drain_s,
            learner=learner,
        )
        if learner is not None:
            registry.register(CapacityCollector(self._dispatcher.estimates))
        self._pool = ConnectionPool()
        self._prober = ColdStartProber(adapter.health, self._targets.tell)
        self._handler = GatewayHandler(self._gateway_context(adapter, registry))
        self._listener = Listener(
            (settings.listen.host, settings.listen.port), self._limits, self._handler.serve
        )
        probes = ProbeHandler(
            adapter.readiness_path,
            adapter.metrics_path,
            lambda: self._lifecycle_snapshot.value,
            registry,
        )
        self._probe_listener = Listener(
            (settings.readiness.host, settings.readiness.port), CallerLimits, probes.serve
        )

    def run(self) -> int:
        """Run until the instance has drained; return the exit code."""
        logger.bind(domain=self._settings.domain).info("instance starting")
        self._probe_listener.start()
        self._listener.start()
        self._lifecycle.start()
        self._targets.start()
        self._prober.start()
        self._routing.start()
        self._assignment.start()
        if self._relay_exchange is not None:
            self._relay_exchange.start()
        if self._load_exchange is not None:
            self._load_exchange.start()
        if self._demand_exchange is not None:
            self._demand_exchange.start()
        self._quota_exchange.start()
        if self._capacity_exchange is not None:
            self._capacity_exchange.start()
        gevent.spawn(self._mark_ready)
        gevent.spawn(self._run_housekeeping)
        exit_code = self._lifecycle.wait()
        self._listener.stop_accepting()
        logger.bind(exit_code=exit_code, in_flight=self._handler.in_flight).info(
            "instance stopping"
        )
        return exit_code if exit_code is not None else 1

    def drain(self, reason: str = "signal") -> None:
        """Start the graceful stop."""
        self._lifecycle.tell(BeginDrain(reason))

    def _open_store(
        self, adapter: PlatformAdapter, reads_from_peer: bool, watches_source: bool = False
    ) -> RowStore:
        if self._relay_exchange is None:
            return adapter.open_store()
        return RelayedStore(
            adapter.open_store(),
            self._relay_exchange,
            self._table_sources,
            reads_from_peer,
            watches_source,
        )

    def _gateway_context(
        self, adapter: PlatformAdapter, registry: CollectorRegistry
    ) -> GatewayContext:
        return GatewayContext(
            adapter.dialect,
            self._pool,
            self._dispatcher,
            lambda: self._routing.in_force.value,
            lambda: self._assignment.maps.value,
            lambda: self._assignment.instances.value.total,
            lambda: self._lifecycle_snapshot.value.stop_times,
            lambda: self._lifecycle.tell(RequestStarted()),
            lambda: self._lifecycle.tell(RequestFinished()),
            self._settings.retry_limits,
            GatewayTelemetry(registry),
            LinkBudget(self._settings.link_mbps),
            self._record_response,
            self._record_request,
            BufferBudget.for_machine(self._settings.memory_mb),
            self._quota_exchange.take,
            self._quota_exchange.refund,
        )

    def _limits(self) -> CallerLimits:
        in_force = self._routing.in_force.value
        return in_force.configuration.limits if in_force is not None else CallerLimits()

    def _mark_ready(self) -> None:
        """Mark the instance as ready once the configuration and the targets have been read."""
        while self._routing.in_force.value is None or not self._targets.has_read:
            gevent.sleep(READY_POLL_INTERVAL_S)
        self._lifecycle.tell(MarkReady())
        logger.info("instance is ready")

    def _run_housekeeping(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            self._pool.close_expired()
            self._dispatcher.set_instances(self._assignment.instances.value)

    def _targets_changed(self, view: TargetView) -> None:
        self._incarnation_by_hash = {
            incarnation_hash(entry.incarnation): entry.incarnation
            for entry in view.entry_by_id.values()
        }
        self._dispatcher.set_targets(monotonic(), view)
        self._probe_returned_targets()
        self._assignment.tell(TargetsChanged(view))

    def _cold_s(self, service_name: str) -> float:
        service = self._service_by_name().get(service_name)
        return service.cold_s if service is not None else 0.0

    def _service_by_name(self) -> Mapping[str, Service]:
        in_force = self._routing.in_force.value
        return in_force.configuration.service_by_name if in_force is not None else {}

    def _probe_returned_targets(self) -> None:
        service_by_name = self._service_by_name()
        for entry, returned_at in self._dispatcher.take_due_probes(monotonic(), service_by_name):
            health_path = service_by_name[entry.service].health_path
            self._prober.tell(ProbeTarget(entry, health_path, returned_at))

    def _members_changed(self, members: Members) -> None:
        self._quota_exchange.set_instances(members.record_by_name.values())
        if self._relay_exchange is None or members.link_key is None:
            return
        peers_by_domain = {
            domain: tuple(
                RelayPeer(record.name, record.address, record.link_mbps, record.store_round_trip_s)
                for record in records
                if record.address is not None
            )
            for domain, records in members.records_by_domain().items()
        }
        asked_first = upstream(
            peers_by_domain, self._settings.region_by_domain, self._settings.domain
        )
        own_domain_peers = peers_by_domain.pop(self._settings.domain, ())
        roots = tuple(relay_order(peers)[0] for peers in peers_by_domain.values() if peers)
        self._relay_exchange.tell(
            RelayGroup(members.link_key, own_domain_peers, roots, asked_first)
        )

    def _record_request(self, request: GatewayRequest) -> None:
        key = request.metadata.key
        if self._demand_exchange is None or key is None or not request.service.is_keyed:
            return
        route = request.route
        work_s = self._dispatcher.typical_call_s(route.name, route.objective_s)
        self._demand_exchange.record_request(request.service.name, key, work_s)

    def _speeds_of_keyed_targets(self) -> Iterator[tuple[int, Speed]]:
        learned = self._dispatcher.learned_speeds(self._keyed_services)
        for incarnation, duration_ratio, call_count in learned:
            weight = float(min(MAX_SPEED_WEIGHT, call_count))
            yield incarnation_hash(incarnation), Speed(duration_ratio, weight)

    def _record_response(self, incarnation: tuple[str, int], metadata: ResponseMetadata) -> None:
        if self._load_exchange is not None and metadata.report is not None:
            report = self._dispatcher.limited_report(incarnation, metadata.report)
            self._load_exchange.record_own_report(incarnation, report)
        if metadata.is_leaving:
            self._targets.tell(TargetLeaving(incarnation))

    def _apply_peer_reports(self, now: float, reports: Sequence[PeerReport]) -> None:
        for peer_report in reports:
            incarnation = self._incarnation_by_hash.get(peer_report.incarnation)
            if incarnation is not None:
                self._dispatcher.record_peer_report(
                    now, incarnation, peer_report.report, peer_report.age_s
                )

    def _store_unavailable(self) -> None:
        self._routing.store_unavailable()
        self._assignment.store_unavailable()

    def _configuration_changed(self, configuration: RoutingConfiguration) -> None:
        self._quota_exchange.set_organisations(configuration.organisations)
        self._keyed_services = frozenset(
            service.name for service in configuration.service_by_name.values() if service.is_keyed
        )
        self._assignment.tell(KeyedServices(self._keyed_services))

    def _evacuation_changed(
        self, domains: frozenset[str], ended_at_version_by_domain: Mapping[str, int]
    ) -> None:
        self._targets.tell(EvacuatedDomains(domains, ended_at_version_by_domain))

    def _close_idle_connections(self) -> None:
        """Close idle connections until the stop; it waits for responses that are being read."""
        self._lifecycle.tell(RequestStarted())
        while not self._listener.close_idle():
            gevent.sleep(CLOSE_IDLE_INTERVAL_S)
        self._lifecycle.tell(RequestFinished())
        while True:
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            self._listener.close_idle()

    def _phase_changed(self, snapshot: LifecycleSnapshot) -> None:
        logger.bind(phase=snapshot.phase.value).info("phase changed")
        if snapshot.phase is Phase.LEAVING:
            self._assignment.tell(Resign())
        if snapshot.phase is Phase.REFUSING:
            self._listener.stop_accepting()
            gevent.spawn(self._close_idle_connections)
        if snapshot.phase is Phase.ABORTING:
            logger.bind(in_flight=self._handler.in_flight).warning("requests aborted")
            self._handler.abort_unanswered()
            self._listener.close_receiving()
