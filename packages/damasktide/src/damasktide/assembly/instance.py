"""An entry instance: builds its tasks, starts them and stops them in order."""

import secrets
from collections.abc import Mapping

import gevent
from gevent.pywsgi import WSGIServer
from loguru import logger

from damasktide.assembly.operator_queries import OperatorQueries
from damasktide.assembly.request_gate import RequestGate
from damasktide.assembly.services import (
    SharedParts,
    build_services,
    register_ownership_calls,
)
from damasktide.assembly.shares import PeerContactTask, ShareDistributor
from damasktide.assembly.version_puller import (
    CONFIGURATION_VERSION,
    PullContext,
    VersionPullerTask,
)
from damasktide.balancing.messages import BalancerStatus
from damasktide.catalog.adoption import CatalogAccepted
from damasktide.catalog.catalog_task import CatalogTask
from damasktide.catalog.lists import Catalog
from damasktide.catalog.offers import CONFIGURATION_KIND, encode_offer
from damasktide.catalog.poller import CatalogPoller
from damasktide.discovery.live_list import LiveListTask
from damasktide.discovery.topology import OutOfService, Topology, TopologyTask
from damasktide.forwarding.execution import ExecutionView
from damasktide.forwarding.hedging import SlowTargets
from damasktide.forwarding.request_service import FORWARD_KIND, RequestService, ServiceParts
from damasktide.forwarding.retry_budget import RetryBudgetTask
from damasktide.forwarding.router import Router
from damasktide.forwarding.upstream import Upstream
from damasktide.frontend.app import AppHandlers, build_app
from damasktide.frontend.parsing import RequestBounds
from damasktide.frontend.server import build_server
from damasktide.idempotency.gatekeeper import GatekeeperTask
from damasktide.idempotency.memory import RequestMemory
from damasktide.lifecycle.state import Lifecycle, LifecycleSnapshot, Phase
from damasktide.lifecycle.task import BeginDrain, LifecycleTask, MarkReady
from damasktide.limits.messages import CapacityChanged, VolumesChanged
from damasktide.limits.slot_share import SlotShare
from damasktide.limits.task import LimiterTask
from damasktide.membership.instances import Instance, InstanceState
from damasktide.membership.messages import (
    AnnounceVersion,
    Depart,
    Leave,
    MembershipChanged,
    MembershipView,
    VersionSeen,
)
from damasktide.membership.task import MembershipTask, Subscribe
from damasktide.peering.client import PeerClient
from damasktide.peering.server import CallHandler, PeerServer
from damasktide.runtime.clock import MonotonicClock
from damasktide.runtime.published import Published
from damasktide.runtime.registry import Registry
from damasktide.runtime.task import Task
from damasktide.settings.model import Settings
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.store_task import StoreTask
from damasktide.telemetry.metrics import TASKS_FAILED, retry_metric
from damasktide.telemetry.task import Count, TelemetryTask

READY_POLL_S = 0.05
HTTP_STOP_TIMEOUT_S = 5.0

_SEED_BITS = 64


class EntryInstance:
    """All tasks of one instance.

    Parameters
    ----------
    settings
        Checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = MonotonicClock()
        self.own = _new_instance(settings)
        self._build_snapshots()
        self._build_tasks()
        self._requests = RequestService(self._service_parts())
        self._gate = RequestGate(
            self._requests, self._lifecycle, self._lifecycle_snapshot, self._record
        )
        self._peer_server = self._build_peer_server()
        self._server = self._build_http_server()

    def run(self) -> int:
        """Start all tasks, serve until the instance has drained and return the exit code."""
        for task in self._tasks:
            task.start()
        self._peer_server.start()
        self._membership.tell(Subscribe(OnlyMessages(self._topology_task, MembershipChanged)))
        self._membership.tell(Subscribe(OnlyMessages(self._version_puller, VersionSeen)))
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
        """Begin a graceful stop."""
        self._lifecycle.tell(BeginDrain("signal"))

    def _build_snapshots(self) -> None:
        self._catalog_snapshot: Published[Catalog | None] = Published(None)
        self._topology: Published[Topology | None] = Published(None)
        self._lifecycle_snapshot = Published(LifecycleSnapshot())
        self._view = Published(ExecutionView(self.own))
        self._shares: Published[Mapping[str, SlotShare]] = Published({})

    def _build_tasks(self) -> None:
        settings = self._settings
        self._lifecycle = LifecycleTask(
            Lifecycle(), self._clock, self._lifecycle_snapshot, [self._on_phase]
        )
        fail = self._lifecycle.tell
        self._telemetry = self._build_telemetry()
        self._membership = MembershipTask(
            self.own,
            [(seed.host, seed.port) for seed in settings.seeds],
            settings.peer_key,
            secrets.randbits(_SEED_BITS),
            self._clock,
            fail,
        )
        self._peers = PeerClient(self.own.instance_id, settings.peer_key, self._clock)
        self._services = build_services(self._shared_parts())
        self._distributor = ShareDistributor(self._services, self._view, self._shares)
        self._limiter = LimiterTask(self.own, self._distributor.distribute, self._clock, fail)
        self._budget = RetryBudgetTask(self._clock, fail)
        self._gatekeeper = GatekeeperTask(RequestMemory(), self._clock, fail)
        self._topology_task = self._build_topology()
        self._catalog = CatalogTask([self._on_catalog], self._clock, fail)
        endpoints = StoreEndpoints(settings.platform.table_url, settings.platform.object_url)
        store = StoreTask(endpoints, "store/catalog", self._clock, fail)
        self._version_puller = VersionPullerTask(
            PullContext(self._peers, self._catalog, self._services),
            self._instance_by_id,
            on_failure=fail,
        )
        self._tasks: tuple[Task, ...] = (
            self._lifecycle,
            *([self._telemetry] if self._telemetry else []),
            self._membership,
            self._peers,
            *(task for tasks in self._services.values() for task in tasks.all()),
            self._limiter,
            PeerContactTask(self._membership, self._limiter, on_failure=fail),
            self._budget,
            self._gatekeeper,
            self._topology_task,
            LiveListTask(
                settings.platform.live_list_url, self._topology_task.tell, on_failure=fail
            ),
            store,
            self._catalog,
            self._version_puller,
            CatalogPoller(store, self._catalog, fail),
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

    def _shared_parts(self) -> SharedParts:
        return SharedParts(
            own=self.own,
            settings=self._settings,
            peers=self._peers,
            clock=self._clock,
            instance_by_id=self._instance_by_id,
            announce=lambda name, version: self._membership.tell(AnnounceVersion(name, version)),
            on_status=self._on_balancer_status,
            on_failure=self._lifecycle.tell,
        )

    def _service_parts(self) -> ServiceParts:
        route_by_service = {name: tasks.route for name, tasks in self._services.items()}
        router = Router(
            route_by_service,
            Upstream(),
            self._budget,
            self._limiter,
            lambda reason: self._record(Count(retry_metric(reason))),
        )
        return ServiceParts(
            catalog=self._catalog_snapshot,
            service_by_name=self._settings.service_by_name,
            route_by_service=route_by_service,
            view=self._view,
            shares=self._shares,
            router=router,
            limiter=self._limiter,
            gatekeeper=self._gatekeeper,
            peers=self._peers,
        )

    def _build_peer_server(self) -> PeerServer:
        handlers: Registry[str, CallHandler] = Registry("peer call")
        handlers.register(FORWARD_KIND)(self._gate.handle_forwarded)
        handlers.register(CONFIGURATION_KIND)(
            lambda _sender, _body: encode_offer(self._catalog.accepted)
        )
        register_ownership_calls(handlers, self._services, self.own.instance_id)
        return PeerServer(
            self.own.instance_id,
            self.own.host,
            self.own.peer_port,
            self._settings.peer_key,
            handlers,
            self._lifecycle.tell,
        )

    def _build_http_server(self) -> WSGIServer:
        settings = self._settings
        queries = OperatorQueries(
            self.own.instance_id, self._services, self._catalog, self._topology
        )
        handlers = AppHandlers(
            handle=self._gate.handle,
            lifecycle=self._lifecycle_snapshot,
            query_by_name=queries.by_name(),
            on_refused=self._gate.count_refusal,
        )
        bounds = RequestBounds(settings.max_body_bytes, settings.max_header_bytes)
        app = build_app(handlers, bounds)
        return build_server(settings.listen.host, settings.listen.port, app)

    def _instance_by_id(self) -> dict[str, Instance]:
        topology = self._topology.value
        return dict(topology.seen.instance_by_id) if topology else {}

    def _mark_ready(self) -> None:
        while not self._can_serve():
            gevent.sleep(READY_POLL_S)
        self._lifecycle.tell(MarkReady())

    def _can_serve(self) -> bool:
        has_maps = all(
            tasks.route.owners.value.shard_map is not None for tasks in self._services.values()
        )
        has_catalog = self._catalog_snapshot.value is not None
        return has_maps and has_catalog and self._has_share()

    def _has_share(self) -> bool:
        target_by_id = self._view.value.target_by_id
        return any(
            share.of(target_by_id[server_id].slots) > 0
            for server_id, share in self._shares.value.items()
            if server_id in target_by_id
        )

    def _record(self, message: object) -> None:
        if self._telemetry is not None:
            self._telemetry.tell(message)

    def _on_balancer_status(self, service: str, status: BalancerStatus) -> None:
        self._limiter.tell(CapacityChanged.from_status(service, status))
        self._services[service].route.hedging.tell(SlowTargets(status.slow_fraction))

    def _on_phase(self, snapshot: LifecycleSnapshot) -> None:
        if snapshot.phase is Phase.LEAVING:
            self._membership.tell(Leave())
            if snapshot.failed_task:
                self._record(Count(TASKS_FAILED))

    def _on_topology(self, topology: Topology) -> None:
        self._topology.publish(topology)
        self._distributor.see_topology(topology, self._limiter)

    def _on_catalog(self, accepted: CatalogAccepted) -> None:
        self._catalog_snapshot.publish(accepted.catalog)
        self._membership.tell(AnnounceVersion(CONFIGURATION_VERSION, accepted.version))
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


class OnlyMessages:
    """Passes messages of one type on to a task.

    Parameters
    ----------
    task
        Task that gets the messages.
    message_type
        Type that it handles.
    """

    def __init__(self, task: Task, message_type: type) -> None:
        self._task = task
        self._message_type = message_type

    def tell(self, message: object) -> None:
        """Pass ``message`` on if it has the type."""
        if isinstance(message, self._message_type):
            self._task.tell(message)


def _new_instance(settings: Settings) -> Instance:
    return Instance(
        instance_id=f"{settings.instance}#{secrets.token_hex(4)}",
        domain=settings.domain,
        region=settings.region,
        host=settings.listen.host,
        gossip_port=settings.gossip_port,
        peer_port=settings.peer_port,
    )
