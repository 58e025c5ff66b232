"""Costs of the shard map, the grants and the ownership decisions."""

from dataclasses import replace

from damasktide.ownership.codec import encode_confirm_reply
from damasktide.ownership.planner import Candidates, plan_moves
from damasktide.ownership.shard_map import MoveCause, ShardMap, decode_map, encode_map
from damasktide.ownership.shards import ShardSpace
from damasktide_standins.measure.slopes.parts import kept_bytes, part, time_us
from damasktide_standins.measure.slopes.worlds import (
    REGIONS,
    SteadyOwnership,
    confirm_reply,
    grant_body,
    make_map,
)

SHARDS = (512, 2048, 8192, 16384)
SERVERS = (5, 20, 80, 320)
INSTANCES = (6, 24, 96, 380)

# Sizes of the design page: all nodes, and entry instances among them.
NODES = 760
ENTRY_INSTANCES = (38, 76, 152, 380)

# Backend servers of the plans, the lost ones included.
PLAN_SERVERS = 25


@part("encode map", SHARDS, "shards", "us")
def encode_cost(shards: int) -> float:
    """Return the time to encode a map row."""
    shard_map = make_map(shards)
    return time_us(lambda: encode_map(shard_map))


@part("decode map", SHARDS, "shards", "us")
def decode_cost(shards: int) -> float:
    """Return the time to decode a map row."""
    text = encode_map(make_map(shards))
    return time_us(lambda: decode_map(text))


@part("adopt map", SHARDS, "shards", "us")
def adopt_cost(shards: int) -> float:
    """Return the time to adopt a newer version."""
    world = SteadyOwnership(25, 9, shards)
    newest = make_map(shards)

    def adopt() -> None:
        nonlocal newest
        newest = replace(newest, version=newest.version + 1)
        world.decisions.on_adopt_request(newest, 10.0)

    return time_us(adopt)


@part("map row", SHARDS, "shards", "bytes")
def row_bytes(shards: int) -> float:
    """Return the length of a map row with 25 servers."""
    return len(encode_map(make_map(shards)))


@part("map row, by servers, 8192 shards", SERVERS, "servers", "bytes")
def row_bytes_by_servers(servers: int) -> float:
    """Return the length of a map row."""
    return len(encode_map(make_map(8192, servers)))


@part("map in memory", SHARDS, "shards", "bytes")
def map_memory(shards: int) -> float:
    """Return the memory of a decoded map."""
    text = encode_map(make_map(shards))
    return kept_bytes(lambda: decode_map(text))


@part("tick, 24 instances, 8192 shards", SERVERS, "servers", "us")
def tick_by_servers(servers: int) -> float:
    """Return the time of one tick of one service, answers included."""
    return time_us(SteadyOwnership(servers, 24, 8192).tick)


@part("tick, 20 servers, 8192 shards", INSTANCES, "instances", "us")
def tick_by_instances(instances: int) -> float:
    """Return the time of one tick of one service, answers included."""
    return time_us(SteadyOwnership(20, instances, 8192).tick)


@part("tick, 20 servers, 24 instances", SHARDS, "shards", "us")
def tick_by_shards(shards: int) -> float:
    """Return the time of one tick of one service, answers included."""
    return time_us(SteadyOwnership(20, 24, shards).tick)


@part("tick of one service at 760 nodes, 8192 shards", ENTRY_INSTANCES, "entry instances", "us")
def tick_at_design_size(instances: int) -> float:
    """Return the time of one tick; half of the backend servers belong to the service."""
    return time_us(SteadyOwnership((NODES - instances) // 2, instances, 8192).tick)


@part("ownership state, 20 servers, 24 instances", SHARDS, "shards", "bytes")
def ownership_memory(shards: int) -> float:
    """Return the memory of the decisions of one service, the map included."""
    return kept_bytes(lambda: SteadyOwnership(20, 24, shards))


@part("grant", (8, 32, 128, 512), "shards of the server", "bytes")
def grant_bytes(shards: int) -> float:
    """Return the length of the body of a grant, mean over the servers."""
    world = SteadyOwnership(12, 6, shards * 12)
    bodies = [len(grant_body(grant)) for grant in world.grants()]
    return sum(bodies) / len(bodies)


@part("confirm reply", (2, 8, 32, 128), "servers", "bytes")
def confirm_bytes(servers: int) -> float:
    """Return the length of a confirmer's reply."""
    return len(encode_confirm_reply(confirm_reply(servers)))


@part("plan without moves", SHARDS, "shards", "us")
def steady_plan(shards: int) -> float:
    """Return the time of a plan that finds nothing to move."""
    return _plan_us(make_map(shards, PLAN_SERVERS), lost=0)


@part("plan, 1 of 25 servers lost", SHARDS, "shards", "us")
def loss_plan(shards: int) -> float:
    """Return the time to plan the moves away from one lost server."""
    return _plan_us(make_map(shards, PLAN_SERVERS), lost=1)


@part("plan, 1/6 of the servers lost, 8192 shards", (12, 48, 192, 672), "servers", "us")
def domain_plan(servers: int) -> float:
    """Return the time to plan the moves away from a lost failure domain."""
    return _plan_us(make_map(8192, servers), lost=servers // 6)


def _plan_us(shard_map: ShardMap, lost: int) -> float:
    space = ShardSpace(len(shard_map.owners), REGIONS)
    # Every sixth server stands in the first failure domain.
    gone = [server.server_id for server in shard_map.servers[::6][:lost]]
    by_id = shard_map.server_by_id()
    usable = {name: server for name, server in by_id.items() if name not in gone}
    candidates = Candidates(usable, dict.fromkeys(gone, MoveCause.LOST))
    return time_us(lambda: plan_moves(shard_map, space, candidates))
