"""Cost of each role on one entry instance, with a registry of one function per role."""

from collections.abc import Callable
from dataclasses import dataclass

from damasktide.runtime.registry import Registry
from damasktide_standins.measure.capacity.model import TICKS_PER_S, Measurements, Size

# Request and response headers of an HTTP call; the bodies are added.
HTTP_HEADERS_BYTES = 400
# Overhead of a call between instances: frame header, authentication code and encoded message
# around the body.
PEER_FRAME_BYTES = 120
# Body of a backend server's reply to a grant.
GRANT_REPLY_BYTES = 150
LIVE_LIST_POLLS_PER_S = 2.0
REFRESHES_PER_S = 10.0
RECORD_TTL_S = 60.0
# Non-idempotent requests per second and node, from docs/design.md.
RECORDED_REQUESTS_PER_S_PER_NODE = 1240.0
# Roles that belong to request forwarding, so the control-plane targets exclude them. The keys of
# roles and benchmarks are fixed; those with "gatekeeper" are about the deduplicator.
FORWARDING_ROLES = frozenset({"gatekeeper"})


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of a role on one entry instance, for all services together.

    Attributes
    ----------
    core_percent
        Processor time in percent of a core; 1e4 us per second are 1 percent.
    kb_per_s
        Bytes sent and received, in KB/s.
    memory_mb
        Memory of the state in MB.
    """

    core_percent: float
    kb_per_s: float
    memory_mb: float


Role = Callable[[Measurements, Size], Cost]

roles: Registry[str, Role] = Registry("role")


@roles.register("reader (an instance that reads one service)")
def reader(measured: Measurements, size: Size) -> Cost:
    """Read and decode the map row every tick and reply to the other instances of the domain."""
    # The rows of the first benchmark have 25 servers.
    row_bytes = measured.at("map row", size.shards) + (
        measured.line_by_name["map row, by servers, 8192 shards"].slope
        * (size.servers_per_service - 25)
    )
    decode_us = measured.at("decode map", size.shards)
    requests_per_s = size.entry_instances / size.domains * TICKS_PER_S
    confirm_bytes = _confirm_bytes(measured, size)
    return Cost(
        decode_us * TICKS_PER_S / 1e4,
        (row_bytes * TICKS_PER_S + requests_per_s * confirm_bytes) / 1000,
        0.0,
    )


@roles.register("renewer: grants")
def renewer(measured: Measurements, size: Size) -> Cost:
    """Send grants; without the processor time of the calls, which only real processes show."""
    shards_per_server = size.shards / size.servers_per_service
    grant_bytes = measured.at("grant", shards_per_server) + GRANT_REPLY_BYTES + HTTP_HEADERS_BYTES
    return Cost(0.0, size.grants_per_s * grant_bytes / 1000, 0.0)


@roles.register("renewer and controller: decisions of each tick")
def controller(measured: Measurements, size: Size) -> Cost:
    """Make the ownership decisions of all services; each instance does so for every server."""
    name = "tick of one service at 760 nodes, 8192 shards"
    tick_us = measured.interpolate(name, size.entry_instances)
    state_bytes = measured.at("ownership state, 20 servers, 24 instances", size.shards)
    return Cost(
        tick_us * TICKS_PER_S * size.services / 1e4, 0.0, state_bytes * size.services / 1e6
    )


@roles.register("asking the readers")
def confirm_requests(measured: Measurements, size: Size) -> Cost:
    """Send a confirm request to both readers of the failure domain per service and tick."""
    calls_per_s = 2 * size.services * TICKS_PER_S
    return Cost(0.0, calls_per_s * _confirm_bytes(measured, size) / 1000, 0.0)


@roles.register("gatekeeper")
def deduplicator(measured: Measurements, size: Size) -> Cost:
    """Keep the records of 60 s for the requests of all nodes, shared by the entry instances."""
    rate = RECORDED_REQUESTS_PER_S_PER_NODE * size.nodes / size.entry_instances
    records = rate * RECORD_TTL_S
    record_bytes = measured.line_by_name["gatekeeper records, 64-byte bodies"].slope
    record_us = measured.line_by_name["gatekeeper begin, finish and sweep"].slope
    return Cost(rate * record_us / 1e4, 0.0, records * record_bytes / 1e6)


@roles.register("membership")
def membership(measured: Measurements, size: Size) -> Cost:
    """Send datagrams and receive as many."""
    time_us = measured.at("membership, seal and unseal included", size.entry_instances)
    sent_bytes_per_s = measured.at("membership, sent, headers included", size.entry_instances)
    state_bytes = measured.at("membership state", size.entry_instances)
    return Cost(time_us / 1e4, 2 * sent_bytes_per_s / 1000, state_bytes / 1e6)


@roles.register("live list")
def live_list(measured: Measurements, size: Size) -> Cost:
    """Poll and decode the list of all backend servers."""
    poll_bytes = measured.at("live list", size.servers) + HTTP_HEADERS_BYTES
    time_us = measured.at("decode live list", size.servers)
    return Cost(
        time_us * LIVE_LIST_POLLS_PER_S / 1e4, poll_bytes * LIVE_LIST_POLLS_PER_S / 1000, 0.0
    )


@roles.register("balancer refresh")
def balancer(measured: Measurements, size: Size) -> Cost:
    """Refresh the state of all targets of all services."""
    time_us = measured.at("balancer refresh, 10 a second", size.servers_per_service)
    return Cost(time_us * REFRESHES_PER_S * size.services / 1e4, 0.0, 0.0)


def _confirm_bytes(measured: Measurements, size: Size) -> float:
    """Return the bytes of one confirm call: request, reply and their frames."""
    # A renewer lists the servers of the service that it has reached.
    reached = size.servers_per_service * 2 / size.entry_instances
    return measured.at("confirm reply", reached) + 2 * PEER_FRAME_BYTES
