"""Simulation of one service: instances, servers, table, membership, live list and callers."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from random import Random

from damasktide.balancing.targets import Target
from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.service_ownership import OwnershipSettings, ServiceOwnership
from damasktide.ownership.shards import ShardSpace
from damasktide_standins.ownership_world.callers import Caller
from damasktide_standins.ownership_world.events import EventQueue
from damasktide_standins.ownership_world.history import History
from damasktide_standins.ownership_world.injection_points import InjectionPoint, Observer
from damasktide_standins.ownership_world.instance import InstanceNode, OwnershipFactory
from damasktide_standins.ownership_world.membership import FakeMembership
from damasktide_standins.ownership_world.network import Network
from damasktide_standins.ownership_world.node import Node
from damasktide_standins.ownership_world.server import ServerNode
from damasktide_standins.ownership_world.table import FakeTable

LIVE_LIST_INTERVAL_S = 2.0


@dataclass(frozen=True, slots=True)
class ClusterShape:
    """Size and settings of a simulated cluster.

    Attributes
    ----------
    region_by_domain
        Regions of the failure domains; the table is in the region of the first one.
    instances_by_domain, servers_by_domain
        Numbers of instances and backend servers in each failure domain.
    policy
        Isolation policy of the service.
    shards
        Number of shards.
    request_interval_s
        Time between two requests of one caller for the same shard.
    """

    region_by_domain: Mapping[str, str]
    instances_by_domain: Mapping[str, int]
    servers_by_domain: Mapping[str, int]
    policy: str = "yield"
    shards: int = 48
    request_interval_s: float = 0.15


def _make_shape(policy: str, *domains: tuple[str, str, int, int]) -> ClusterShape:
    """Return a shape; a domain is given as name, region, and numbers of instances and servers."""
    return ClusterShape(
        region_by_domain={name: region for name, region, _, _ in domains},
        instances_by_domain={name: instances for name, _, instances, _ in domains},
        servers_by_domain={name: servers for name, _, _, servers in domains},
        policy=policy,
    )


SHAPE_BY_NAME = {
    "cocoa-commons": _make_shape(
        "yield",
        ("ondo-a", "ondo", 3, 2),
        ("ondo-b", "ondo", 2, 1),
        ("oyo-a", "oyo", 2, 2),
        ("oyo-b", "oyo", 2, 1),
    ),
    "nile-auroral": _make_shape(
        "hold",
        ("north-delta-a", "north-delta", 2, 1),
        ("north-delta-b", "north-delta", 3, 2),
        ("south-sinai-a", "south-sinai", 2, 1),
        ("south-sinai-b", "south-sinai", 2, 2),
    ),
}


class Simulation:
    """All simulated processes of one run, on one event queue.

    Parameters
    ----------
    shape
        Size and settings.
    seed
        Seed of all random choices.
    make_ownership
        Makes the ownership state machine of an instance.
    server_class
        Class of the backend servers.
    """

    def __init__(
        self,
        shape: ClusterShape,
        seed: int,
        make_ownership: OwnershipFactory = ServiceOwnership,
        server_class: type[ServerNode] = ServerNode,
    ) -> None:
        self.shape = shape
        self.queue = EventQueue()
        self.random = Random(seed)
        self.history = History()
        self.network = Network(self.queue, self.random)
        self.table = FakeTable(self.queue, next(iter(shape.region_by_domain.values())))
        self.domains_out: frozenset[str] = frozenset()
        self.leaving: set[str] = set()
        self.is_live_list_stuck = False
        self._observers: list[Observer] = []
        self._servers = list(self._make_servers(server_class))
        self._published_targets = self._current_targets()
        self.instances = list(self._make_instances(make_ownership))
        self.membership = FakeMembership(self.queue, self.network, self.random, self.instances)
        self.callers = list(self._make_callers())
        self.queue.after(LIVE_LIST_INTERVAL_S, self._publish_live_list)

    def observe(self, observer: Observer) -> None:
        """Call ``observer`` just before each protocol step."""
        self._observers.append(observer)

    def run_until(self, end: float) -> None:
        """Advance simulated time to ``end`` and run all actions that are due."""
        self.queue.run_until(end)

    @property
    def servers(self) -> list[ServerNode]:
        """The backend servers."""
        return self._servers

    def server(self, name: str) -> ServerNode:
        """Return the backend server with this name."""
        return next(server for server in self._servers if server.name == name)

    def node(self, name: str) -> Node:
        """Return the node with this name."""
        return next(node for node in self.nodes() if node.name == name)

    def nodes(self) -> Iterator[Node]:
        """Yield all nodes except the callers."""
        yield from self.instances
        yield from self._servers
        yield self.table

    def nodes_in(self, domain: str) -> list[Node]:
        """Return the instances and servers of a failure domain."""
        return [node for node in self.nodes() if node.domain == domain]

    def instance_by_id(self, instance_id: str) -> InstanceNode | None:
        """Return the instance process with this id, or None if it is not running."""
        for node in self.instances:
            if node.is_up and node.instance.instance_id == instance_id:
                return node
        return None

    def cluster_state(self, observer: InstanceNode) -> ClusterState:
        """Return the cluster state that an instance currently sees."""
        return ClusterState(
            alive=self.membership.alive(observer),
            targets=self._published_targets,
            domains_out=self.domains_out,
        )

    def heal(self) -> None:
        """End all faults and restart the nodes that are down."""
        self.network.heal()
        self.table.is_down = False
        self.table.delay_s = 0.005
        self.is_live_list_stuck = False
        self.membership.heal()
        for node in self.nodes():
            node.resume()
            node.restart()

    def _notify(self, point: InjectionPoint) -> None:
        for observer in list(self._observers):
            observer(point)

    def _current_targets(self) -> tuple[Target, ...]:
        return tuple(
            Target(s.name, "desk", s.domain, s.region, "", 0, leaving=s.name in self.leaving)
            for s in self._servers
        )

    def _publish_live_list(self) -> None:
        if not self.is_live_list_stuck:
            self._published_targets = self._current_targets()
        self.queue.after(LIVE_LIST_INTERVAL_S, self._publish_live_list)

    def _make_servers(self, server_class: type[ServerNode]) -> Iterator[ServerNode]:
        for domain, number in self.shape.servers_by_domain.items():
            region = self.shape.region_by_domain[domain]
            for index in range(number):
                yield server_class(
                    self.queue,
                    self.random,
                    self.history,
                    self._notify,
                    f"desk-{domain}-{index}",
                    domain,
                    region,
                )

    def _make_instances(self, make_ownership: OwnershipFactory) -> Iterator[InstanceNode]:
        regions = tuple(dict.fromkeys(self.shape.region_by_domain.values()))
        for domain, number in self.shape.instances_by_domain.items():
            for index in range(number):
                settings = OwnershipSettings(
                    instance_id=f"{domain}-{index + 1}",
                    domain=domain,
                    region=self.shape.region_by_domain[domain],
                    service="desk",
                    space=ShardSpace(self.shape.shards, regions),
                    policy=self.shape.policy,
                    region_by_domain=self.shape.region_by_domain,
                )
                yield InstanceNode(
                    self.queue, self.random, self, self._notify, settings, make_ownership
                )

    def _make_callers(self) -> Iterator[Caller]:
        instance_by_region = {node.region: node for node in self.instances}
        for instance in instance_by_region.values():
            yield Caller(
                self.network,
                self.random,
                self.history,
                self.instances,
                instance,
                self.shape.shards,
                self.shape.request_interval_s,
            )
