"""Benchmarks of membership and of the deduplicator."""

import time
from functools import cache

from damasktide.membership.datagrams import Datagram
from damasktide.membership.guard import DatagramGuard
from damasktide.membership.tests.in_process import InProcessNetwork
from damasktide_standins.measure.slopes.benchmarks import benchmark, retained_bytes
from damasktide_standins.measure_gatekeeper import measure as measure_records

INSTANCES = (9, 36, 100, 400)
RECORDS = (10_000, 20_000, 40_000, 80_000)
SEED = 1
# Longer than the interval of full state pulls, so that joining has completed.
JOIN_S = 40.0
MEASURED_S = 5.0
MEMORY_JOIN_S = 10.0
BODY_BYTES = 64

# Ethernet, IPv4 and UDP headers of a datagram.
HEADER_BYTES = 14 + 20 + 8


class _CountingTransport:
    """Seals and unseals each datagram and counts its bytes."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.datagrams = 0
        self._guard_by_sender: dict[str, DatagramGuard] = {}
        self._receiver = DatagramGuard(b"measure")

    def __call__(self, sender_id: str, datagram: Datagram) -> Datagram | None:
        guard = self._guard_by_sender.setdefault(sender_id, DatagramGuard(b"measure"))
        sealed = guard.seal(datagram)
        self.sent_bytes += len(sealed) + HEADER_BYTES
        self.datagrams += 1
        return self._receiver.unseal(sealed)


@cache
def _steady_state(instances: int) -> tuple[float, float, float]:
    """Return processor microseconds, bytes and datagrams per instance and second."""
    transport = _CountingTransport()
    network = InProcessNetwork(instances, SEED, transport=transport)
    network.run(JOIN_S)
    transport.sent_bytes = transport.datagrams = 0
    started_s = time.process_time()
    network.run(MEASURED_S)
    processor_us = (time.process_time() - started_s) * 1e6
    instance_seconds = instances * MEASURED_S
    return (
        processor_us / instance_seconds,
        transport.sent_bytes / instance_seconds,
        transport.datagrams / instance_seconds,
    )


@benchmark("membership, seal and unseal included", INSTANCES, "instances", "us/s")
def membership_time(instances: int) -> float:
    """Return the processor time of one instance per second."""
    return _steady_state(instances)[0]


@benchmark("membership, sent, headers included", INSTANCES, "instances", "bytes/s")
def membership_bytes(instances: int) -> float:
    """Return the bytes that one instance sends per second."""
    return _steady_state(instances)[1]


@benchmark("membership, datagrams sent", INSTANCES, "instances", "1/s")
def membership_datagrams(instances: int) -> float:
    """Return the datagrams that one instance sends per second."""
    return _steady_state(instances)[2]


@benchmark("membership state", (9, 36, 100, 200), "instances", "bytes")
def membership_memory(instances: int) -> float:
    """Return the memory of one instance's state."""

    def build() -> InProcessNetwork:
        network = InProcessNetwork(instances, SEED)
        network.run(MEMORY_JOIN_S)
        return network

    return retained_bytes(build) / instances


@benchmark("gatekeeper records, 64-byte bodies", RECORDS, "records", "bytes")
def deduplicator_memory(records: int) -> float:
    """Return the memory of the request records."""
    return measure_records(records, BODY_BYTES).memory_bytes


@benchmark("gatekeeper begin, finish and sweep", RECORDS, "records", "us")
def deduplicator_time(records: int) -> float:
    """Return the processor time to begin, finish and sweep all requests."""
    sample = measure_records(records, BODY_BYTES)
    return (sample.fill_s + sample.sweep_s) * 1e6
