"""Builds shard maps, backend servers and instances of a given size for the benchmarks."""

import json
from collections.abc import Iterator

from damasktide.balancing.targets import Target
from damasktide.membership.instances import Instance
from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.constants import GRANT_TTL_S, MAX_CONFIRMERS_PER_DOMAIN
from damasktide.ownership.effects import ConfirmReply, SendGrant, ServerReply
from damasktide.ownership.service_ownership import OwnershipSettings, ServiceOwnership
from damasktide.ownership.shard_map import OwnerServer, ShardMap, with_confirmers
from damasktide.ownership.shards import ShardSpace

REGIONS = ("ondo", "oyo")
REGION_BY_DOMAIN = {f"{region}-{letter}": region for region in REGIONS for letter in "abc"}
DOMAINS = tuple(REGION_BY_DOMAIN)
SERVICE = "batch-desk"


def make_servers(count: int) -> tuple[OwnerServer, ...]:
    """Return ``count`` backend servers spread evenly over the failure domains."""
    return tuple(_server(number) for number in range(count))


def make_instances(count: int) -> tuple[Instance, ...]:
    """Return ``count`` instances spread evenly over the failure domains."""
    return tuple(_instance(number) for number in range(count))


def make_map(shards: int, servers: int = 25, instances: int = 9) -> ShardMap:
    """Return a map whose servers own equal numbers of shards, to within one."""
    owners = tuple(shard % servers for shard in range(shards))
    shard_map = ShardMap(SERVICE, 1, make_servers(servers), owners)
    ids_by_domain = {
        domain: tuple(i.instance_id for i in make_instances(instances) if i.domain == domain)[
            :MAX_CONFIRMERS_PER_DOMAIN
        ]
        for domain in DOMAINS
    }
    return with_confirmers(shard_map, ids_by_domain, REGION_BY_DOMAIN)


def make_targets(servers: tuple[OwnerServer, ...]) -> tuple[Target, ...]:
    """Return the targets that the live list holds for the servers."""
    return tuple(Target(s.server_id, SERVICE, s.domain, s.region, s.host, s.port) for s in servers)


def grant_body(effect: SendGrant) -> bytes:
    """Return the request body that sends a grant to its backend server."""
    body = {
        "service": SERVICE,
        "version": effect.version,
        "shards": effect.shards,
        "term": effect.term,
        "basis_ms": effect.basis_ms,
        "ttl_ms": int(GRANT_TTL_S * 1000),
    }
    return json.dumps(body, separators=(",", ":")).encode()


class SteadyOwnership:
    """Ownership state machine of one instance whose backend servers all reply.

    Parameters
    ----------
    servers, instances, shards
        Number of backend servers, instances and shards.
    """

    def __init__(self, servers: int, instances: int, shards: int) -> None:
        self._now = 0.0
        self._map = make_map(shards, servers, instances)
        alive = make_instances(instances)
        own_instance = alive[0]
        settings = OwnershipSettings(
            own_instance.instance_id,
            own_instance.domain,
            own_instance.region,
            SERVICE,
            ShardSpace(shards, REGIONS),
            "yield",
            REGION_BY_DOMAIN,
        )
        self.state_machine = ServiceOwnership(settings)
        targets = make_targets(self._map.servers)
        self.state_machine.update_cluster_state(ClusterState(alive, targets))
        for _ in range(20):
            self.tick()

    def tick(self) -> tuple[object, ...]:
        """Run one tick, apply a reply of each backend server that it calls; return the effects."""
        self._now += 0.15
        now = self._now
        self.state_machine.on_map_row_read(self._map, now - 0.01, now)
        effects = tuple(self.state_machine.on_tick(now))
        for effect in effects:
            if hasattr(effect, "server"):
                server_id = effect.server.server_id
                reply = ServerReply(True, "boot", "boot/1", int(now * 1000), 2, 0)
                self.state_machine.on_server_reply(server_id, reply, now)
        return effects

    def grants(self) -> Iterator[SendGrant]:
        """Yield the grants of one tick."""
        return (effect for effect in self.tick() if isinstance(effect, SendGrant))


def confirm_reply(servers: int) -> ConfirmReply:
    """Return a confirm reply that lists ``servers`` reached servers."""
    ages = tuple((server.server_id, 0.1) for server in make_servers(servers))
    return ConfirmReply(_instance(0).instance_id, 2, 0.1, ages)


def _server(number: int) -> OwnerServer:
    domain = DOMAINS[number % len(DOMAINS)]
    host = f"10.1.{number // 250}.{number % 250 + 1}"
    return OwnerServer(f"{SERVICE}-{domain}-{number}", domain, REGION_BY_DOMAIN[domain], host, 80)


def _instance(number: int) -> Instance:
    domain = DOMAINS[number % len(DOMAINS)]
    host = f"10.0.{number // 250}.{number % 250 + 1}"
    name = f"{domain}-{number}#{number:08x}"
    return Instance(name, domain, REGION_BY_DOMAIN[domain], host, 7946, 7947)
