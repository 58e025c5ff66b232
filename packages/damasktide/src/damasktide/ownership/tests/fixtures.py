"""Builders shared by the tests of the ownership decisions."""

from damasktide.balancing.targets import Target
from damasktide.membership.instances import Instance
from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.effects import ConfirmReply, Effect, SendGrant, ServerReply
from damasktide.ownership.service_ownership import OwnershipSettings, ServiceOwnership
from damasktide.ownership.shard_map import OwnerServer, ShardMap, with_confirmers
from damasktide.ownership.shards import ShardSpace

REGION_BY_DOMAIN = {"a": "north", "b": "north"}
CONFIRMERS = {"a": ("a1", "a2"), "b": ("b1", "b2")}
OLD = OwnerServer("old", "a", "north", "", 0)
NEW = OwnerServer("new", "b", "north", "", 0)
TICK_S = 0.15


def first_map() -> ShardMap:
    """Return version 1, in which ``old`` owns both shards."""
    return with_confirmers(ShardMap("desk", 0, (OLD,), (0, 0)), CONFIRMERS, REGION_BY_DOMAIN)


def target(server: OwnerServer) -> Target:
    return Target(server.server_id, "desk", server.domain, server.region, "", 0)


def instance(instance_id: str) -> Instance:
    return Instance(instance_id, instance_id[0], "north", "", 0, 0)


def make_ownership(instance_id: str, *alive: str, policy: str = "yield") -> ServiceOwnership:
    """Return the decisions of an instance that believes itself and ``alive`` to be alive."""
    settings = OwnershipSettings(
        instance_id,
        instance_id[0],
        "north",
        "desk",
        ShardSpace(2, ("north",)),
        policy,
        REGION_BY_DOMAIN,
    )
    result = ServiceOwnership(settings)
    members = tuple(instance(name) for name in (instance_id, *alive))
    result.update_cluster_state(ClusterState(members, (target(OLD), target(NEW))))
    return result


def server_reply(
    boot: int = 1, version: int = 1, now_ms: int = 0, draining: int = 0
) -> ServerReply:
    return ServerReply(True, f"boot-{boot}", f"boot-{boot}/0", now_ms, version, draining)


def confirm_reply(
    instance_id: str, version: int = 1, map_row_read_age_s: float | None = None
) -> ConfirmReply:
    return ConfirmReply(instance_id, version, map_row_read_age_s)


def has_grant(effects: list[Effect], server: OwnerServer = OLD) -> bool:
    return any(isinstance(one, SendGrant) and one.server == server for one in effects)
