"""Responses that arrive after the caller's deadline."""

import uuid

import gevent
from gevent.pool import Pool

from damasktide_standins.cluster.client import CallerResponse, Client
from damasktide_standins.cluster.layout import TOKEN
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.controls import set_server_fault
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.registry import CheckResult, scenario

SLOW_FACTOR = 100.0
SHORT_TIMEOUT_MS = 120
TIMEOUT_MS = 3000
REQUESTS = 40
CROSSED_RESPONSES = 2


@scenario("answers late and crossed", 6, 8)
def late_responses(cluster: LocalCluster, _callers: Callers) -> CheckResult:
    """Delay responses past the deadline and swap some, then call again at once."""
    client = Client(cluster.http, TOKEN)
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "slow", factor=SLOW_FACTOR)
        set_server_fault(cluster, server_id, "cross", count=CROSSED_RESPONSES)
    late = _send(cluster, client, SHORT_TIMEOUT_MS)
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "slow", factor=1.0)
    # The late responses arrive while these requests use the same connections.
    after = _send(cluster, client, TIMEOUT_MS)
    gevent.sleep(0.5)
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "clear")
    missed_deadline = sum(response.status != 200 for _, response in late)
    problems = [line for sent, response in (*late, *after) for line in _mismatches(sent, response)]
    problems += [] if missed_deadline else ["no response was late"]
    return CheckResult(tuple(problems), {"late": missed_deadline})


def _send(
    cluster: LocalCluster, client: Client, timeout_ms: int
) -> list[tuple[str, CallerResponse]]:
    service = cluster.layout.services[0]
    urls = [node.url for node in cluster.instance_by_name.values()]

    def call(number: int) -> tuple[str, CallerResponse]:
        request_id = uuid.uuid4().hex
        url = f"{urls[number % len(urls)]}/{service.name}"
        # Reads may run twice, so they are sent without a key: the observer counts only the
        # executions of keyed requests.
        if number % 2:
            path = f"{url}/{service.unkeyed_operation}"
            return request_id, client.call("GET", path, request_id, 1, timeout_ms)
        path = f"{url}/{service.keyed_operation}/late-{number}"
        return request_id, client.call("POST", path, request_id, 1, timeout_ms)

    return list(Pool(REQUESTS).map(call, range(REQUESTS)))


def _mismatches(sent: str, response: CallerResponse) -> list[str]:
    if response.status == 200 and response.json().get("request_id") != sent:
        return [f"caller of {sent} got {response.body!r}"]
    return []
