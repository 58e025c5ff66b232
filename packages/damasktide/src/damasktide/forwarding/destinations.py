"""Finds the destination of a request; a registry maps ``is_keyed`` to the finder function."""

from collections.abc import Callable
from dataclasses import dataclass

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.admission.request import AdmittedRequest
from damasktide.balancing.messages import NoPick, NoPickReason, Pick, Picked
from damasktide.balancing.task import BalancerTask
from damasktide.forwarding.hedging import HedgePlan, HedgingTask
from damasktide.forwarding.upstream import Destination
from damasktide.ownership.messages import OwnerSnapshot
from damasktide.ownership.shard_map import OwnerServer
from damasktide.ownership.shards import ShardSpace
from damasktide.runtime.published import Published
from damasktide.runtime.registry import Registry


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """Objects for finding the destination of a request for one service.

    Attributes
    ----------
    service
        Name of the service.
    domain
        Failure domain of this instance.
    space
        Maps keys to shards.
    owners
        Snapshot of the adopted shard map.
    max_deadline_s
        Longest deadline of a keyed request in seconds, or None.
    grants_checked
        Whether the backend servers check grants.
    balancer
        Task that chooses targets for unkeyed requests and counts the calls to each target.
    hedging
        Task that estimates the hedging delay.
    hedge_plan
        Current hedging delay.
    """

    service: str
    domain: str
    space: ShardSpace
    owners: Published[OwnerSnapshot]
    max_deadline_s: float | None
    grants_checked: bool
    balancer: BalancerTask
    hedging: HedgingTask
    hedge_plan: Published[HedgePlan]


DestinationFinder = Callable[
    [ServiceRoute, AdmittedRequest, tuple[str, ...]], Destination | Refusal
]

destination_finders: Registry[bool, DestinationFinder] = Registry("destination finder")


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The owner of a request's key.

    Attributes
    ----------
    owner
        The backend server.
    shard
        Shard of the key.
    map_version
        Version of the shard map that names this owner.
    """

    owner: OwnerServer
    shard: int
    map_version: int


def owner_of_request(route: ServiceRoute, admitted: AdmittedRequest) -> KeyOwner | Refusal:
    """Return the owner of the request's key, or a refusal if no owner may serve it."""
    key = admitted.request.key or ""
    snapshot = route.owners.value
    if snapshot.shard_map is None:
        return Refusal(RefusalCode.NO_OWNER, "no shard map has been adopted yet", 1)
    shard = route.space.shard_of(key)
    owner = snapshot.owner_by_shard[shard]
    if owner is None:
        return Refusal(RefusalCode.NO_OWNER, f"shard {shard} has no owner at the moment", 1)
    if owner.region not in admitted.allowed_regions:
        detail = f"the owner of the key is in region {owner.region}"
        return Refusal(RefusalCode.REGION_UNAVAILABLE, detail)
    return KeyOwner(owner, shard, snapshot.shard_map.version)


@destination_finders.register(True)
def find_owner(
    route: ServiceRoute, admitted: AdmittedRequest, _tried: tuple[str, ...]
) -> Destination | Refusal:
    """Return the owner of the request's key as a destination."""
    key_owner = owner_of_request(route, admitted)
    if isinstance(key_owner, Refusal):
        return key_owner
    owner = key_owner.owner
    if not route.grants_checked and owner.domain != route.domain:
        detail = f"only instances of {owner.domain} may send to its servers"
        return Refusal(RefusalCode.NO_OWNER, detail, 1)
    picked = route.balancer.ask(Pick(owner=owner.server_id, link_bytes=_size_of(admitted)))
    if isinstance(picked, NoPick) and picked.reason is NoPickReason.NO_FREE_SLOT:
        return _refusal_for(picked.reason)
    return Destination(
        owner.server_id,
        owner.host,
        owner.port,
        key_owner.shard,
        key_owner.map_version,
        renewal_lease_until=_renewal_lease_until(route),
        max_call_s=route.max_deadline_s,
        # An owner that is leaving, or is missing from the live list, gets no slot from the
        # balancer but still has to be called.
        has_balancer_slot=isinstance(picked, Picked),
    )


def _size_of(admitted: AdmittedRequest) -> int:
    return len(admitted.request.body)


def _renewal_lease_until(route: ServiceRoute) -> float | None:
    """Return when a call to the owner must end, or None if the owner checks grants itself."""
    return None if route.grants_checked else route.owners.value.renewal_lease_until


@destination_finders.register(False)
def find_target(
    route: ServiceRoute, admitted: AdmittedRequest, tried: tuple[str, ...]
) -> Destination | Refusal:
    """Return a target selected by the balancer."""
    pick = Pick(
        exclude=tried,
        allowed_regions=admitted.allowed_regions,
        link_bytes=_size_of(admitted),
    )
    picked = route.balancer.ask(pick)
    if isinstance(picked, Picked):
        target = picked.target
        return Destination(
            target.server_id, target.host, target.port, connections=target.connections
        )
    return _refusal_for(picked.reason)


_CODE_BY_REASON = {
    NoPickReason.NO_FREE_SLOT: RefusalCode.OVERLOADED,
    NoPickReason.LINK_BUDGET: RefusalCode.OVERLOADED,
    NoPickReason.REGION_NOT_ALLOWED: RefusalCode.REGION_UNAVAILABLE,
}


def _refusal_for(reason: NoPickReason) -> Refusal:
    code = _CODE_BY_REASON.get(reason, RefusalCode.NO_TARGET)
    return Refusal(code, f"no target: {reason.value}", 1)
