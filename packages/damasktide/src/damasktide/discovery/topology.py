"""Combines membership, the live list and what is out of service into one topology."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from damasktide.balancing.messages import TargetsChanged
from damasktide.balancing.targets import Target
from damasktide.balancing.task import BalancerTask
from damasktide.discovery.live_list import TargetsListed
from damasktide.membership.instances import Instance, InstanceState
from damasktide.membership.messages import MembershipChanged, MembershipView
from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.messages import ClusterStateChanged
from damasktide.ownership.task import OwnershipTask
from damasktide.runtime.task import Task, handles


@dataclass(frozen=True, slots=True)
class OutOfService:
    """Failure domains and instances that operators have taken out of service.

    Attributes
    ----------
    domains
        Names of failure domains.
    instances
        Configured names of instances.
    """

    domains: frozenset[str] = field(default_factory=frozenset)
    instances: frozenset[str] = field(default_factory=frozenset)


@dataclass(frozen=True, slots=True)
class Topology:
    """Known instances and backend servers, and which of them are out of service.

    Attributes
    ----------
    membership
        Membership: the known instances and their states.
    targets
        Backend servers of all services.
    out_of_service
        Failure domains and instances out of service.
    """

    membership: MembershipView
    targets: tuple[Target, ...] = ()
    out_of_service: OutOfService = field(default_factory=OutOfService)

    def alive_instances(self) -> tuple[Instance, ...]:
        """Return the instances that are alive or suspect, sorted by id.

        Those that are themselves out of service are excluded; those whose failure domain is out of
        service are not.
        """
        return tuple(
            instance
            for instance_id, instance in sorted(self.membership.instance_by_id.items())
            if self.membership.state_by_id.get(instance_id) in _ACTIVE_STATES
            and configured_name(instance_id) not in self.out_of_service.instances
        )

    def is_out_of_service(self, instance: Instance) -> bool:
        """Return whether an instance or its failure domain is out of service."""
        is_named = configured_name(instance.instance_id) in self.out_of_service.instances
        return is_named or instance.domain in self.out_of_service.domains

    def usable_targets(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service; mark those in a domain out of service as leaving."""
        return tuple(
            replace(target, leaving=target.leaving or target.domain in self.out_of_service.domains)
            for target in self.targets
            if target.service == service
        )

    def targets_of(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service, as on the live list."""
        return tuple(target for target in self.targets if target.service == service)


# A suspected instance keeps its roles, because most suspicions are refuted.
_ACTIVE_STATES = frozenset({InstanceState.ALIVE, InstanceState.SUSPECT})


def configured_name(instance_id: str) -> str:
    """Return the configured name of an instance, which is its id without the incarnation."""
    return instance_id.partition("#")[0]


class TopologyTask(Task):
    """Maintains the topology and publishes each change to the other tasks.

    Parameters
    ----------
    membership
        Membership at the start.
    ownership_by_service, balancer_by_service
        Tasks to notify, by service.
    on_change
        Called with each new topology; it must not block.
    """

    def __init__(
        self,
        membership: MembershipView,
        ownership_by_service: Mapping[str, OwnershipTask],
        balancer_by_service: Mapping[str, BalancerTask],
        on_change: Callable[[Topology], None],
        **kwargs: Any,
    ) -> None:
        super().__init__("topology", **kwargs)
        self._topology = Topology(membership)
        self._ownership_by_service = ownership_by_service
        self._balancer_by_service = balancer_by_service
        self._on_change = on_change

    def on_start(self) -> None:
        """Publish the initial topology."""
        self._publish()

    @handles(MembershipChanged)
    def _update_membership(self, message: MembershipChanged) -> None:
        self._topology = replace(self._topology, membership=message.view)
        self._publish()

    @handles(TargetsListed)
    def _update_targets(self, message: TargetsListed) -> None:
        self._topology = replace(self._topology, targets=message.targets)
        self._publish()

    @handles(OutOfService)
    def _update_out_of_service(self, message: OutOfService) -> None:
        self._topology = replace(self._topology, out_of_service=message)
        self._publish()

    def _publish(self) -> None:
        topology = self._topology
        alive = topology.alive_instances()
        for service, ownership in self._ownership_by_service.items():
            cluster_state = ClusterState(
                alive, topology.targets_of(service), topology.out_of_service.domains
            )
            ownership.tell(ClusterStateChanged(cluster_state))
        for service, balancer in self._balancer_by_service.items():
            balancer.tell(TargetsChanged(topology.usable_targets(service)))
        self._on_change(topology)
