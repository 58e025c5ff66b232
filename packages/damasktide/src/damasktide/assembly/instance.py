"""An entry instance, which builds its tasks, starts them and stops them in order."""

import secrets

import gevent
from loguru import logger

from damasktide.assembly.operator_queries import OperatorQueries
from damasktide.assembly.request_gate import RequestGate
from damasktide.assembly.servers import build_http_server, build_peer_server
from damasktide.assembly.services import SharedContext, build_services
from damasktide.assembly.shares import PeerContactTask, ShareDistributor
from damasktide.assembly.snapshots import Snapshots
from damasktide.assembly.subscriptions import MessageTypeFilter
from damasktide.assembly.version_puller import (
    CONFIGURATION_ITEM,
    PullContext,
    VersionPullerTask,
)
from damasktide.balancing.messages import BalancerStatus
from damasktide.catalog.adoption import CatalogSnapshot
from damasktide.catalog.catalog_task import CatalogTask
from damasktide.catalog.poller import CatalogPoller
from damasktide.discovery.live_list import LiveListTask
from damasktide.discovery.topology import OutOfService, Topology, TopologyTask
from damasktide.forwarding.hedging import SlowTargets
from damasktide.forwarding.request_service import RequestService, RequestServiceDependencies
from damasktide.forwarding.retry_budget import RetryBudgetTask
from damasktide.forwarding.router import Router
from damasktide.forwarding.upstream import Upstream
from damasktide.idempotency.deduplication_task import DeduplicationTask
from damasktide.idempotency.request_history import RequestHistory
from damasktide.lifecycle.state import Lifecycle, LifecycleSnapshot, Phase
from damasktide.lifecycle.task import BeginDrain, LifecycleTask, MarkReady
from damasktide.limits.messages import CapacityChanged, VolumesChanged
from damasktide.limits.task import LimiterTask
from damasktide.membership.instances import Instance, InstanceState
from damasktide.membership.messages import (
    AnnounceVersion,
    Depart,
    Leave,
    MembershipChanged,
    MembershipView,
    VersionObserved,
)
from damasktide.membership.task import MembershipTask, Subscribe
from damasktide.peering.client import PeerClient
from damasktide.runtime.clock import MonotonicClock
from damasktide.runtime.task import Task
from damasktide.settings.model import Settings
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.store_task import StoreTask
from damasktide.telemetry.metrics import TASKS_FAILED, retry_metric
from damasktide.telemetry.task import Count, TelemetryTask

READY_POLL_INTERVAL_S = 0.05
HTTP_STOP_TIMEOUT_S = 5.0

_RANDOM_SEED_BITS = 64


class EntryInstance:
    """An entry instance with all its tasks.

    Parameters
    ----------
    settings
        Validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = MonotonicClock()
        self.own = _new_instance(settings)
        self._snapshots = Snapshots.of(self.own)
        self._build_tasks()
        self._requests = RequestService(self._request_dependencies())
        self._gate = RequestGate(
            self._requests, self._lifecycle, self._snapshots.lifecycle, self._record_metric
        )
        self._peer_server = build_peer_server(
            self.own,
            settings.peer_key,
            self._gate,
            self._catalog,
            self._services,
            self._lifecycle.tell,
        )
        queries = OperatorQueries(
            self.own.instance_id, self._services, self._catalog, self._snapshots.topology
        )
        self._server = build_http_server(settings, self._gate, self._snapshots, queries)

    def run(self) -> int:
        """Start all tasks, serve until the instance has drained and return the exit code."""
        for task in self._tasks:
            task.start()
        self._peer_server.start()
        self._membership.tell(Subscribe(MessageTypeFilter(self._topology_task, MembershipChanged)))
        self._membership.tell(Subscribe(MessageTypeFilter(self._version_puller, VersionObserved)))
        self._server.start()
        gevent.spawn(self._mark_ready)
        logger.bind(instance=self.own.instance_id).info("instance started")
        exit_code = self._lifecycle.wait()
        self._server.stop(timeout=HTTP_STOP_TIMEOUT_S)
        self._membership.tell(Depart())
        self._peer_server.stop()
        for task in reversed(self._tasks):
            task.stop()
        logger.bind(instance=self.own.instance_id).info("instance stopped")
        return exit_code if exit_code is not None else 1

    def drain(self) -> None:
        """Start the graceful stop."""
        self._lifecycle.tell(BeginDrain("signal"))

    def _build_tasks(self) -> None:
        settings = self._settings
        self._lifecycle = LifecycleTask(
            Lifecycle(), self._clock, self._snapshots.lifecycle, [self._on_phase]
        )
        on_failure = self._lifecycle.tell
        self._telemetry = self._build_telemetry()
        self._membership = MembershipTask(
            self.own,
            [(seed.host, seed.port) for seed in settings.seeds],
            settings.peer_key,
            secrets.randbits(_RANDOM_SEED_BITS),
            self._clock,
            on_failure,
        )
        self._peers = PeerClient(self.own.instance_id, settings.peer_key, self._clock)
        self._services = build_services(self._shared_context())
        self._distributor = ShareDistributor(
            self._services, self._snapshots.view, self._snapshots.shares
        )
        self._limiter = LimiterTask(
            self.own, self._distributor.distribute, self._clock, on_failure
        )
        self._retry_budget = RetryBudgetTask(self._clock, on_failure)
        self._deduplicator = DeduplicationTask(RequestHistory(), self._clock, on_failure)
        self._topology_task = self._build_topology()
        self._catalog = CatalogTask([self._on_catalog], self._clock, on_failure)
        endpoints = StoreEndpoints(settings.platform.table_url, settings.platform.object_url)
        store = StoreTask(endpoints, "store/catalog", self._clock, on_failure)
        self._poller = CatalogPoller(store, self._catalog, self._snapshots.is_reader, on_failure)
        self._version_puller = VersionPullerTask(
            PullContext(self._peers, self._catalog, self._poller, self._services),
            self._snapshots.instance_by_id,
            on_failure=on_failure,
        )
        self._tasks: tuple[Task, ...] = (
            self._lifecycle,
            *([self._telemetry] if self._telemetry else []),
            self._membership,
            self._peers,
            *(task for tasks in self._services.values() for task in tasks.all()),
            self._limiter,
            PeerContactTask(self._membership, self._limiter, on_failure=on_failure),
            self._retry_budget,
            self._deduplicator,
            self._topology_task,
            LiveListTask(
                settings.platform.live_list_url, self._topology_task.tell, on_failure=on_failure
            ),
            store,
            self._catalog,
            self._version_puller,
            self._poller,
        )

    def _build_telemetry(self) -> TelemetryTask | None:
        statsd = self._settings.statsd
        if statsd is None:
            return None
        return TelemetryTask(statsd.host, statsd.port, self._lifecycle.tell)

    def _build_topology(self) -> TopologyTask:
        own_id = self.own.instance_id
        return TopologyTask(
            MembershipView({own_id: self.own}, {own_id: InstanceState.ALIVE}, float("-inf")),
            {name: tasks.ownership for name, tasks in self._services.items()},
            {name: tasks.balancer for name, tasks in self._services.items()},
            self._on_topology,
            on_failure=self._lifecycle.tell,
        )

    def _shared_context(self) -> SharedContext:
        return SharedContext(
            own=self.own,
            settings=self._settings,
            peers=self._peers,
            clock=self._clock,
            instance_by_id=self._snapshots.instance_by_id,
            announce=lambda name, version: self._membership.tell(AnnounceVersion(name, version)),
            on_status=self._on_balancer_status,
            on_failure=self._lifecycle.tell,
        )

    def _request_dependencies(self) -> RequestServiceDependencies:
        route_by_service = {name: tasks.route for name, tasks in self._services.items()}
        router = Router(
            route_by_service,
            Upstream(),
            self._retry_budget,
            lambda reason: self._record_metric(Count(retry_metric(reason))),
        )
        return RequestServiceDependencies(
            catalog=self._snapshots.catalog,
            service_by_name=self._settings.service_by_name,
            route_by_service=route_by_service,
            view=self._snapshots.view,
            shares=self._snapshots.shares,
            router=router,
            limiter=self._limiter,
            deduplicator=self._deduplicator,
            peers=self._peers,
        )

    def _mark_ready(self) -> None:
        while not self._can_serve():
            gevent.sleep(READY_POLL_INTERVAL_S)
        self._lifecycle.tell(MarkReady())

    def _can_serve(self) -> bool:
        has_maps = all(
            tasks.route.owners.value.shard_map is not None for tasks in self._services.values()
        )
        has_catalog = self._snapshots.catalog.value is not None
        return has_maps and has_catalog and self._snapshots.has_share()

    def _record_metric(self, message: object) -> None:
        if self._telemetry is not None:
            self._telemetry.tell(message)

    def _on_balancer_status(self, service: str, status: BalancerStatus) -> None:
        self._limiter.tell(CapacityChanged.from_status(service, status))
        self._services[service].route.hedging.tell(SlowTargets(status.slow_fraction))

    def _on_phase(self, snapshot: LifecycleSnapshot) -> None:
        if snapshot.phase is Phase.LEAVING:
            self._membership.tell(Leave())
            if snapshot.failed_task:
                self._record_metric(Count(TASKS_FAILED))

    def _on_topology(self, topology: Topology) -> None:
        self._snapshots.topology.publish(topology)
        self._distributor.apply_topology(topology, self._limiter)

    def _on_catalog(self, accepted: CatalogSnapshot) -> None:
        self._snapshots.catalog.publish(accepted.catalog)
        self._membership.tell(AnnounceVersion(CONFIGURATION_ITEM, accepted.version))
        configuration = accepted.configuration
        self._topology_task.tell(
            OutOfService(
                frozenset(configuration.domains_out), frozenset(configuration.instances_out)
            )
        )
        volumes = {
            customer.name: accepted.catalog.plan_by_name[customer.plan].requests_per_second
            for customer in accepted.catalog.customers
        }
        self._limiter.tell(VolumesChanged(volumes))


def _new_instance(settings: Settings) -> Instance:
    return Instance(
        instance_id=f"{settings.instance}#{secrets.token_hex(4)}",
        domain=settings.domain,
        region=settings.region,
        host=settings.listen.host,
        gossip_port=settings.gossip_port,
        peer_port=settings.peer_port,
    )
