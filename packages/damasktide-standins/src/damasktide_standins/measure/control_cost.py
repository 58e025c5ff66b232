"""Processor time, memory and traffic of the control plane of idle entry instances."""

import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from statistics import fmean, median

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.measure.layouts import control_layout
from damasktide_standins.measure.machine import load_average, processor_s, resident_mb
from damasktide_standins.measure.shutdown import kill_instances
from damasktide_standins.measure.snapshots import INSTRUMENTED, bytes_per_s, take_snapshot

INSTANCES = (2, 4, 9, 16)
WARM_UP_S = 6.0
MEASURED_S = 10.0
_IMPORTS = "import gevent.monkey; gevent.monkey.patch_all(); import damasktide.cli, time; "
_PRINT_RESIDENT_PAGES = (
    "from pathlib import Path; print(Path('/proc/self/statm').read_text().split()[1])"
)


@dataclass(frozen=True, slots=True)
class ControlCost:
    """Control-plane cost per idle instance, over all instances of a deployment.

    Attributes
    ----------
    instances
        Number of instances.
    core_percent, worst_core_percent
        Processor time in percent of a core; mean and maximum over the instances.
    resident_mb
        Resident memory in MB; median over the instances.
    sent_kb_s, received_kb_s
        TCP and UDP payload in KB/s; mean over the instances.
    worst_sent_kb_s
        Sent payload in KB/s; maximum over the instances.
    load
        Load average before the run.
    """

    instances: int
    core_percent: float
    worst_core_percent: float
    resident_mb: float
    sent_kb_s: float
    received_kb_s: float
    worst_sent_kb_s: float
    load: float


def measure_control(instances: int) -> ControlCost:
    """Measure time and memory of plain processes, then the traffic of instrumented ones."""
    load = load_average()
    layout = control_layout(instances)
    with LocalCluster(layout) as cluster:
        core_percents, memories_mb = _measure_time_and_memory(cluster)
        kill_instances(cluster)
    with LocalCluster(layout, INSTRUMENTED) as cluster:
        sent_kb_s, received_kb_s = _measure_traffic(cluster)
        kill_instances(cluster)
    return ControlCost(
        instances=instances,
        core_percent=fmean(core_percents),
        worst_core_percent=max(core_percents),
        resident_mb=median(memories_mb),
        sent_kb_s=fmean(sent_kb_s),
        received_kb_s=fmean(received_kb_s),
        worst_sent_kb_s=max(sent_kb_s),
        load=load,
    )


def bare_interpreter_mb() -> float:
    """Return the resident memory of an interpreter that has only imported damasktide."""
    command = [sys.executable, "-c", _IMPORTS + _PRINT_RESIDENT_PAGES]
    pages = int(subprocess.run(command, capture_output=True, check=True, text=True).stdout)
    return pages * 4096 / 1e6


def _measure_time_and_memory(cluster: LocalCluster) -> tuple[list[float], list[float]]:
    time.sleep(WARM_UP_S)
    pids = [cluster.process_by_name[name].pid for name in cluster.instance_by_name]
    before = [processor_s(pid) for pid in pids]
    started_at = time.monotonic()
    time.sleep(MEASURED_S)
    elapsed_s = time.monotonic() - started_at
    core_percents = [
        100 * (processor_s(pid) - start) / elapsed_s
        for pid, start in zip(pids, before, strict=True)
    ]
    return core_percents, [resident_mb(pid) for pid in pids]


def _measure_traffic(cluster: LocalCluster) -> tuple[list[float], list[float]]:
    time.sleep(WARM_UP_S)
    names = list(cluster.instance_by_name)
    before = {name: take_snapshot(cluster, name) for name in names}
    time.sleep(MEASURED_S)
    rates = [bytes_per_s(before[name], take_snapshot(cluster, name)) for name in names]
    return (
        [(rate.get("tcp_out", 0) + rate.get("udp_out", 0)) / 1000 for rate in rates],
        [(rate.get("tcp_in", 0) + rate.get("udp_in", 0)) / 1000 for rate in rates],
    )


def control_costs(report: Callable[[str], None]) -> Iterator[ControlCost]:
    """Report and yield the cost for each number of instances."""
    for instances in INSTANCES:
        cost = measure_control(instances)
        report(
            f"{instances:3} instances: core {cost.core_percent:.2f}% (max "
            f"{cost.worst_core_percent:.2f}%), {cost.resident_mb:.1f} MB, sent "
            f"{cost.sent_kb_s:.2f} KB/s (max {cost.worst_sent_kb_s:.2f}), received "
            f"{cost.received_kb_s:.2f} KB/s; load {cost.load:.1f}"
        )
        yield cost
