"""Ratio of the shards that move to the minimum that has to move."""

import json
import time
from collections.abc import Callable, Iterator
from http import HTTPStatus

import gevent

from damasktide.catalog.changes import Change
from damasktide_standins.cluster.lists import apply_configuration_change
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.measure.maps import MapWatch
from damasktide_standins.measure.registry import DesignTarget, Sample, measures

MAX_CHURN = DesignTarget(1.1)


@measures.register("churn: server leaves and returns")
def server_churn(cluster: LocalCluster, seed: int) -> Iterator[Sample]:
    """Mark one server as leaving in the live list, then as live again."""
    servers = [n for n in cluster.server_by_id if n.startswith(cluster.layout.services[0].name)]
    removed = servers[seed % len(servers)]
    yield from _measure_churn(
        cluster,
        {removed},
        "one server",
        lambda: _set_state(cluster, removed, "leaving"),
        lambda: _set_state(cluster, removed, "live"),
    )


@measures.register("churn: failure domain leaves and returns")
def domain_churn(cluster: LocalCluster, seed: int) -> Iterator[Sample]:
    """Take a failure domain out of service and back into service."""
    domains = list(cluster.layout.region_by_domain)
    domain = domains[seed % len(domains)]
    removed = {name for name, node in cluster.server_by_id.items() if node.domain == domain}
    yield from _measure_churn(
        cluster,
        removed,
        "failure domain",
        lambda: change_domain(cluster, "domain-out", domain),
        lambda: change_domain(cluster, "domain-in", domain),
    )


def change_domain(cluster: LocalCluster, edit: str, domain: str) -> None:
    """Apply ``edit``, "domain-out" or "domain-in", to a failure domain."""
    url = f"http://127.0.0.1:{cluster.platform_port}"
    apply_configuration_change(url, Change("measure", f"{edit}-{time.time_ns()}", edit, domain))


def _measure_churn(
    cluster: LocalCluster,
    removed: set[str],
    name: str,
    leave: Callable[[], None],
    rejoin: Callable[[], None],
) -> Iterator[Sample]:
    watch = MapWatch(cluster, cluster.layout.services[0].name)
    try:
        min_moves = sum(watch.count_by_server()[server_id] for server_id in removed)
        leave()
        watch.settle()
        yield Sample(f"churn, {name} leaves", watch.moves / max(1, min_moves), "ratio", MAX_CHURN)
        watch.moves = 0
        rejoin()
        gevent.sleep(0.5)
        watch.settle()
        # At least the shards that the returned servers own now had to move.
        min_moves = sum(watch.count_by_server()[server_id] for server_id in removed)
        yield Sample(f"churn, {name} returns", watch.moves / max(1, min_moves), "ratio", MAX_CHURN)
    finally:
        watch.close()


def _set_state(cluster: LocalCluster, server_id: str, state: str) -> None:
    url = f"http://127.0.0.1:{cluster.platform_port}/instances"
    document = cluster.http.request("GET", url).json()
    for entry in document["instances"]:
        if entry["server_id"] == server_id:
            entry["state"] = state
    headers = {"Content-Type": "application/json"}
    response = cluster.http.request("PUT", url, body=json.dumps(document), headers=headers)
    if response.status != HTTPStatus.OK:
        raise RuntimeError(f"the live list was not changed: status {response.status}")
