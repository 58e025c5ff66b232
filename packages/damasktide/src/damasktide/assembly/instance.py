"""An entry instance: builds its tasks, starts them and stops them in order."""

import secrets

from gevent.event import Event
from gevent.pywsgi import WSGIServer
from loguru import logger

from damasktide.assembly.operator_queries import OperatorQueries
from damasktide.assembly.services import (
    SharedParts,
    build_services,
    register_ownership_calls,
)
from damasktide.assembly.shares import ShareDistributor
from damasktide.catalog.adoption import CatalogAccepted
from damasktide.catalog.catalog_task import CatalogTask
from damasktide.catalog.lists import Catalog
from damasktide.catalog.poller import CatalogPoller
from damasktide.discovery.live_list import LiveListTask
from damasktide.discovery.topology import InstancesSeen, OutOfService, Topology, TopologyTask
from damasktide.forwarding.execution import ExecutionView
from damasktide.forwarding.request_service import FORWARD_KIND, RequestService, ServiceParts
from damasktide.forwarding.retry_budget import RetryBudgetTask
from damasktide.forwarding.router import Router
from damasktide.forwarding.upstream import Upstream
from damasktide.frontend.app import AppHandlers, HealthAnswer, build_app
from damasktide.frontend.parsing import RequestBounds
from damasktide.idempotency.gatekeeper import GatekeeperTask
from damasktide.idempotency.memory import RequestMemory
from damasktide.limits.messages import VolumesChanged
from damasktide.limits.task import LimiterTask
from damasktide.membership.instances import Instance, InstanceState
from damasktide.peering.client import PeerClient
from damasktide.peering.server import CallHandler, PeerServer
from damasktide.runtime.clock import MonotonicClock
from damasktide.runtime.published import Published
from damasktide.runtime.registry import Registry
from damasktide.runtime.task import Task, TaskFailed
from damasktide.settings.model import Settings
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.store_task import StoreTask

EXIT_TASK_FAILED = 1


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
        self._stopped = Event()
        self._has_failed = False
        self.own = _new_instance(settings)
        self._catalog_snapshot: Published[Catalog | None] = Published(None)
        self._topology: Published[Topology | None] = Published(None)
        self._view = Published(ExecutionView(self.own))
        self._peers = PeerClient(self.own.instance_id, settings.peer_key, self._clock)
        self._services = build_services(self._shared_parts())
        self._shares = ShareDistributor(self._services, self._view)
        self._limiter = LimiterTask(
            self.own, self._shares.distribute, self._clock, self._on_failure
        )
        self._shares.limiter = self._limiter
        self._budget = RetryBudgetTask(self._clock, self._on_failure)
        self._gatekeeper = GatekeeperTask(RequestMemory(), self._clock, self._on_failure)
        self._topology_task = TopologyTask(
            InstancesSeen(
                {self.own.instance_id: self.own}, {self.own.instance_id: InstanceState.ALIVE}
            ),
            {name: tasks.ownership for name, tasks in self._services.items()},
            {name: tasks.balancer for name, tasks in self._services.items()},
            self._on_topology,
            on_failure=self._on_failure,
        )
        self._catalog = CatalogTask([self._on_catalog], self._clock, self._on_failure)
        self._store = StoreTask(
            StoreEndpoints(settings.platform.table_url, settings.platform.object_url),
            "store/catalog",
            self._clock,
            self._on_failure,
        )
        self._upstream = Upstream()
        self._requests = RequestService(self._service_parts())
        self._peer_server = self._build_peer_server()
        self._server = self._build_http_server()

    def run(self) -> int:
        """Start all tasks, serve until :meth:`stop` is called and return the exit code."""
        tasks = self._tasks()
        for task in tasks:
            task.start()
        self._server.start()
        logger.bind(instance=self.own.instance_id).info("instance started")
        self._stopped.wait()
        self._server.stop(timeout=1)
        for task in reversed(tasks):
            task.stop()
        logger.bind(instance=self.own.instance_id).info("instance stopped")
        return EXIT_TASK_FAILED if self._has_failed else 0

    def stop(self) -> None:
        """End :meth:`run`."""
        self._stopped.set()

    def _tasks(self) -> tuple[Task, ...]:
        settings = self._settings
        service_tasks = tuple(task for tasks in self._services.values() for task in tasks.all())
        live_list = LiveListTask(
            settings.platform.live_list_url,
            self._topology_task.tell,
            on_failure=self._on_failure,
        )
        return (
            self._peers,
            self._peer_server,
            *service_tasks,
            self._limiter,
            self._budget,
            self._gatekeeper,
            self._topology_task,
            live_list,
            self._store,
            self._catalog,
            CatalogPoller(self._store, self._catalog, self._on_failure),
        )

    def _shared_parts(self) -> SharedParts:
        return SharedParts(
            own=self.own,
            settings=self._settings,
            peers=self._peers,
            clock=self._clock,
            instance_by_id=lambda: {item.instance_id: item for item in self._view.value.alive},
            on_failure=self._on_failure,
        )

    def _service_parts(self) -> ServiceParts:
        route_by_service = {name: tasks.route for name, tasks in self._services.items()}
        router = Router(
            route_by_service, self._upstream, self._budget, self._limiter, lambda _reason: None
        )
        return ServiceParts(
            catalog=self._catalog_snapshot,
            service_by_name=self._settings.service_by_name,
            route_by_service=route_by_service,
            view=self._view,
            router=router,
            limiter=self._limiter,
            gatekeeper=self._gatekeeper,
            peers=self._peers,
            on_refused=lambda _refusal: None,
        )

    def _build_peer_server(self) -> PeerServer:
        handlers: Registry[str, CallHandler] = Registry("peer call")
        handlers.register(FORWARD_KIND)(self._requests.handle_forwarded)
        register_ownership_calls(handlers, self._services, self.own.instance_id)
        return PeerServer(
            self.own.instance_id,
            self.own.host,
            self.own.peer_port,
            self._settings.peer_key,
            handlers,
            self._on_failure,
        )

    def _build_http_server(self) -> WSGIServer:
        settings = self._settings
        queries = OperatorQueries(
            self.own.instance_id, self._services, self._catalog, self._topology
        )
        handlers = AppHandlers(
            handle=self._requests.handle,
            health=lambda: HealthAnswer(True, "running"),
            readiness=self._readiness,
            query_by_name=queries.by_name(),
            on_refused=lambda _refusal: None,
        )
        bounds = RequestBounds(settings.max_body_bytes, settings.max_header_bytes)
        address = (settings.listen.host, settings.listen.port)
        return WSGIServer(address, build_app(handlers, bounds), log=None)

    def _readiness(self) -> HealthAnswer:
        if self._catalog_snapshot.value is None:
            return HealthAnswer(False, "no configuration has been accepted yet")
        if any(tasks.route.owners.value.shard_map is None for tasks in self._services.values()):
            return HealthAnswer(False, "no shard map has been adopted yet")
        if not self._view.value.has_share():
            return HealthAnswer(False, "no share of any backend server yet")
        return HealthAnswer(True, "ready")

    def _on_topology(self, topology: Topology) -> None:
        self._topology.publish(topology)
        self._shares.see_topology(topology)

    def _on_catalog(self, accepted: CatalogAccepted) -> None:
        self._catalog_snapshot.publish(accepted.catalog)
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

    def _on_failure(self, failure: TaskFailed) -> None:
        logger.bind(task=failure.task_name, reason=failure.reason).error("task failed, stopping")
        self._has_failed = True
        self.stop()


def _new_instance(settings: Settings) -> Instance:
    return Instance(
        instance_id=f"{settings.instance}#{secrets.token_hex(4)}",
        domain=settings.domain,
        region=settings.region,
        host=settings.listen.host,
        gossip_port=settings.gossip_port,
        peer_port=settings.peer_port,
    )
