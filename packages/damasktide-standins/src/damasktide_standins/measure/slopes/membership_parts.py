"""Costs of membership and of the gatekeeper."""

import time
from functools import cache

from damasktide.membership.datagrams import Datagram
from damasktide.membership.guard import DatagramGuard
from damasktide.membership.tests.in_process import InProcessNetwork
from damasktide_standins.measure.slopes.parts import kept_bytes, part
from damasktide_standins.measure_gatekeeper import measure as measure_gatekeeper

INSTANCES = (9, 36, 100, 400)
RECORDS = (10_000, 20_000, 40_000, 80_000)
SEED = 1
# Longer than the period of full pulls, so that joining has ended.
JOIN_S = 40.0
MEASURED_S = 5.0
MEMORY_JOIN_S = 10.0
BODY_BYTES = 64

# Headers of Ethernet, IPv4 and UDP.
HEADER_BYTES = 14 + 20 + 8


class _CountingTransport:
    """Seals and unseals every datagram and counts its bytes."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.datagrams = 0
        self._guard_by_sender: dict[str, DatagramGuard] = {}
        self._receiver = DatagramGuard(b"measure")

    def __call__(self, sender_id: str, datagram: Datagram) -> Datagram | None:
        guard = self._guard_by_sender.setdefault(sender_id, DatagramGuard(b"measure"))
        data = guard.seal(datagram)
        self.sent_bytes += len(data) + HEADER_BYTES
        self.datagrams += 1
        return self._receiver.unseal(data)


@cache
def _steady_state(instances: int) -> tuple[float, float, float]:
    """Return microseconds, bytes and datagrams per instance and second."""
    transport = _CountingTransport()
    network = InProcessNetwork(instances, SEED, transport=transport)
    network.run(JOIN_S)
    transport.sent_bytes = transport.datagrams = 0
    started = time.process_time()
    network.run(MEASURED_S)
    spent_us = (time.process_time() - started) * 1e6
    total = instances * MEASURED_S
    return spent_us / total, transport.sent_bytes / total, transport.datagrams / total


@part("membership, seal and unseal included", INSTANCES, "instances", "us/s")
def membership_time(instances: int) -> float:
    """Return the processor time of one instance per second."""
    return _steady_state(instances)[0]


@part("membership, sent, headers included", INSTANCES, "instances", "bytes/s")
def membership_bytes(instances: int) -> float:
    """Return the bytes that one instance sends per second."""
    return _steady_state(instances)[1]


@part("membership, datagrams sent", INSTANCES, "instances", "1/s")
def membership_datagrams(instances: int) -> float:
    """Return the datagrams that one instance sends per second."""
    return _steady_state(instances)[2]


@part("membership state", (9, 36, 100, 200), "instances", "bytes")
def membership_memory(instances: int) -> float:
    """Return the memory of one instance's state."""

    def build() -> InProcessNetwork:
        network = InProcessNetwork(instances, SEED)
        network.run(MEMORY_JOIN_S)
        return network

    return kept_bytes(build) / instances


@part("gatekeeper records, 64-byte bodies", RECORDS, "records", "bytes")
def gatekeeper_memory(records: int) -> float:
    """Return the memory of the records."""
    return measure_gatekeeper(records, BODY_BYTES).memory_bytes


@part("gatekeeper begin, finish and sweep", RECORDS, "records", "us")
def gatekeeper_time(records: int) -> float:
    """Return the processor time of all records."""
    sample = measure_gatekeeper(records, BODY_BYTES)
    return (sample.seconds + sample.sweep_seconds) * 1e6
