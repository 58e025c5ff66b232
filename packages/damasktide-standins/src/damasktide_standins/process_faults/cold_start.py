"""Backend servers that restart cold without notice, under load."""

import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

import gevent
from gevent.event import Event

from damasktide_standins.cluster.client import Client
from damasktide_standins.cluster.layout import TOKEN
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.controls import owner_of, set_server_fault
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.registry import CheckResult, scenario

COLD_S = 5.0
COLD_FACTOR = 4.0
READING_CALLERS = 24


@scenario("cold start without notice", 3)
def cold_server(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Restart the owner of a key cold while many callers read."""
    return _restart_cold(cluster, [owner_of(cluster, callers.keys[5])])


@scenario("failure domain comes back cold", 3)
def cold_domain(cluster: LocalCluster, _callers: Callers) -> CheckResult:
    """Restart all servers of a failure domain cold at the same time."""
    domain = next(iter(cluster.layout.region_by_domain))
    return _restart_cold(
        cluster, [n.server_id for n in cluster.server_by_id.values() if n.domain == domain]
    )


def _restart_cold(cluster: LocalCluster, server_ids: Sequence[str]) -> CheckResult:
    with _reading_continuously(cluster):
        gevent.sleep(1.0)
        for server_id in server_ids:
            set_server_fault(cluster, server_id, "cold_start", for_s=COLD_S, factor=COLD_FACTOR)
        boot_id_by_server = {server_id: _boot_id(cluster, server_id) for server_id in server_ids}
        until = time.time() + COLD_S
        collapses = 0
        while time.time() < until:
            gevent.sleep(0.1)
            for server_id in server_ids:
                boot_id = _boot_id(cluster, server_id)
                # A server that collapses under load restarts, with a new boot id.
                collapses += boot_id != boot_id_by_server[server_id]
                boot_id_by_server[server_id] = boot_id
    problems = (f"{collapses} collapses of cold servers",) if collapses else ()
    for server_id in server_ids:
        set_server_fault(cluster, server_id, "clear")
    return CheckResult(problems, {"collapses": collapses})


def _boot_id(cluster: LocalCluster, server_id: str) -> str:
    node = cluster.server_by_id[server_id]
    url = f"http://127.0.0.1:{node.port}/damasktide/grants/{node.service}"
    return str(cluster.http.request("GET", url).json()["boot_id"])


@contextmanager
def _reading_continuously(cluster: LocalCluster) -> Iterator[None]:
    """Send reads to all instances without a break while the context is active."""
    client = Client(cluster.http, TOKEN)
    service = cluster.layout.services[0]
    urls = [node.url for node in cluster.instance_by_name.values()]
    stopped = Event()

    def read(url: str) -> None:
        while not stopped.is_set():
            client.call("GET", f"{url}/{service.name}/{service.unkeyed_operation}")
            gevent.sleep(0.005)

    greenlets = [gevent.spawn(read, urls[number % len(urls)]) for number in range(READING_CALLERS)]
    try:
        yield
    finally:
        stopped.set()
        gevent.joinall(greenlets)
