"""Faults of real processes; a registry holds one function for each."""

import json
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import gevent

from damasktide.catalog.changes import Change
from damasktide.runtime.registry import Registry
from damasktide_standins.cluster.lists import change_document
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.observer import longest_gap_s

# Targets of the design page.
SERVED_AGAIN_WITHIN_S = 2.0
CONFIGURATION_WITHIN_S = 10.0
NO_NEW_WORK_AFTER_S = 5.0

# An instance or a server that is frozen this long has lost its rights and grants.
FREEZE_S = 2.5


@dataclass(frozen=True, slots=True)
class Findings:
    """What a scenario found by itself, besides the observer's checks.

    Attributes
    ----------
    problems
        A line for each violated expectation.
    figures
        Measured values by name, in seconds or as counts.
    """

    problems: tuple[str, ...] = ()
    figures: dict[str, float] = field(default_factory=dict)


Scenario = Callable[[LocalCluster, Callers], Findings]

scenarios: Registry[str, Scenario] = Registry("process fault")


def owner_of(cluster: LocalCluster, key: str) -> str:
    """Return the owner of a key as an instance explains it; empty while it has none."""
    name = next(iter(cluster.instance_by_name))
    service = cluster.layout.services[0].name
    explanation = cluster.admin(name, f"explain/{service}/{key}")["explanation"]
    owner = explanation["owner"] if isinstance(explanation, dict) else None
    return str(owner["server_id"]) if owner else ""


def set_platform_faults(cluster: LocalCluster, **faults: object) -> None:
    """Change the faults of the stand-in of the platform.

    Raises
    ------
    RuntimeError
        If the stand-in does not accept them.
    """
    url = f"http://127.0.0.1:{cluster.platform_port}/faults"
    headers = {"Content-Type": "application/json"}
    response = cluster.http.request("PUT", url, body=json.dumps(faults), headers=headers)
    if response.status != HTTPStatus.OK:
        raise RuntimeError(f"the faults were not set: status {response.status}")


def set_server_fault(cluster: LocalCluster, server_id: str, fault: str, **values: object) -> None:
    """Switch a fault of a backend server on."""
    port = cluster.server_by_id[server_id].port
    url = f"http://127.0.0.1:{port}/faults/{fault}"
    cluster.http.request("POST", url, body=json.dumps(values).encode())


def _gap_findings(callers: Callers, key: str, started: float, limit_s: float) -> Findings:
    gap_s = longest_gap_s(callers.record, key, started, time.time())
    problems = () if gap_s <= limit_s else (f"{key} was not served for {gap_s:.2f} s",)
    return Findings(problems, {"unavailable_s": gap_s})


@scenarios.register("owner killed")
def owner_killed(cluster: LocalCluster, callers: Callers) -> Findings:
    """Lose the owner of a key; the key has to be served again within 2 s."""
    key = callers.keys[0]
    owner = owner_of(cluster, key)
    started = time.time()
    cluster.process_by_name[owner].kill()
    gevent.sleep(4.0)
    findings = _gap_findings(callers, key, started, SERVED_AGAIN_WITHIN_S)
    cluster.start_server(owner)
    gevent.sleep(3.0)
    return findings


@scenarios.register("owner frozen and back")
def owner_frozen(cluster: LocalCluster, callers: Callers) -> Findings:
    """Freeze the owner of a key until its shards have moved, then let it return."""
    key = callers.keys[1]
    owner = owner_of(cluster, key)
    started = time.time()
    cluster.process_by_name[owner].send(signal.SIGSTOP)
    gevent.sleep(FREEZE_S)
    cluster.process_by_name[owner].send(signal.SIGCONT)
    gevent.sleep(1.5)
    return _gap_findings(callers, key, started, SERVED_AGAIN_WITHIN_S)


@scenarios.register("instance killed")
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
    problems = () if worst <= SERVED_AGAIN_WITHIN_S else (f"a key waited {worst:.2f} s",)
    return Findings(problems, {"unavailable_s": worst})


@scenarios.register("instance frozen and back")
def instance_frozen(cluster: LocalCluster, callers: Callers) -> Findings:
    """Freeze an instance past the end of its right, then let it return."""
    name = list(cluster.instance_by_name)[1]
    cluster.process_by_name[name].send(signal.SIGSTOP)
    gevent.sleep(FREEZE_S)
    cluster.process_by_name[name].send(signal.SIGCONT)
    gevent.sleep(2.0)
    return Findings()


@scenarios.register("store down")
def store_down(cluster: LocalCluster, callers: Callers) -> Findings:
    """Take the store away for 5 s; nothing may stop."""
    started = time.time()
    set_platform_faults(cluster, down=True)
    gevent.sleep(5.0)
    worst = max(longest_gap_s(callers.record, key, started, time.time()) for key in callers.keys)
    set_platform_faults(cluster, down=False)
    gevent.sleep(1.0)
    problems = () if worst <= 1.0 else (f"a key was not served for {worst:.2f} s",)
    return Findings(problems, {"unavailable_s": worst})


@scenarios.register("store down, then owner killed")
def store_down_owner_killed(cluster: LocalCluster, callers: Callers) -> Findings:
    """Lose an owner during an outage; its keys refuse and others go on."""
    key = callers.keys[2]
    owner = owner_of(cluster, key)
    set_platform_faults(cluster, down=True)
    gevent.sleep(0.5)
    cluster.process_by_name[owner].kill()
    gevent.sleep(2.0)
    set_platform_faults(cluster, down=False)
    back = time.time()
    gevent.sleep(3.0)
    findings = _gap_findings(callers, key, back, SERVED_AGAIN_WITHIN_S)
    cluster.start_server(owner)
    gevent.sleep(2.0)
    return findings


@scenarios.register("answers of writes lost")
def write_answers_lost(cluster: LocalCluster, callers: Callers) -> Findings:
    """Lose the answers of the writes that move the shards of a lost server."""
    key = callers.keys[3]
    owner = owner_of(cluster, key)
    set_platform_faults(cluster, drop_answers=2)
    started = time.time()
    cluster.process_by_name[owner].kill()
    gevent.sleep(5.0)
    findings = _gap_findings(callers, key, started, SERVED_AGAIN_WITHIN_S)
    set_platform_faults(cluster, drop_answers=0)
    cluster.start_server(owner)
    gevent.sleep(2.0)
    return findings


@scenarios.register("instance stopped gracefully")
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


@scenarios.register("responses truncated, crossed and reset")
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


@scenarios.register("domain taken out and back")
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
