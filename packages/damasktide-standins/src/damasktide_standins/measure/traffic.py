"""Load imbalance, success rate in a failure domain outage, and tail latency with stragglers."""

import json
from collections import Counter
from collections.abc import Iterator
from statistics import fmean, pstdev

import gevent

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.measure.loads import LoadPlan, LoadResult, RunningLoad, run_load
from damasktide_standins.measure.ownership_churn import change_domain
from damasktide_standins.measure.registry import DesignTarget, Sample, measures
from damasktide_standins.process_faults.controls import set_server_fault

RATE_PER_S = 400.0
LOAD_PROCESSES = 2
MAX_IMBALANCE = DesignTarget(1.15)
MIN_SUCCESS = DesignTarget(0.999, is_upper=False)
# 11 ms plus the service time of 3 ms.
MAX_TAIL_MS = DesignTarget(14.0)
STRAGGLER_COUNTS = (0, 1, 3)
STRAGGLER_FACTOR = 20.0
BEFORE_OUTAGE_S = 3.0
OUTAGE_S = 6.0
OUTAGE_RUN_S = 16.0


def _urls(cluster: LocalCluster, service_index: int, without_domain: str = "") -> tuple[str, ...]:
    service = cluster.layout.services[service_index]
    return tuple(
        f"{node.url}/{service.name}/{service.unkeyed_operation}"
        for node in cluster.instance_by_name.values()
        if node.domain != without_domain
    )


@measures.register("imbalance")
def imbalance(cluster: LocalCluster, seed: int) -> Iterator[Sample]:
    """Send unkeyed requests to all instances and count the executions of each target."""
    before = _execution_count_by_server(cluster)
    run_load(
        cluster, LoadPlan(_urls(cluster, 0), LOAD_PROCESSES, seed * 100, RATE_PER_S, seconds=8.0)
    )
    after = _execution_count_by_server(cluster)
    counts = [after[name] - before[name] for name in _servers_of_first_service(cluster)]
    yield Sample("imbalance, max over mean", max(counts) / fmean(counts), "ratio", MAX_IMBALANCE)
    yield Sample("imbalance, coefficient of variation", pstdev(counts) / fmean(counts), "ratio")


@measures.register("success: failure domain leaves and returns")
def domain_success(cluster: LocalCluster, seed: int) -> Iterator[Sample]:
    """Take a failure domain out and back in while the others serve both services."""
    domains = list(cluster.layout.region_by_domain)
    domain = domains[seed % len(domains)]
    loads = [
        RunningLoad(
            cluster,
            LoadPlan(
                _urls(cluster, index, domain),
                *(1, seed * 100 + index, RATE_PER_S / 4),
                seconds=OUTAGE_RUN_S,
            ),
        )
        for index in range(len(cluster.layout.services))
    ]
    gevent.sleep(BEFORE_OUTAGE_S)
    change_domain(cluster, "domain-out", domain)
    gevent.sleep(OUTAGE_S)
    change_domain(cluster, "domain-in", domain)
    for service, load in zip(cluster.layout.services, loads, strict=True):
        name = f"success, domain out and back, {service.name}"
        yield Sample(name, load.wait().success_share, "share", MIN_SUCCESS)
    gevent.sleep(20.0)


@measures.register("tail latency: stragglers")
def stragglers(cluster: LocalCluster, seed: int) -> Iterator[Sample]:
    """Slow some targets down and measure the latency at half of the saturated rate."""
    plan = LoadPlan(_urls(cluster, 0), 4, seed * 100, seconds=4.0)
    saturated = run_load(cluster, plan).served_per_s
    yield Sample("saturated rate of all instances", saturated, "1/s")
    servers = _servers_of_first_service(cluster)
    for count in STRAGGLER_COUNTS:
        slow = servers[:: max(1, len(servers) // count)][:count] if count else []
        for server_id in slow:
            set_server_fault(cluster, server_id, "slow", factor=STRAGGLER_FACTOR)
        result = run_load(
            cluster, LoadPlan(_urls(cluster, 0), 4, seed * 100, saturated / 2, seconds=8.0)
        )
        for server_id in slow:
            set_server_fault(cluster, server_id, "clear")
        yield from _latency_samples(result, count)


def _latency_samples(result: LoadResult, count: int) -> Iterator[Sample]:
    for label, share, target in (
        ("p50", 0.5, None),
        ("p99", 0.99, MAX_TAIL_MS),
        ("p99.9", 0.999, None),
    ):
        value = result.quantile_ms(share)
        yield Sample(f"latency, {count} stragglers, {label}", value, "ms", target)
    yield Sample(f"success, {count} stragglers", result.success_share, "share", MIN_SUCCESS)


def _servers_of_first_service(cluster: LocalCluster) -> list[str]:
    service = cluster.layout.services[0].name
    return [name for name, node in cluster.server_by_id.items() if node.service == service]


def _execution_count_by_server(cluster: LocalCluster) -> Counter[str]:
    counts: Counter[str] = Counter()
    for server_id in cluster.server_by_id:
        log = cluster.execution_log(server_id)
        lines = log.read_text().splitlines() if log.exists() else []
        counts[server_id] = sum(json.loads(line)["ending"] == "completed" for line in lines)
    return counts
