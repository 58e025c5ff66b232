"""Losses and freezes of servers, instances and the store."""

import signal
import time

import gevent

from damasktide.catalog.changes import Change
from damasktide_standins.cluster.lists import change_document
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.controls import (
    SERVED_AGAIN_WITHIN_S,
    owner_of,
    probing,
    recovery,
    set_platform_faults,
    set_server_fault,
)
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.observer import longest_gap_s
from damasktide_standins.process_faults.registry import Findings, scenario

NO_NEW_WORK_AFTER_S = 5.0
SERVED_DURING_OUTAGE_S = 1.0

# An instance or a server that is frozen this long has lost its rights and grants.
FREEZE_S = 2.5
SLOW_FACTOR = 20.0


@scenario("owner killed", 1, 2, 7, 8)
def owner_killed(cluster: LocalCluster, callers: Callers) -> Findings:
    """Lose the owner of a key; the key has to be served again within 2 s."""
    key = callers.keys[0]
    owner = owner_of(cluster, key)
    with probing(callers, key):
        cluster.process_by_name[owner].kill()
        findings = recovery(callers, key, time.time(), owner)
    cluster.start_server(owner)
    gevent.sleep(3.0)
    return findings


@scenario("owner frozen and back", 1, 7, 8)
def owner_frozen(cluster: LocalCluster, callers: Callers) -> Findings:
    """Freeze the owner of a key until its shards have moved, then let it return."""
    key = callers.keys[1]
    owner = owner_of(cluster, key)
    # Only runs that last show that two servers run a key at the same time.
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "slow", factor=SLOW_FACTOR)
    with probing(callers, key):
        cluster.process_by_name[owner].send(signal.SIGSTOP)
        started = time.time()
        findings = recovery(callers, key, started, owner)
        gevent.sleep(max(0.0, FREEZE_S - (time.time() - started)))
        cluster.process_by_name[owner].send(signal.SIGCONT)
        gevent.sleep(1.5)
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "clear")
    return findings


@scenario("instance killed", 1, 7, 8)
def instance_killed(cluster: LocalCluster, callers: Callers) -> Findings:
    """Lose an instance; the keys whose requests it ran are served by others."""
    name = next(iter(cluster.instance_by_name))
    cluster.process_by_name[name].kill()
    gevent.sleep(4.0)
    started = time.time()
    gevent.sleep(2.0)
    worst = max(longest_gap_s(callers.record, key, started, time.time()) for key in callers.keys)
    cluster.start_instance(name)
    cluster.wait_until(lambda: cluster.is_ready(name), 20.0, name)
    late = () if worst <= SERVED_AGAIN_WITHIN_S else (f"a key waited {worst:.2f} s",)
    return Findings(figures={"unavailable_s": worst}, late=late)


@scenario("instance frozen and back", 1, 7, 8)
def instance_frozen(cluster: LocalCluster, callers: Callers) -> Findings:
    """Freeze an instance past the end of its right, then let it return."""
    name = list(cluster.instance_by_name)[1]
    cluster.process_by_name[name].send(signal.SIGSTOP)
    gevent.sleep(FREEZE_S)
    cluster.process_by_name[name].send(signal.SIGCONT)
    gevent.sleep(2.0)
    return Findings()


@scenario("store down", 2, 11)
def store_down(cluster: LocalCluster, callers: Callers) -> Findings:
    """Take the store away for 5 s; nothing may stop."""
    started = time.time()
    set_platform_faults(cluster, down=True)
    gevent.sleep(5.0)
    worst = max(longest_gap_s(callers.record, key, started, time.time()) for key in callers.keys)
    set_platform_faults(cluster, down=False)
    gevent.sleep(1.0)
    is_late = worst > SERVED_DURING_OUTAGE_S
    late = (f"a key was not served for {worst:.2f} s",) if is_late else ()
    return Findings(figures={"unavailable_s": worst}, late=late)


@scenario("store down, then owner killed", 1, 2, 7, 8)
def store_down_owner_killed(cluster: LocalCluster, callers: Callers) -> Findings:
    """Lose an owner during an outage; its keys refuse and others go on."""
    key = callers.keys[2]
    owner = owner_of(cluster, key)
    set_platform_faults(cluster, down=True)
    gevent.sleep(0.5)
    cluster.process_by_name[owner].kill()
    gevent.sleep(2.0)
    with probing(callers, key):
        set_platform_faults(cluster, down=False)
        findings = recovery(callers, key, time.time(), owner)
    cluster.start_server(owner)
    gevent.sleep(2.0)
    return findings


@scenario("answers of writes lost", 1, 2, 8)
def write_answers_lost(cluster: LocalCluster, callers: Callers) -> Findings:
    """Lose the answers of the writes that move the shards of a lost server."""
    key = callers.keys[3]
    owner = owner_of(cluster, key)
    set_platform_faults(cluster, drop_answers=2)
    with probing(callers, key):
        cluster.process_by_name[owner].kill()
        findings = recovery(callers, key, time.time(), owner)
    set_platform_faults(cluster, drop_answers=0)
    cluster.start_server(owner)
    gevent.sleep(2.0)
    return findings


@scenario("instance stopped gracefully", 10)
def graceful_stop(cluster: LocalCluster, callers: Callers) -> Findings:
    """Stop an instance under load as the platform does; no request may be cut."""
    name = list(cluster.instance_by_name)[-1]
    url = cluster.instance_by_name[name].url
    process = cluster.process_by_name[name]
    process.send(signal.SIGTERM)
    gevent.sleep(0.5)
    # The load balancer sees the readiness drop and sends no new requests.
    callers.urls = [other for other in callers.urls if other != url]
    before = callers.record.no_answers
    exit_code = process.terminate(timeout_s=15.0)
    cut = callers.record.no_answers - before
    cluster.start_instance(name)
    cluster.wait_until(lambda: cluster.is_ready(name), 20.0, name)
    callers.urls = [*callers.urls, url]
    problems = [f"exit code {exit_code}"] if exit_code else []
    problems += [f"{cut} requests got no answer"] if cut else []
    return Findings(tuple(problems), {"cut": cut})


@scenario("responses truncated, crossed and reset", 6, 8)
def bad_responses(cluster: LocalCluster, callers: Callers) -> Findings:
    """Damage responses of every backend server; none may reach a caller as whole."""
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "truncate", count=3)
        set_server_fault(cluster, server_id, "cross", count=3)
        set_server_fault(cluster, server_id, "reset", ran=True, count=3)
    gevent.sleep(3.0)
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "clear")
    return Findings()


@scenario("domain taken out and back", 4, 8)
def domain_out(cluster: LocalCluster, callers: Callers) -> Findings:
    """Take a failure domain out; it gets no new work after a few seconds."""
    domain = next(iter(cluster.layout.region_by_domain))
    _change(cluster, "domain-out", domain)
    gevent.sleep(NO_NEW_WORK_AFTER_S)
    started = time.time()
    gevent.sleep(1.5)
    gone = {node.server_id for node in cluster.server_by_id.values() if node.domain == domain}
    late = [s for s in callers.record.served if s.at > started and s.server_id in gone]
    others = [s for s in callers.record.served if s.at > started and s.server_id not in gone]
    _change(cluster, "domain-in", domain)
    gevent.sleep(5.0)
    problems = [f"{len(late)} requests ran in the domain that is out"] if late else []
    problems += [] if others else ["nothing was served meanwhile"]
    return Findings(tuple(problems), {"late": len(late)})


def _change(cluster: LocalCluster, edit: str, argument: str) -> None:
    url = f"http://127.0.0.1:{cluster.platform_port}"
    change_id = f"{edit}-{time.time_ns()}"
    change_document(url, Change("process-faults", change_id, edit, argument))
