"""The world: instances, servers, table, membership, live list and callers of one service."""

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
from damasktide_standins.ownership_world.instance import Decisions, InstanceNode
from damasktide_standins.ownership_world.membership import FakeMembership
from damasktide_standins.ownership_world.moments import Moment, Observer
from damasktide_standins.ownership_world.network import Network
from damasktide_standins.ownership_world.node import Node
from damasktide_standins.ownership_world.server import ServerNode
from damasktide_standins.ownership_world.table import FakeTable

LIVE_LIST_LAG_S = 2.0


@dataclass(frozen=True, slots=True)
class Shape:
    """Size of a world.

    Attributes
    ----------
    region_by_domain
        Failure domains; the table stands in the region of the first one.
    instances_by_domain, servers_by_domain
        Numbers of instances and servers.
    policy
        Isolation policy.
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


def _shape(policy: str, *domains: tuple[str, str, int, int]) -> Shape:
    return Shape(
        region_by_domain={name: region for name, region, _, _ in domains},
        instances_by_domain={name: instances for name, _, instances, _ in domains},
        servers_by_domain={name: servers for name, _, _, servers in domains},
        policy=policy,
    )


SHAPE_BY_NAME = {
    "cocoa-commons": _shape(
        "yield",
        ("ondo-a", "ondo", 3, 2),
        ("ondo-b", "ondo", 2, 1),
        ("oyo-a", "oyo", 2, 2),
        ("oyo-b", "oyo", 2, 1),
    ),
    "nile-auroral": _shape(
        "hold",
        ("north-delta-a", "north-delta", 2, 1),
        ("north-delta-b", "north-delta", 3, 2),
        ("south-sinai-a", "south-sinai", 2, 1),
        ("south-sinai-b", "south-sinai", 2, 2),
    ),
}


class World:
    """All parties of one run.

    Parameters
    ----------
    shape
        Size.
    seed
        Seed of all random choices.
    decisions
        Makes the decision object of an instance.
    server_class
        Class of the backend servers.
    """

    def __init__(
        self,
        shape: Shape,
        seed: int,
        decisions: Decisions = ServiceOwnership,
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
        self._targets = self._current_targets()
        self.instances = list(self._make_instances(decisions))
        self.membership = FakeMembership(self.queue, self.network, self.random, self.instances)
        self.callers = list(self._make_callers())
        self.queue.after(LIVE_LIST_LAG_S, self._publish_live_list)

    def observe(self, observer: Observer) -> None:
        """Call ``observer`` just before each step."""
        self._observers.append(observer)

    def run_until(self, end: float) -> None:
        """Let simulated time pass."""
        self.queue.run_until(end)

    @property
    def servers(self) -> list[ServerNode]:
        """The backend servers."""
        return self._servers

    def server(self, name: str) -> ServerNode:
        """Return a server."""
        return next(server for server in self._servers if server.name == name)

    def node(self, name: str) -> Node:
        """Return a party."""
        return next(node for node in self.nodes() if node.name == name)

    def nodes(self) -> Iterator[Node]:
        """Yield all parties but the callers."""
        yield from self.instances
        yield from self._servers
        yield self.table

    def nodes_in(self, domain: str) -> list[Node]:
        """Return the instances and servers of a failure domain."""
        return [node for node in self.nodes() if node.domain == domain]

    def instance_by_id(self, instance_id: str) -> InstanceNode | None:
        """Return the process with this id, or None if it has ended."""
        for node in self.instances:
            if node.is_up and node.instance.instance_id == instance_id:
                return node
        return None

    def cluster_state(self, observer: InstanceNode) -> ClusterState:
        """Return what the other tasks of an instance have published."""
        return ClusterState(
            alive=self.membership.alive(observer),
            targets=self._targets,
            domains_out=self.domains_out,
        )

    def heal(self) -> None:
        """End all faults; parties that are down start again."""
        self.network.heal()
        self.table.is_down = False
        self.table.delay_s = 0.005
        self.is_live_list_stuck = False
        self.membership.heal()
        for node in self.nodes():
            node.thaw()
            node.restart()

    def _notify(self, moment: Moment) -> None:
        for observer in list(self._observers):
            observer(moment)

    def _current_targets(self) -> tuple[Target, ...]:
        return tuple(
            Target(s.name, "desk", s.domain, s.region, "", 0, leaving=s.name in self.leaving)
            for s in self._servers
        )

    def _publish_live_list(self) -> None:
        if not self.is_live_list_stuck:
            self._targets = self._current_targets()
        self.queue.after(LIVE_LIST_LAG_S, self._publish_live_list)

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

    def _make_instances(self, decisions: Decisions) -> Iterator[InstanceNode]:
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
                    self.queue, self.random, self, self._notify, settings, decisions
                )

    def _make_callers(self) -> Iterator[Caller]:
        home_by_region = {node.region: node for node in self.instances}
        for home in home_by_region.values():
            yield Caller(
                self.network,
                self.random,
                self.history,
                self.instances,
                home,
                self.shape.shards,
                self.shape.request_interval_s,
            )
