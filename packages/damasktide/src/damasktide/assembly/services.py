"""Builds the tasks of each service."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from functools import partial

from damasktide.balancing.locality import Locality
from damasktide.balancing.messages import BalancerStatus, BootObserved
from damasktide.balancing.task import BalancerTask
from damasktide.forwarding.destinations import ServiceRoute
from damasktide.forwarding.hedging import HedgePlan, HedgingTask
from damasktide.limits.slot_share import NO_SHARE
from damasktide.membership.instances import Instance
from damasktide.ownership import codec
from damasktide.ownership.executor import (
    ADOPT_KIND,
    CONFIRM_KIND,
    MAP_KIND,
    ExecutorContext,
)
from damasktide.ownership.messages import AdoptRequested, ConfirmRequested, OwnerSnapshot
from damasktide.ownership.server_client import ServerClient
from damasktide.ownership.service_ownership import OwnershipSettings
from damasktide.ownership.shard_map_codec import encode_map
from damasktide.ownership.shards import ShardSpace
from damasktide.ownership.task import OwnershipTask
from damasktide.peering.client import PeerClient
from damasktide.peering.server import CallHandler
from damasktide.runtime.clock import Clock
from damasktide.runtime.published import Published
from damasktide.runtime.registry import Registry
from damasktide.runtime.task import Task, TaskFailed
from damasktide.settings.model import ServiceSettings, Settings
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.store_task import StoreTask

BALANCING_POLICY = "power_of_two"

# Bandwidth of the link between regions that the requests of all instances together may use. The
# link carries about 30 Mbit/s in total; the rest is reserved for control traffic and other users.
LINK_BYTES_PER_S = 2_000_000.0

# A read of the map row that takes longer returns too late to extend a renewal lease.
_MAP_STORE_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class ServiceTasks:
    """The tasks of one service.

    Attributes
    ----------
    settings
        Settings of the service.
    store
        Task that reads and writes the map row.
    ownership
        Task that decides on ownership.
    balancer
        Task that selects targets.
    route
        Data from which requests find their destinations.
    """

    settings: ServiceSettings
    store: StoreTask
    ownership: OwnershipTask
    balancer: BalancerTask
    route: ServiceRoute

    def all(self) -> tuple[Task, ...]:
        """Return the tasks in the order in which they start."""
        return self.store, self.balancer, self.route.hedging, self.ownership


@dataclass(frozen=True, slots=True)
class SharedContext:
    """Dependencies that the tasks of all services share.

    Attributes
    ----------
    own
        This instance.
    settings
        Settings of the instance.
    peers
        Client for calls to other instances.
    clock
        Source of time.
    instance_by_id
        Returns the known instances by id.
    announce
        Announces to peers which version of a named item this instance holds.
    on_status
        Called with the name of a service and the status of its balancer.
    on_failure
        Called when a task fails.
    """

    own: Instance
    settings: Settings
    peers: PeerClient
    clock: Clock
    instance_by_id: Callable[[], Mapping[str, Instance]]
    announce: Callable[[str, int], None]
    on_status: Callable[[str, BalancerStatus], None]
    on_failure: Callable[[TaskFailed], None]


def build_services(shared: SharedContext) -> dict[str, ServiceTasks]:
    """Return the tasks of each service by its name."""
    return {
        name: _build_service(shared, service)
        for name, service in shared.settings.service_by_name.items()
    }


def _build_service(shared: SharedContext, service: ServiceSettings) -> ServiceTasks:
    settings = shared.settings
    endpoints = StoreEndpoints(
        settings.platform.table_url,
        settings.platform.object_url,
        timeout_s=_MAP_STORE_TIMEOUT_S,
    )
    store = StoreTask(
        endpoints, f"store/{service.name}", shared.clock, on_failure=shared.on_failure
    )
    balancer = BalancerTask(
        service.name,
        Locality(settings.domain, settings.region),
        BALANCING_POLICY,
        0.0,
        initial_share=NO_SHARE,
        on_status=lambda status: shared.on_status(service.name, status),
        on_failure=shared.on_failure,
    )
    hedge_plan = Published(HedgePlan())
    hedging = HedgingTask(service.name, hedge_plan.publish, shared.on_failure)
    space = ShardSpace(service.shards, settings.regions)
    snapshot = Published(OwnerSnapshot())
    context = ExecutorContext(
        service=service.name,
        store=store,
        peers=shared.peers,
        servers=ServerClient(service.name),
        clock=shared.clock,
        instance_by_id=shared.instance_by_id,
        snapshot=snapshot,
    )
    ownership = OwnershipTask(
        _ownership_settings(shared, service, space),
        context,
        snapshot,
        on_boot=lambda server_id, boot_id: balancer.tell(BootObserved(server_id, boot_id)),
        on_version=lambda version: shared.announce(f"ownership/{service.name}", version),
        on_failure=shared.on_failure,
    )
    route = ServiceRoute(
        service=service.name,
        domain=shared.own.domain,
        space=space,
        owners=snapshot,
        max_deadline_s=service.max_deadline_s,
        grants_checked=service.grants_checked,
        balancer=balancer,
        hedging=hedging,
        hedge_plan=hedge_plan,
    )
    return ServiceTasks(service, store, ownership, balancer, route)


def _ownership_settings(
    shared: SharedContext, service: ServiceSettings, space: ShardSpace
) -> OwnershipSettings:
    return OwnershipSettings(
        instance_id=shared.own.instance_id,
        domain=shared.own.domain,
        region=shared.own.region,
        service=service.name,
        space=space,
        policy=service.on_isolation,
        region_by_domain=shared.settings.region_by_domain,
        max_deadline_s=None if service.grants_checked else service.max_deadline_s,
    )


def register_ownership_calls(
    handlers: Registry[str, CallHandler], tasks_by_service: Mapping[str, ServiceTasks], own_id: str
) -> None:
    """Register the handlers of the ownership calls of peers."""
    ownership_by_service = {name: tasks.ownership for name, tasks in tasks_by_service.items()}
    for kind, handler in _ownership_calls():
        handlers.register(kind)(partial(handler, ownership_by_service, own_id))


_OwnershipCall = Callable[[Mapping[str, OwnershipTask], str, str, bytes], bytes]


def _ownership_calls() -> Iterator[tuple[str, _OwnershipCall]]:
    yield CONFIRM_KIND, _confirm
    yield ADOPT_KIND, _adopt
    yield MAP_KIND, _read_map


def _confirm(
    ownership_by_service: Mapping[str, OwnershipTask], _own_id: str, _sender: str, body: bytes
) -> bytes:
    ownership = ownership_by_service[codec.decode_service(body)]
    return codec.encode_confirm_reply(ownership.ask(ConfirmRequested()))


def _adopt(
    ownership_by_service: Mapping[str, OwnershipTask], own_id: str, _sender: str, body: bytes
) -> bytes:
    shard_map = codec.decode_adopt_request(body)
    version = ownership_by_service[shard_map.service].ask(AdoptRequested(shard_map))
    return codec.encode_adopt_reply(own_id, version)


def _read_map(
    ownership_by_service: Mapping[str, OwnershipTask], _own_id: str, _sender: str, body: bytes
) -> bytes:
    snapshot = ownership_by_service[codec.decode_service(body)].snapshot
    return encode_map(snapshot.shard_map).encode() if snapshot.shard_map else b""
