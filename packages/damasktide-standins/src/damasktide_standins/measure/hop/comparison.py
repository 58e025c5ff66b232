"""Compares the router with the bare hop in the same deployment."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from statistics import median

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.cluster.ports import free_ports
from damasktide_standins.cluster.processes import ChildProcess
from damasktide_standins.measure.layouts import HOP_LAYOUT
from damasktide_standins.measure.loads import LoadPlan, run_load
from damasktide_standins.measure.machine import load_average, processor_s
from damasktide_standins.measure.snapshots import INSTRUMENTED, new_samples, take_snapshot

PATH = "batch-desk/recipes"
LOAD_PROCESSES = 4
_LATENCY_SEED_OFFSET = 1000


@dataclass(frozen=True, slots=True)
class HopRun:
    """Results of one repeat.

    Attributes
    ----------
    bare_per_s, router_per_s
        Throughput when saturated, in responses with status 200 per second.
    bare_us, router_us
        Processor time per request in the measured process, in microseconds.
    bare_p99_ms, router_p99_ms
        99th percentile of the latency at half of the router's saturated throughput.
    bare_p50_ms, router_p50_ms
        Median latency at the same rate.
    router_success
        Share of the router's responses that have status 200 when saturated.
    load
        Load average before the repeat.
    """

    bare_per_s: float
    router_per_s: float
    bare_us: float
    router_us: float
    bare_p99_ms: float
    router_p99_ms: float
    bare_p50_ms: float
    router_p50_ms: float
    router_success: float
    load: float


def compare(repeats: int) -> Iterator[HopRun]:
    """Yield the results of each repeat; all repeats share a deployment."""
    with LocalCluster(HOP_LAYOUT) as cluster:
        bare = _start_bare(cluster)
        try:
            for repeat in range(repeats):
                yield _compare_once(cluster, bare, repeat)
        finally:
            bare[0].terminate()


def _start_bare(cluster: LocalCluster) -> tuple[ChildProcess, str]:
    port = free_ports(1)[0]
    arguments = ["--port", str(port)]
    for node in cluster.server_by_id.values():
        arguments += ["--target", f"127.0.0.1:{node.port}"]
    module = "damasktide_standins.measure.bare_hop"
    process = ChildProcess("bare-hop", module, arguments, cluster.path)
    return process, f"http://127.0.0.1:{port}/{PATH}"


def _compare_once(cluster: LocalCluster, bare: tuple[ChildProcess, str], repeat: int) -> HopRun:
    load = load_average()
    router_name = next(iter(cluster.instance_by_name))
    router_url = f"{cluster.instance_by_name[router_name].url}/{PATH}"
    seed = 10 * repeat + 1
    bare_per_s, bare_us, _ = _saturate(cluster, bare[0].pid, bare[1], seed)
    router_pid = cluster.process_by_name[router_name].pid
    router_per_s, router_us, success_share = _saturate(cluster, router_pid, router_url, seed)
    bare_result, router_result = (
        run_load(
            cluster, LoadPlan((url,), 4, _LATENCY_SEED_OFFSET + seed, rate_per_s=router_per_s / 2)
        )
        for url in (bare[1], router_url)
    )
    return HopRun(
        bare_per_s=bare_per_s,
        router_per_s=router_per_s,
        bare_us=bare_us,
        router_us=router_us,
        bare_p99_ms=bare_result.quantile_ms(0.99),
        router_p99_ms=router_result.quantile_ms(0.99),
        bare_p50_ms=bare_result.quantile_ms(0.5),
        router_p50_ms=router_result.quantile_ms(0.5),
        router_success=success_share,
        load=load,
    )


def _saturate(cluster: LocalCluster, pid: int, url: str, seed: int) -> tuple[float, float, float]:
    """Return served requests per second, processor microseconds per request, success share."""
    plan = LoadPlan((url,), LOAD_PROCESSES, seed)
    before = processor_s(pid)
    result = run_load(cluster, plan)
    # The processor time includes the warm-up, so the requests of the warm-up are added.
    requests = result.served_per_s * (plan.warm_up_s + plan.seconds)
    return result.served_per_s, (processor_s(pid) - before) / requests * 1e6, result.success_share


def profile() -> tuple[int, Counter[str], Counter[str]]:
    """Profile the router: return number of samples, inclusive and own counts by function."""
    with LocalCluster(HOP_LAYOUT, INSTRUMENTED) as cluster:
        name = next(iter(cluster.instance_by_name))
        before = take_snapshot(cluster, name)
        url = f"{cluster.instance_by_name[name].url}/{PATH}"
        run_load(cluster, LoadPlan((url,), LOAD_PROCESSES, 1))
        samples = list(new_samples(before, take_snapshot(cluster, name)))
    inclusive: Counter[str] = Counter()
    own: Counter[str] = Counter()
    for count, stack in samples:
        own[stack[0]] += count
        inclusive.update(dict.fromkeys(stack, count))
    return sum(count for count, _ in samples), inclusive, own


def median_and_range(runs: list[HopRun], name: str) -> tuple[float, float, float]:
    """Return the median, minimum and maximum of a field."""
    values = [getattr(run, name) for run in runs]
    return median(values), min(values), max(values)
