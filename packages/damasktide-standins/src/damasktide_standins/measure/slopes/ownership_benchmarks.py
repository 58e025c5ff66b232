"""Benchmarks of the shard map, the grants and the ownership decisions."""

from dataclasses import replace

from damasktide.ownership.codec import encode_confirm_reply
from damasktide.ownership.planner import Candidates, plan_moves
from damasktide.ownership.shard_map import MoveCause, ShardMap
from damasktide.ownership.shard_map_codec import decode_map, encode_map
from damasktide.ownership.shards import ShardSpace
from damasktide_standins.measure.slopes.benchmarks import benchmark, retained_bytes, time_us
from damasktide_standins.measure.slopes.fixtures import (
    REGIONS,
    SteadyOwnership,
    confirm_reply,
    grant_body,
    make_map,
)

SHARDS = (512, 2048, 8192, 16384)
SERVERS = (5, 20, 80, 320)
INSTANCES = (6, 24, 96, 380)

# Sizes from docs/design.md: number of nodes, and of entry instances among them.
NODES = 760
ENTRY_INSTANCES = (38, 76, 152, 380)

# Backend servers of the plan benchmarks, including the lost ones.
PLAN_SERVERS = 25


@benchmark("encode map", SHARDS, "shards", "us")
def encode_cost(shards: int) -> float:
    """Return the time to encode a map row."""
    shard_map = make_map(shards)
    return time_us(lambda: encode_map(shard_map))


@benchmark("decode map", SHARDS, "shards", "us")
def decode_cost(shards: int) -> float:
    """Return the time to decode a map row."""
    text = encode_map(make_map(shards))
    return time_us(lambda: decode_map(text))


@benchmark("adopt map", SHARDS, "shards", "us")
def adopt_cost(shards: int) -> float:
    """Return the time to adopt a newer version of the map."""
    ownership = SteadyOwnership(25, 9, shards)
    newest = make_map(shards)

    def adopt() -> None:
        nonlocal newest
        newest = replace(newest, version=newest.version + 1)
        ownership.state_machine.on_adopt_request(newest, 10.0)

    return time_us(adopt)


@benchmark("map row", SHARDS, "shards", "bytes")
def row_bytes(shards: int) -> float:
    """Return the length of a map row with 25 servers."""
    return len(encode_map(make_map(shards)))


@benchmark("map row, by servers, 8192 shards", SERVERS, "servers", "bytes")
def row_bytes_by_servers(servers: int) -> float:
    """Return the length of a map row."""
    return len(encode_map(make_map(8192, servers)))


@benchmark("map in memory", SHARDS, "shards", "bytes")
def map_memory(shards: int) -> float:
    """Return the memory of a decoded map."""
    text = encode_map(make_map(shards))
    return retained_bytes(lambda: decode_map(text))


@benchmark("tick, 24 instances, 8192 shards", SERVERS, "servers", "us")
def tick_by_servers(servers: int) -> float:
    """Return the time of one tick of one service, including the replies."""
    return time_us(SteadyOwnership(servers, 24, 8192).tick)


@benchmark("tick, 20 servers, 8192 shards", INSTANCES, "instances", "us")
def tick_by_instances(instances: int) -> float:
    """Return the time of one tick of one service, including the replies."""
    return time_us(SteadyOwnership(20, instances, 8192).tick)


@benchmark("tick, 20 servers, 24 instances", SHARDS, "shards", "us")
def tick_by_shards(shards: int) -> float:
    """Return the time of one tick of one service, including the replies."""
    return time_us(SteadyOwnership(20, 24, shards).tick)


@benchmark(
    "tick of one service at 760 nodes, 8192 shards", ENTRY_INSTANCES, "entry instances", "us"
)
def tick_at_design_size(instances: int) -> float:
    """Return the time of one tick; half of the backend servers belong to the service."""
    return time_us(SteadyOwnership((NODES - instances) // 2, instances, 8192).tick)


@benchmark("ownership state, 20 servers, 24 instances", SHARDS, "shards", "bytes")
def ownership_memory(shards: int) -> float:
    """Return the memory of the ownership state of one service, including the map."""
    return retained_bytes(lambda: SteadyOwnership(20, 24, shards))


@benchmark("grant", (8, 32, 128, 512), "shards of the server", "bytes")
def grant_bytes(shards: int) -> float:
    """Return the mean length of the body of a grant over all servers."""
    ownership = SteadyOwnership(12, 6, shards * 12)
    bodies = [len(grant_body(grant)) for grant in ownership.grants()]
    return sum(bodies) / len(bodies)


@benchmark("confirm reply", (2, 8, 32, 128), "servers", "bytes")
def confirm_bytes(servers: int) -> float:
    """Return the length of a confirmer's reply."""
    return len(encode_confirm_reply(confirm_reply(servers)))


@benchmark("plan without moves", SHARDS, "shards", "us")
def steady_plan(shards: int) -> float:
    """Return the time to compute a plan without moves."""
    return _plan_us(make_map(shards, PLAN_SERVERS), lost=0)


@benchmark("plan, 1 of 25 servers lost", SHARDS, "shards", "us")
def loss_plan(shards: int) -> float:
    """Return the time to plan the moves away from one lost server."""
    return _plan_us(make_map(shards, PLAN_SERVERS), lost=1)


@benchmark("plan, 1/6 of the servers lost, 8192 shards", (12, 48, 192, 672), "servers", "us")
def domain_plan(servers: int) -> float:
    """Return the time to plan the moves away from a lost failure domain."""
    return _plan_us(make_map(8192, servers), lost=servers // 6)


def _plan_us(shard_map: ShardMap, lost: int) -> float:
    space = ShardSpace(len(shard_map.owners), REGIONS)
    # Every sixth server is in the first failure domain.
    lost_ids = [server.server_id for server in shard_map.servers[::6][:lost]]
    server_by_id = shard_map.server_by_id()
    usable_by_id = {name: server for name, server in server_by_id.items() if name not in lost_ids}
    candidates = Candidates(usable_by_id, dict.fromkeys(lost_ids, MoveCause.LOST))
    return time_us(lambda: plan_moves(shard_map, space, candidates))
