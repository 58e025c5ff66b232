"""The cost of each role on one entry instance; a registry holds a function for each."""

from collections.abc import Callable
from dataclasses import dataclass

from damasktide.runtime.registry import Registry
from damasktide_standins.measure.capacity.model import TICKS_PER_S, Measured, Size

# Heads of an HTTP request and its response; the bodies are added to them.
HTTP_HEADS_BYTES = 400
# Frame, code and packed message around the body of a call between instances.
PEER_FRAME_BYTES = 120
# Body of a backend server's reply to a grant.
GRANT_REPLY_BYTES = 150
LIVE_LIST_POLLS_PER_S = 2.0
REFRESHES_PER_S = 10.0
RECORD_LIFE_S = 60.0
# Non-idempotent requests a second and node, of the design page.
RECORDED_PER_S_PER_NODE = 1240.0
# Roles that belong to the forwarding of requests, so the targets of control leave them out.
FORWARDING_ROLES = frozenset({"gatekeeper"})


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of a role on one entry instance, all services together.

    Attributes
    ----------
    core_percent
        Processor time in percent of a core.
    kb_per_s
        Bytes sent and received, in KB/s.
    memory_mb
        State in MB.
    """

    core_percent: float
    kb_per_s: float
    memory_mb: float


Role = Callable[[Measured, Size], Cost]

roles: Registry[str, Role] = Registry("role")


@roles.register("reader (an instance that reads one service)")
def reader(measured: Measured, size: Size) -> Cost:
    """Read and decode the map row every tick and answer the others of the failure domain."""
    row_bytes = measured.at("map row", size.shards) + (
        measured.line_by_name["map row, by servers, 8192 shards"].slope
        * (size.servers_per_service - 25)
    )
    decode_us = measured.at("decode map", size.shards)
    asked_per_s = size.entry_instances / size.domains * TICKS_PER_S
    reply = _confirm_bytes(measured, size)
    return Cost(
        decode_us * TICKS_PER_S / 1e4,
        (row_bytes * TICKS_PER_S + asked_per_s * reply) / 1000,
        0.0,
    )


@roles.register("renewer: grants")
def renewer(measured: Measured, size: Size) -> Cost:
    """Send grants; the processor time of the calls is measured with processes, not here."""
    shards_per_server = size.shards / size.servers_per_service
    grant = measured.at("grant", shards_per_server) + GRANT_REPLY_BYTES + HTTP_HEADS_BYTES
    return Cost(0.0, size.grants_per_s * grant / 1000, 0.0)


@roles.register("renewer and controller: decisions of each tick")
def controller(measured: Measured, size: Size) -> Cost:
    """Decide for all services; each instance does this for every backend server."""
    name = "tick of one service at 760 nodes, 8192 shards"
    tick_us = measured.between(name, size.entry_instances)
    state = measured.at("ownership state, 20 servers, 24 instances", size.shards)
    return Cost(tick_us * TICKS_PER_S * size.services / 1e4, 0.0, state * size.services / 1e6)


@roles.register("asking the readers")
def asking(measured: Measured, size: Size) -> Cost:
    """Ask both readers of the failure domain for each service every tick."""
    calls_per_s = 2 * size.services * TICKS_PER_S
    return Cost(0.0, calls_per_s * _confirm_bytes(measured, size) / 1000, 0.0)


@roles.register("gatekeeper")
def deduplicator(measured: Measured, size: Size) -> Cost:
    """Keep the records of 60 s; all nodes' requests fall to the entry instances."""
    rate = RECORDED_PER_S_PER_NODE * size.nodes / size.entry_instances
    records = rate * RECORD_LIFE_S
    record_bytes = measured.line_by_name["gatekeeper records, 64-byte bodies"].slope
    record_us = measured.line_by_name["gatekeeper begin, finish and sweep"].slope
    return Cost(rate * record_us / 1e4, 0.0, records * record_bytes / 1e6)


@roles.register("membership")
def membership(measured: Measured, size: Size) -> Cost:
    """Send and receive datagrams; as many are received as are sent."""
    time_us = measured.at("membership, seal and unseal included", size.entry_instances)
    sent = measured.at("membership, sent, headers included", size.entry_instances)
    memory = measured.at("membership state", size.entry_instances)
    return Cost(time_us / 1e4, 2 * sent / 1000, memory / 1e6)


@roles.register("live list")
def live_list(measured: Measured, size: Size) -> Cost:
    """Poll and decode the list of all backend servers."""
    length = measured.at("live list", size.servers) + HTTP_HEADS_BYTES
    time_us = measured.at("decode live list", size.servers)
    return Cost(time_us * LIVE_LIST_POLLS_PER_S / 1e4, length * LIVE_LIST_POLLS_PER_S / 1000, 0.0)


@roles.register("balancer refresh")
def balancer(measured: Measured, size: Size) -> Cost:
    """Refresh the state of all targets."""
    time_us = measured.at("balancer refresh, 10 a second", size.servers_per_service)
    return Cost(time_us * REFRESHES_PER_S * size.services / 1e4, 0.0, 0.0)


def _confirm_bytes(measured: Measured, size: Size) -> float:
    """Return the bytes of one confirmation: call, reply and their frames."""
    # A renewer names the servers of the service that it reached.
    reached = size.servers_per_service * 2 / size.entry_instances
    return measured.at("confirm reply", reached) + 2 * PEER_FRAME_BYTES
