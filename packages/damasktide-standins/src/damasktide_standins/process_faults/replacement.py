"""Replacement of instances, and loss of a deduplicator while its bookings run."""

import time
import uuid
from itertools import cycle

import gevent
from gevent.pool import Pool

from damasktide_standins.balancer.proxy import Endpoint, TcpLoadBalancer
from damasktide_standins.cluster.client import NO_RESPONSE, NOT_CONNECTED, CallerResponse, Client
from damasktide_standins.cluster.layout import TOKEN
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.controls import RECOVERY_TIMEOUT_S, set_server_fault
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.registry import CheckResult, scenario

SLOW_FACTOR = 200.0
BOOKINGS = 24


@scenario("rolling replacement", 8, 10)
def rolling_replacement(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Replace all instances in turn while callers use the load balancer."""
    nodes = cluster.instance_by_name.values()
    balancer = TcpLoadBalancer(tuple(Endpoint("127.0.0.1", node.http_port) for node in nodes))
    balancer.start()
    instance_urls = callers.urls
    try:
        gevent.sleep(1.0)
        callers.urls = [f"http://127.0.0.1:{balancer.port}"]
        # Wait until requests in flight to the instances have ended: these bypass the balancer,
        # so their loss would not be a fault of the instance.
        gevent.sleep(1.0)
        before = callers.record.unanswered
        refused_before = callers.record.refusals["draining"]
        codes = [_replace(cluster, name) for name in cluster.instance_by_name]
        cut = callers.record.unanswered - before
        refused = callers.record.refusals["draining"] - refused_before
    finally:
        callers.urls = instance_urls
        gevent.sleep(1.0)
        balancer.stop()
    problems = [f"exit codes {codes}"] if any(codes) else []
    problems += [f"{cut} requests got no response"] if cut else []
    # The balancer has 2 s to notice a drain, so a refusal depends on how fast it is.
    exceeded_limits = (f"{refused} requests were refused as draining",) if refused else ()
    return CheckResult(tuple(problems), {"cut": cut, "refused": refused}, exceeded_limits)


def _replace(cluster: LocalCluster, name: str) -> int:
    exit_code = cluster.process_by_name[name].terminate(timeout_s=RECOVERY_TIMEOUT_S)
    cluster.start_instance(name)
    cluster.wait_until(lambda: cluster.is_ready(name), RECOVERY_TIMEOUT_S, name)
    # The platform replaces the next instance once the balancer has noticed that this one is
    # ready.
    gevent.sleep(1.0)
    return exit_code


@scenario("gatekeeper killed while it runs bookings", 7, 8)
def deduplicator_killed(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Kill an instance while its bookings run; repeats through others must not run again."""
    name = list(cluster.instance_by_name)[1]
    lost_url = cluster.instance_by_name[name].url
    instance_urls = callers.urls
    callers.urls = [url for url in instance_urls if url != lost_url]
    _set_slow_factor(cluster, SLOW_FACTOR)
    client = Client(cluster.http, TOKEN)
    request_ids = [uuid.uuid4().hex for _ in range(BOOKINGS)]
    first_attempts = [
        gevent.spawn(_book, cluster, client, lost_url, request_id, 1) for request_id in request_ids
    ]
    gevent.sleep(0.3)
    cluster.process_by_name[name].kill()
    cut = [job.get().status == NO_RESPONSE for job in first_attempts]
    _set_slow_factor(cluster, 1.0)
    urls = callers.urls
    repeats = Pool(BOOKINGS).map(
        lambda request_id: _repeat(cluster, client, urls, request_id), request_ids
    )
    cluster.start_instance(name)
    cluster.wait_until(lambda: cluster.is_ready(name), RECOVERY_TIMEOUT_S, name)
    callers.urls = instance_urls
    problems = [] if any(cut) else ["no booking was in flight when the instance was killed"]
    problems += [
        f"unexpected {response.status} {response.body!r}"
        for response in repeats
        if _is_not_run(response)
    ]
    return CheckResult(tuple(problems), {"cut": sum(cut)})


def _repeat(
    cluster: LocalCluster, client: Client, urls: list[str], request_id: str
) -> CallerResponse:
    """Repeat through the other instances until one responds other than "not run"."""
    until = time.monotonic() + RECOVERY_TIMEOUT_S
    for url in cycle(urls):
        response = _book(cluster, client, url, request_id, 2)
        if not _is_not_run(response) or time.monotonic() > until:
            break
        gevent.sleep(0.2)
    return response


def _is_not_run(response: CallerResponse) -> bool:
    has_outcome = response.status not in (NO_RESPONSE, NOT_CONNECTED)
    return not has_outcome or bool(response.json().get("not_run"))


def _book(
    cluster: LocalCluster, client: Client, url: str, request_id: str, attempt: int
) -> CallerResponse:
    service = cluster.layout.services[0]
    path = f"{url}/{service.name}/{service.keyed_operation}/gate-{request_id}"
    return client.call("POST", path, request_id, attempt, 3000)


def _set_slow_factor(cluster: LocalCluster, factor: float) -> None:
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "slow", factor=factor)
