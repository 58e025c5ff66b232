"""What the decisions of one tick are based on."""

from collections.abc import Set
from dataclasses import dataclass, replace

from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.guarding import DomainGuard
from damasktide.ownership.ownership_settings import OwnershipSettings
from damasktide.ownership.roles import Roles
from damasktide.ownership.shard_map import ShardMap


@dataclass(frozen=True, slots=True)
class View:
    """What a proposal is based on.

    Attributes
    ----------
    shard_map
        The adopted map.
    roles
        Duties of the instances.
    controlled
        Ids of the servers whose moves this instance controls.
    cluster_state
        What other tasks have published.
    now
        Monotonic time.
    quiet_domain, quiet_since
        Guarded failure domain whose instances do not reply, and since when, or None.
    guarded_ids
        Instances of the guarded failure domain to be asked whether they are alive.
    is_quiet_domain_lost
        Whether the quiet failure domain is taken for lost.
    """

    shard_map: ShardMap
    roles: Roles
    controlled: Set[str]
    cluster_state: ClusterState
    now: float
    quiet_domain: str | None = None
    quiet_since: float = 0.0
    guarded_ids: tuple[str, ...] = ()
    is_quiet_domain_lost: bool = False


def roles_of(settings: OwnershipSettings, cluster_state: ClusterState) -> Roles:
    """Return the duties of the instances that this instance believes to be alive."""
    return Roles(settings.instance_id, settings.domain, settings.service, cluster_state.alive)


def view_of(
    settings: OwnershipSettings,
    cluster_state: ClusterState,
    shard_map: ShardMap,
    guard: DomainGuard,
    now: float,
) -> View:
    """Return the view at ``now``, in which a lost guarded domain has no instances."""
    roles = roles_of(settings, cluster_state)
    guarded = roles.guarded_domain(shard_map.confirmers)
    sample = roles.sample_of(guarded) if guarded is not None else []
    silent = guarded if sample and guard.is_silent(sample, now) else None
    if silent is not None:
        roles = roles.without(silent)
    controlled = frozenset(
        server.server_id
        for server in shard_map.servers
        if server.domain == silent or roles.controls(server, shard_map.confirmers)
    )
    return View(
        shard_map=shard_map,
        roles=roles,
        controlled=controlled,
        cluster_state=replace(cluster_state, alive=tuple(roles.alive)),
        now=now,
        quiet_domain=guarded if sample and guard.is_quiet(sample, now) else None,
        quiet_since=guard.silent_since(sample),
        guarded_ids=tuple(sample),
        is_quiet_domain_lost=silent is not None,
    )
