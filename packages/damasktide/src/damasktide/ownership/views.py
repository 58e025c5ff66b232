"""The state that the decisions of one tick are based on."""

from collections.abc import Set
from dataclasses import dataclass, replace

from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.domain_monitor import DomainMonitor
from damasktide.ownership.ownership_settings import OwnershipSettings
from damasktide.ownership.roles import Roles
from damasktide.ownership.shard_map import ShardMap


@dataclass(frozen=True, slots=True)
class View:
    """Snapshot of the state on which the decisions of one tick are based.

    Attributes
    ----------
    shard_map
        The adopted map.
    roles
        Roles of the instances.
    controlled
        Ids of the servers whose moves this instance controls.
    cluster_state
        Cluster state; a failure domain that is presumed lost has no live instances.
    now
        Monotonic time.
    unresponsive_domain
        The monitored failure domain if its instances do not reply, else None.
    no_contact_since
        Monotonic time since which no instance of the monitored failure domain has replied.
    monitored_ids
        Instances of the monitored failure domain to ask whether they are alive.
    is_unresponsive_domain_lost
        Whether the unresponsive failure domain is presumed lost.
    """

    shard_map: ShardMap
    roles: Roles
    controlled: Set[str]
    cluster_state: ClusterState
    now: float
    unresponsive_domain: str | None = None
    no_contact_since: float = 0.0
    monitored_ids: tuple[str, ...] = ()
    is_unresponsive_domain_lost: bool = False


def roles_of(settings: OwnershipSettings, cluster_state: ClusterState) -> Roles:
    """Return the roles of the instances that this instance believes to be alive."""
    return Roles(settings.instance_id, settings.domain, settings.service, cluster_state.alive)


def view_of(
    settings: OwnershipSettings,
    cluster_state: ClusterState,
    shard_map: ShardMap,
    monitor: DomainMonitor,
    now: float,
) -> View:
    """Return the view at ``now``, without the instances of a domain that is presumed lost."""
    roles = roles_of(settings, cluster_state)
    monitored = roles.monitored_domain(shard_map.confirmers)
    sample = roles.sample_of(monitored) if monitored is not None else []
    lost = monitored if sample and monitor.is_presumed_lost(sample, now) else None
    if lost is not None:
        roles = roles.without(lost)
    controlled = frozenset(
        server.server_id
        for server in shard_map.servers
        if server.domain == lost or roles.controls(server, shard_map.confirmers)
    )
    return View(
        shard_map=shard_map,
        roles=roles,
        controlled=controlled,
        cluster_state=replace(cluster_state, alive=tuple(roles.alive)),
        now=now,
        unresponsive_domain=monitored if sample and monitor.is_unresponsive(sample, now) else None,
        no_contact_since=monitor.no_contact_since(sample),
        monitored_ids=tuple(sample),
        is_unresponsive_domain_lost=lost is not None,
    )
