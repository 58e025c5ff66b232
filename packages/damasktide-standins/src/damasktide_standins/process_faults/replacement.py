"""Instances that are replaced, and gatekeepers that are lost while they run a booking."""

import time
import uuid
from itertools import cycle

import gevent
from gevent.pool import Pool

from damasktide_standins.balancer.proxy import Balancer, Endpoint
from damasktide_standins.cluster.client import NO_ANSWER, NOT_CONNECTED, CallerAnswer, Client
from damasktide_standins.cluster.layout import TOKEN
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.controls import NEVER_S, set_server_fault
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.registry import Findings, scenario

SLOW_FACTOR = 200.0
BOOKINGS = 24


@scenario("rolling replacement", 8, 10)
def rolling_replacement(cluster: LocalCluster, callers: Callers) -> Findings:
    """Replace all instances in turn while callers go through the load balancer."""
    nodes = cluster.instance_by_name.values()
    balancer = Balancer(tuple(Endpoint("127.0.0.1", node.http_port) for node in nodes))
    balancer.start()
    direct = callers.urls
    try:
        gevent.sleep(1.0)
        callers.urls = [f"http://127.0.0.1:{balancer.port}"]
        # Connections that go past the balancer would be cut by no fault of the instance.
        gevent.sleep(1.0)
        before = callers.record.no_answers
        refused_before = callers.record.refusals["draining"]
        codes = [_replace(cluster, name) for name in cluster.instance_by_name]
        cut = callers.record.no_answers - before
        refused = callers.record.refusals["draining"] - refused_before
    finally:
        callers.urls = direct
        gevent.sleep(1.0)
        balancer.stop()
    problems = [f"exit codes {codes}"] if any(codes) else []
    problems += [f"{cut} requests got no answer"] if cut else []
    # The balancer has 2 s to learn of a drain, so a refusal depends on its speed.
    late = (f"{refused} requests were refused as draining",) if refused else ()
    return Findings(tuple(problems), {"cut": cut, "refused": refused}, late)


def _replace(cluster: LocalCluster, name: str) -> int:
    exit_code = cluster.process_by_name[name].terminate(timeout_s=NEVER_S)
    cluster.start_instance(name)
    cluster.wait_until(lambda: cluster.is_ready(name), NEVER_S, name)
    # The platform replaces the next one once the balancer knows that this one is ready.
    gevent.sleep(1.0)
    return exit_code


@scenario("gatekeeper killed while it runs bookings", 7, 8)
def gatekeeper_killed(cluster: LocalCluster, callers: Callers) -> Findings:
    """Kill an instance while its bookings run; repeats elsewhere must not run again."""
    name = list(cluster.instance_by_name)[1]
    lost_url = cluster.instance_by_name[name].url
    direct = callers.urls
    callers.urls = [url for url in direct if url != lost_url]
    _slow(cluster, SLOW_FACTOR)
    client = Client(cluster.http, TOKEN)
    ids = [uuid.uuid4().hex for _ in range(BOOKINGS)]
    first = [gevent.spawn(_book, cluster, client, lost_url, request_id, 1) for request_id in ids]
    gevent.sleep(0.3)
    cluster.process_by_name[name].kill()
    cut = [job.get().status == NO_ANSWER for job in first]
    _slow(cluster, 1.0)
    urls = callers.urls
    repeats = Pool(BOOKINGS).map(lambda item: _repeat(cluster, client, urls, item), ids)
    cluster.start_instance(name)
    cluster.wait_until(lambda: cluster.is_ready(name), NEVER_S, name)
    callers.urls = direct
    problems = [] if any(cut) else ["no booking was cut by the loss"]
    problems += [f"unexpected {a.status} {a.body!r}" for a in repeats if _is_not_run(a)]
    return Findings(tuple(problems), {"cut": sum(cut)})


def _repeat(
    cluster: LocalCluster, client: Client, urls: list[str], request_id: str
) -> CallerAnswer:
    """Repeat through the other instances until one knows more than "not run"."""
    until = time.monotonic() + NEVER_S
    for url in cycle(urls):
        answer = _book(cluster, client, url, request_id, 2)
        if not _is_not_run(answer) or time.monotonic() > until:
            break
        gevent.sleep(0.2)
    return answer


def _is_not_run(answer: CallerAnswer) -> bool:
    is_sent = answer.status not in (NO_ANSWER, NOT_CONNECTED)
    return not is_sent or bool(answer.json().get("not_run"))


def _book(
    cluster: LocalCluster, client: Client, url: str, request_id: str, attempt: int
) -> CallerAnswer:
    service = cluster.layout.services[0]
    path = f"{url}/{service.name}/{service.keyed_operation}/gate-{request_id}"
    return client.call("POST", path, request_id, attempt, 3000)


def _slow(cluster: LocalCluster, factor: float) -> None:
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "slow", factor=factor)
