"""Unavailable time per key after losses of processes and during a store outage."""

import time
from collections.abc import Callable, Iterator

import gevent

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.measure.maps import keys_owned_by
from damasktide_standins.measure.registry import DesignTarget, Sample, measures
from damasktide_standins.process_faults.controls import set_platform_faults
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.observer import longest_gap_s

KEY_COUNT = 16
# Each measured time includes this pause, because a gap lies between two responses to a caller.
CALLER_PAUSE_S = 0.06
WARM_UP_S = 2.0
AFTER_FAULT_S = 6.0
SETTLE_S = 6.0
MAX_UNAVAILABLE_S = DesignTarget(2.0)


@measures.register("unavailable: backend server lost")
def server_lost(cluster: LocalCluster, seed: int) -> Iterator[Sample]:
    """Kill a backend server and call keys that it owned."""
    lost = _first_service_servers_in(cluster, _domain(cluster, seed))[0]
    keys = tuple(keys_owned_by(cluster, {lost}, KEY_COUNT))
    yield from _measure_gaps(
        cluster, keys, seed, "backend server lost", lambda: _kill(cluster, [lost])
    )
    cluster.start_server(lost)
    gevent.sleep(SETTLE_S)


@measures.register("unavailable: instance lost")
def instance_lost(cluster: LocalCluster, seed: int) -> Iterator[Sample]:
    """Kill an instance and call keys of its failure domain."""
    domain = _domain(cluster, seed)
    lost = _instances_in(cluster, domain)[0]
    keys = tuple(
        keys_owned_by(cluster, set(_first_service_servers_in(cluster, domain)), KEY_COUNT)
    )
    yield from _measure_gaps(cluster, keys, seed, "instance lost", lambda: _kill(cluster, [lost]))
    cluster.start_instance(lost)
    cluster.wait_until(lambda: cluster.is_ready(lost), 30.0, lost)
    gevent.sleep(SETTLE_S)


@measures.register("unavailable: store down")
def store_down(cluster: LocalCluster, seed: int) -> Iterator[Sample]:
    """Make the store unavailable; all keys must still be served."""
    servers = set(cluster.server_by_id)
    keys = tuple(keys_owned_by(cluster, servers, KEY_COUNT))
    yield from _measure_gaps(
        cluster, keys, seed, "store down", lambda: set_platform_faults(cluster, down=True)
    )
    set_platform_faults(cluster, down=False)
    gevent.sleep(SETTLE_S)


@measures.register("unavailable: failure domain lost")
def domain_lost(cluster: LocalCluster, seed: int) -> Iterator[Sample]:
    """Kill all processes of a failure domain and call keys that its servers owned."""
    domain = _domain(cluster, seed)
    instances = _instances_in(cluster, domain)
    servers = _all_servers_in(cluster, domain)
    keys = tuple(keys_owned_by(cluster, set(servers), KEY_COUNT))
    yield from _measure_gaps(
        cluster,
        keys,
        seed,
        "failure domain lost",
        lambda: _kill(cluster, [*instances, *servers]),
    )
    for server_id in servers:
        cluster.start_server(server_id)
    for name in instances:
        cluster.start_instance(name)
    for name in instances:
        cluster.wait_until(lambda name=name: cluster.is_ready(name), 40.0, name)  # type: ignore[misc]
    gevent.sleep(3 * SETTLE_S)


def _measure_gaps(
    cluster: LocalCluster, keys: tuple[str, ...], seed: int, name: str, fault: Callable[[], None]
) -> Iterator[Sample]:
    callers = Callers(cluster, keys, seed, pause_s=CALLER_PAUSE_S)
    callers.start()
    gevent.sleep(WARM_UP_S)
    started = time.time()
    fault()
    gevent.sleep(AFTER_FAULT_S)
    ended = time.time()
    record = callers.stop()
    gaps = sorted(longest_gap_s(record, key, started, ended) for key in keys)
    for label, share in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
        gap_s = gaps[min(len(gaps) - 1, int(share * len(gaps)))]
        yield Sample(f"unavailable, {name}, {label} over keys", gap_s, "s", MAX_UNAVAILABLE_S)


def _kill(cluster: LocalCluster, names: list[str]) -> None:
    for name in names:
        cluster.process_by_name[name].kill()


def _domain(cluster: LocalCluster, seed: int) -> str:
    domains = list(cluster.layout.region_by_domain)
    return domains[seed % len(domains)]


def _instances_in(cluster: LocalCluster, domain: str) -> list[str]:
    return [name for name, node in cluster.instance_by_name.items() if node.domain == domain]


def _first_service_servers_in(cluster: LocalCluster, domain: str) -> list[str]:
    service = cluster.layout.services[0].name
    return [
        name
        for name in _all_servers_in(cluster, domain)
        if cluster.server_by_id[name].service == service
    ]


def _all_servers_in(cluster: LocalCluster, domain: str) -> list[str]:
    return [name for name, node in cluster.server_by_id.items() if node.domain == domain]
