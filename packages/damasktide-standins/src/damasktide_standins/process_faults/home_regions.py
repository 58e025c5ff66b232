"""Checks that requests with home regions are served, forwarded and stored only there."""

import time
from collections.abc import Iterator

from gevent.pool import Pool

from damasktide.ownership.shards import key_hash
from damasktide.store.asking import ask_store
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.messages import ReadRow
from damasktide.store.store_task import StoreTask
from damasktide_standins.cluster.client import CallerResponse, Client
from damasktide_standins.cluster.layout import TOKEN
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.controls import RECOVERY_TIMEOUT_S
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.registry import TWO_REGIONS, CheckResult, scenario

HOME_REGION = "oyo"
REQUESTS = 12
SEQUENTIAL = 1
TIMEOUT_MS = 3000
REFUSALS_WITHOUT_SERVERS = {"region_unavailable", "no_owner"}


class HomeCaller:
    """Sends bookings with a home region; their keys and request ids contain a marker.

    Parameters
    ----------
    cluster
        Deployment to call.
    """

    def __init__(self, cluster: LocalCluster) -> None:
        self.marker = f"home-{time.time_ns()}"
        self.keys: set[str] = set()
        self._client = Client(cluster.http, TOKEN)
        self._urls = [node.url for node in cluster.instance_by_name.values()]
        self._service = cluster.layout.services[0]
        self._sent = 0

    def send(
        self, prefix: str, count: int = REQUESTS, concurrency: int = REQUESTS
    ) -> list[CallerResponse]:
        """Send ``count`` bookings over all instances, ``concurrency`` at a time."""
        numbers = range(self._sent, self._sent + count)
        self._sent += count
        return list(Pool(concurrency).map(lambda number: self._book(prefix, number), numbers))

    def _book(self, prefix: str, number: int) -> CallerResponse:
        key = f"{prefix}{self.marker}-{number}"
        self.keys.add(key)
        url = self._urls[number % len(self._urls)]
        path = f"{url}/{self._service.name}/{self._service.keyed_operation}/{key}"
        headers = {"Damasktide-Home-Regions": HOME_REGION}
        request_id = f"{self.marker}-{number}"
        return self._client.call("POST", path, request_id, 1, TIMEOUT_MS, headers)


@scenario("home region served and lost", 5, 7, layout=TWO_REGIONS)
def home_region(cluster: LocalCluster, _callers: Callers) -> CheckResult:
    """Book with a home region, also after its servers are lost; nothing leaves the region."""
    return _serve_then_lose_servers(cluster, SEQUENTIAL)


@scenario("home region lost, bookings at once", 5, 7, layout=TWO_REGIONS)
def home_region_concurrent(cluster: LocalCluster, _callers: Callers) -> CheckResult:
    """Lose the servers and send all bookings concurrently; the refusals must be the same."""
    return _serve_then_lose_servers(cluster, REQUESTS)


def _serve_then_lose_servers(cluster: LocalCluster, concurrency: int) -> CheckResult:
    caller = HomeCaller(cluster)
    problems = [*_not_served(caller.send(f"{HOME_REGION}:"))]
    problems += _unexpected_refusals(caller.send(""))
    lost = [node.server_id for node in cluster.server_by_id.values() if node.region == HOME_REGION]
    for server_id in lost:
        cluster.process_by_name[server_id].kill()
    without_servers = caller.send(f"{HOME_REGION}:", concurrency=concurrency)
    problems += _unexpected_refusals(without_servers)
    problems += (
        [f"{_count_served(without_servers)} requests were served without servers in the region"]
        if _count_served(without_servers)
        else []
    )
    for server_id in lost:
        cluster.start_server(server_id)
    cluster.wait_until(
        lambda: _count_served(caller.send(f"{HOME_REGION}:", 4)) == 4,
        RECOVERY_TIMEOUT_S,
        "home region",
    )
    problems += [
        *_executions_outside_home(cluster, caller),
        *_traces_outside_home(cluster, caller),
    ]
    return CheckResult(
        tuple(problems), {"refused": len(without_servers) - _count_served(without_servers)}
    )


def _count_served(responses: list[CallerResponse]) -> int:
    return sum(response.status == 200 for response in responses)


def _not_served(responses: list[CallerResponse]) -> Iterator[str]:
    for response in responses:
        if response.status != 200:
            yield f"refused while all servers were running: {response.status} {response.body!r}"


def _unexpected_refusals(responses: list[CallerResponse]) -> Iterator[str]:
    for response in responses:
        document = response.json()
        is_expected = document.get("code") in REFUSALS_WITHOUT_SERVERS and document["not_run"]
        if response.status != 200 and not is_expected:
            yield f"unexpected refusal: {response.status} {response.body!r}"


def _executions_outside_home(cluster: LocalCluster, caller: HomeCaller) -> Iterator[str]:
    for line in cluster.executions():
        region = cluster.server_by_id[str(line["server_id"])].region
        if caller.marker in str(line["request_id"]) and region != HOME_REGION:
            yield f"{line['request_id']} ran on {line['server_id']}"


def _traces_outside_home(cluster: LocalCluster, caller: HomeCaller) -> Iterator[str]:
    texts = {
        name: cluster.process_by_name[name].log_path.read_text()
        for name in _processes_outside_home(cluster)
    }
    texts["table row"] = _ownership_row(cluster)
    hashes = {str(key_hash(key)) for key in caller.keys}
    for name, text in texts.items():
        if caller.marker in text or any(number in text for number in hashes):
            yield f"{name} contains a key, a request id or the hash of a key"


def _processes_outside_home(cluster: LocalCluster) -> Iterator[str]:
    yield "platform"
    region_by_domain = cluster.layout.region_by_domain
    for name, instance in cluster.instance_by_name.items():
        if region_by_domain[instance.domain] != HOME_REGION:
            yield name
    for server_id, server in cluster.server_by_id.items():
        if server.region != HOME_REGION:
            yield server_id


def _ownership_row(cluster: LocalCluster) -> str:
    url = f"http://127.0.0.1:{cluster.platform_port}"
    store = StoreTask(StoreEndpoints(url, url))
    store.start()
    try:
        read = ask_store(store, ReadRow(f"ownership/{cluster.layout.services[0].name}"))
    finally:
        store.stop()
    return str(read.unwrap().row.body)
