"""Pulls newer versions of the configuration and of maps from the peers that announce them."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from loguru import logger
from returns.result import Failure

from damasktide.assembly.services import ServiceTasks
from damasktide.catalog.adoption import CatalogSnapshot, OfferConfiguration
from damasktide.catalog.catalog_task import CatalogTask
from damasktide.catalog.offers import CONFIGURATION_KIND, decode_offer
from damasktide.catalog.poller import CatalogPoller, ReadNow
from damasktide.membership.instances import Instance
from damasktide.membership.messages import VersionObserved
from damasktide.ownership.codec import encode_service
from damasktide.ownership.executor import MAP_KIND
from damasktide.ownership.messages import AdoptRequested
from damasktide.ownership.shard_map_codec import decode_map
from damasktide.peering.client import PeerClient
from damasktide.runtime.registry import Registry
from damasktide.runtime.task import Task, handles

# Names of the versioned items that instances announce to each other.
CONFIGURATION_ITEM = "configuration"
OWNERSHIP_PREFIX = "ownership/"

_PULL_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class PullContext:
    """Dependencies of the pullers.

    Attributes
    ----------
    peers
        Client for calls to other instances.
    catalog
        Task that decides whether a configuration is adopted.
    poller
        Task that reads the configuration from the store.
    tasks_by_service
        Tasks of each service, which adopt its maps.
    """

    peers: PeerClient
    catalog: CatalogTask
    poller: CatalogPoller
    tasks_by_service: Mapping[str, ServiceTasks]


Puller = Callable[[PullContext, Instance, VersionObserved], None]

pullers: Registry[str, Puller] = Registry("puller")


class VersionPullerTask(Task):
    """Pulls each higher version that a peer announces, one at a time.

    Parameters
    ----------
    context
        Dependencies of the pullers.
    instance_by_id
        Returns the known instances by id.
    """

    def __init__(
        self,
        context: PullContext,
        instance_by_id: Callable[[], Mapping[str, Instance]],
        **kwargs: Any,
    ) -> None:
        super().__init__("version-puller", **kwargs)
        self._context = context
        self._instance_by_id = instance_by_id

    @handles(VersionObserved)
    def _pull_version(self, message: VersionObserved) -> None:
        instance = self._instance_by_id().get(message.instance_id)
        prefix = message.name.partition("/")[0]
        if instance is not None and prefix in pullers:
            pullers.get(prefix)(self._context, instance, message)


@pullers.register("ownership")
def _pull_map(context: PullContext, peer: Instance, observed: VersionObserved) -> None:
    service = observed.name.removeprefix(OWNERSHIP_PREFIX)
    tasks = context.tasks_by_service.get(service)
    snapshot = tasks.ownership.snapshot if tasks else None
    if tasks is None or (
        snapshot is not None
        and snapshot.shard_map is not None
        and snapshot.shard_map.version >= observed.version
    ):
        return
    body = _call_peer(context, peer, MAP_KIND, encode_service(service))
    if body:
        tasks.ownership.tell(AdoptRequested(decode_map(body.decode())))


@pullers.register("configuration")
def _pull_configuration(context: PullContext, peer: Instance, observed: VersionObserved) -> None:
    accepted: CatalogSnapshot | None = context.catalog.accepted
    if accepted is not None and accepted.version >= observed.version:
        return
    # The store is authoritative, so it is read at the same time. The peer's copy is offered in any
    # case; the catalog task decides whether to adopt it.
    context.poller.tell(ReadNow())
    body = _call_peer(context, peer, CONFIGURATION_KIND, b"")
    if body:
        offer: OfferConfiguration = decode_offer(body)
        context.catalog.tell(offer)


def _call_peer(context: PullContext, peer: Instance, kind: str, body: bytes) -> bytes:
    result = context.peers.call(peer.host, peer.peer_port, kind, body, _PULL_TIMEOUT_S)
    if isinstance(result, Failure):
        logger.bind(peer=peer.instance_id, kind=kind).debug("pull failed: {}", result.failure())
        return b""
    return bytes(result.unwrap())
