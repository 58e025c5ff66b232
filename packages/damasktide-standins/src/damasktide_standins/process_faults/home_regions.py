"""Requests with home regions are served, sent and stored only there."""

import time
from collections.abc import Iterator

from gevent.pool import Pool

from damasktide.ownership.shards import key_hash
from damasktide.store.asking import ask_store
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.messages import ReadRow
from damasktide.store.store_task import StoreTask
from damasktide_standins.cluster.client import CallerAnswer, Client
from damasktide_standins.cluster.layout import TOKEN
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.controls import NEVER_S
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.registry import TWO_REGIONS, Findings, scenario

HOME = "oyo"
REQUESTS = 12
ONE_BY_ONE = 1
TIMEOUT_MS = 3000
REFUSALS_WITHOUT_SERVERS = {"region_unavailable", "no_owner"}


class HomeCaller:
    """Sends bookings with a home region; keys and request ids carry a marker.

    Parameters
    ----------
    cluster
        Deployment that is called.
    """

    def __init__(self, cluster: LocalCluster) -> None:
        self.marker = f"home-{time.time_ns()}"
        self.keys: set[str] = set()
        self._client = Client(cluster.http, TOKEN)
        self._urls = [node.url for node in cluster.instance_by_name.values()]
        self._service = cluster.layout.services[0]
        self._sent = 0

    def send(
        self, prefix: str, count: int = REQUESTS, at_once: int = REQUESTS
    ) -> list[CallerAnswer]:
        """Send ``count`` bookings over all instances, ``at_once`` in parallel."""
        numbers = range(self._sent, self._sent + count)
        self._sent += count
        return list(Pool(at_once).map(lambda number: self._book(prefix, number), numbers))

    def _book(self, prefix: str, number: int) -> CallerAnswer:
        key = f"{prefix}{self.marker}-{number}"
        self.keys.add(key)
        url = self._urls[number % len(self._urls)]
        path = f"{url}/{self._service.name}/{self._service.keyed_operation}/{key}"
        headers = {"Damasktide-Home-Regions": HOME}
        request_id = f"{self.marker}-{number}"
        return self._client.call("POST", path, request_id, 1, TIMEOUT_MS, headers)


@scenario("home region served and lost", 5, 7, layout=TWO_REGIONS)
def home_region(cluster: LocalCluster, _callers: Callers) -> Findings:
    """Book with a home region, also while its servers are lost; nothing leaves the region."""
    return _serve_and_lose(cluster, ONE_BY_ONE)


@scenario("home region lost, bookings at once", 5, 7, layout=TWO_REGIONS)
def home_region_at_once(cluster: LocalCluster, _callers: Callers) -> Findings:
    """Send the bookings without servers all at once; the reason must not change."""
    return _serve_and_lose(cluster, REQUESTS)


def _serve_and_lose(cluster: LocalCluster, at_once: int) -> Findings:
    caller = HomeCaller(cluster)
    problems = [*_unserved(caller.send(f"{HOME}:"))]
    problems += _wrongly_refused(caller.send(""))
    lost = [node.server_id for node in cluster.server_by_id.values() if node.region == HOME]
    for server_id in lost:
        cluster.process_by_name[server_id].kill()
    during = caller.send(f"{HOME}:", at_once=at_once)
    problems += _wrongly_refused(during)
    problems += [f"{_ran(during)} requests were served without servers"] if _ran(during) else []
    for server_id in lost:
        cluster.start_server(server_id)
    cluster.wait_until(lambda: _ran(caller.send(f"{HOME}:", 4)) == 4, NEVER_S, "home region")
    problems += [*_executed_elsewhere(cluster, caller), *_traces_elsewhere(cluster, caller)]
    return Findings(tuple(problems), {"refused": len(during) - _ran(during)})


def _ran(answers: list[CallerAnswer]) -> int:
    return sum(answer.status == 200 for answer in answers)


def _unserved(answers: list[CallerAnswer]) -> Iterator[str]:
    for answer in answers:
        if answer.status != 200:
            yield f"refused while all servers lived: {answer.status} {answer.body!r}"


def _wrongly_refused(answers: list[CallerAnswer]) -> Iterator[str]:
    for answer in answers:
        document = answer.json()
        is_expected = document.get("code") in REFUSALS_WITHOUT_SERVERS and document["not_run"]
        if answer.status != 200 and not is_expected:
            yield f"unexpected refusal: {answer.status} {answer.body!r}"


def _executed_elsewhere(cluster: LocalCluster, caller: HomeCaller) -> Iterator[str]:
    for line in cluster.executions():
        region = cluster.server_by_id[str(line["server_id"])].region
        if caller.marker in str(line["request_id"]) and region != HOME:
            yield f"{line['request_id']} ran on {line['server_id']}"


def _traces_elsewhere(cluster: LocalCluster, caller: HomeCaller) -> Iterator[str]:
    texts = {name: cluster.process_by_name[name].log_path.read_text() for name in _others(cluster)}
    texts["table row"] = _ownership_row(cluster)
    hashes = {str(key_hash(key)) for key in caller.keys}
    for name, text in texts.items():
        if caller.marker in text or any(number in text for number in hashes):
            yield f"{name} contains a key, a request id or the hash of a key"


def _others(cluster: LocalCluster) -> Iterator[str]:
    yield "platform"
    region_by_domain = cluster.layout.region_by_domain
    for name, instance in cluster.instance_by_name.items():
        if region_by_domain[instance.domain] != HOME:
            yield name
    for server_id, server in cluster.server_by_id.items():
        if server.region != HOME:
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
