"""Benchmarks of the live list and of the balancer, by number of backend servers."""

import json
from dataclasses import asdict
from random import Random

from damasktide.balancing.balancer import Balancer
from damasktide.balancing.locality import LinkBudget, Locality
from damasktide.balancing.policies import balancing_policies
from damasktide.discovery.live_list import decode_live_list
from damasktide_standins.measure.slopes.benchmarks import benchmark, time_us
from damasktide_standins.measure.slopes.fixtures import (
    DOMAINS,
    REGIONS,
    make_servers,
    make_targets,
)
from damasktide_standins.platform.live_list import LiveEntry

SERVERS = (33, 80, 320, 720)


def _live_list_body(servers: int) -> bytes:
    entries = [
        asdict(LiveEntry(t.server_id, t.service, t.domain, t.region, t.host, t.port, 6, 110))
        for t in make_targets(make_servers(servers))
    ]
    return json.dumps({"instances": entries}).encode()


@benchmark("live list", SERVERS, "servers", "bytes")
def live_list_bytes(servers: int) -> float:
    """Return the length of the live list."""
    return len(_live_list_body(servers))


@benchmark("decode live list", SERVERS, "servers", "us")
def live_list_cost(servers: int) -> float:
    """Return the time to decode the live list."""
    body = _live_list_body(servers)
    return time_us(lambda: decode_live_list(body))


@benchmark("balancer refresh, 10 a second", SERVERS, "servers", "us")
def balancer_cost(servers: int) -> float:
    """Return the time of one refresh and status of the balancer of one service."""
    balancer = Balancer(
        Locality(DOMAINS[0], REGIONS[0]),
        balancing_policies.get("power_of_two")(Random(1)),
        LinkBudget(200_000.0, 0.0),
    )
    balancer.set_targets(0.0, make_targets(make_servers(servers)))
    now = 0.0

    def refresh() -> None:
        nonlocal now
        now += 0.1
        balancer.refresh(now)
        balancer.status(now)

    return time_us(refresh)
