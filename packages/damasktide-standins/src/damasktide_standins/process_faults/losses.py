"""Loss and pausing of servers and instances, and outages of the store."""

import signal
import time

import gevent

from damasktide.catalog.changes import Change
from damasktide_standins.cluster.lists import apply_configuration_change
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.controls import (
    MAX_UNAVAILABLE_S,
    measure_recovery,
    owner_of,
    probing,
    set_platform_faults,
    set_server_fault,
)
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.observer import longest_gap_s
from damasktide_standins.process_faults.registry import CheckResult, scenario

NO_NEW_WORK_AFTER_S = 5.0
MAX_GAP_IN_OUTAGE_S = 1.0

# The renewal leases of an instance and the grants of a server expire during a pause this long.
PROCESS_PAUSE_S = 2.5
SLOW_FACTOR = 20.0


@scenario("owner killed", 1, 2, 7, 8)
def owner_killed(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Kill the owner of a key; the key has to be served again within 2 s."""
    key = callers.keys[0]
    owner = owner_of(cluster, key)
    with probing(callers, key):
        cluster.process_by_name[owner].kill()
        result = measure_recovery(callers, key, time.time(), owner)
    cluster.start_server(owner)
    gevent.sleep(3.0)
    return result


@scenario("owner frozen and back", 1, 7, 8)
def owner_paused(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Pause the owner of a key until its shards have moved, then resume it."""
    key = callers.keys[1]
    owner = owner_of(cluster, key)
    # Slows executions down, so that those of one key on two servers would overlap.
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "slow", factor=SLOW_FACTOR)
    with probing(callers, key):
        cluster.process_by_name[owner].send(signal.SIGSTOP)
        paused_at = time.time()
        result = measure_recovery(callers, key, paused_at, owner)
        gevent.sleep(max(0.0, PROCESS_PAUSE_S - (time.time() - paused_at)))
        cluster.process_by_name[owner].send(signal.SIGCONT)
        gevent.sleep(1.5)
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "clear")
    return result


@scenario("instance killed", 1, 7, 8)
def instance_killed(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Kill an instance; the keys whose requests it forwarded are served through others."""
    name = next(iter(cluster.instance_by_name))
    cluster.process_by_name[name].kill()
    gevent.sleep(4.0)
    observed_from = time.time()
    gevent.sleep(2.0)
    longest_s = max(
        longest_gap_s(callers.record, key, observed_from, time.time()) for key in callers.keys
    )
    cluster.start_instance(name)
    cluster.wait_until(lambda: cluster.is_ready(name), 20.0, name)
    exceeded_limits = (
        () if longest_s <= MAX_UNAVAILABLE_S else (f"a key was not served for {longest_s:.2f} s",)
    )
    return CheckResult(measurements={"unavailable_s": longest_s}, exceeded_limits=exceeded_limits)


@scenario("instance frozen and back", 1, 7, 8)
def instance_paused(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Pause an instance until its renewal lease has expired, then resume it."""
    name = list(cluster.instance_by_name)[1]
    cluster.process_by_name[name].send(signal.SIGSTOP)
    gevent.sleep(PROCESS_PAUSE_S)
    cluster.process_by_name[name].send(signal.SIGCONT)
    gevent.sleep(2.0)
    return CheckResult()


@scenario("store down", 2, 11)
def store_down(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Make the store unavailable for 5 s; requests must still be served."""
    outage_started_at = time.time()
    set_platform_faults(cluster, down=True)
    gevent.sleep(5.0)
    longest_s = max(
        longest_gap_s(callers.record, key, outage_started_at, time.time()) for key in callers.keys
    )
    set_platform_faults(cluster, down=False)
    gevent.sleep(1.0)
    is_exceeded = longest_s > MAX_GAP_IN_OUTAGE_S
    exceeded_limits = (f"a key was not served for {longest_s:.2f} s",) if is_exceeded else ()
    return CheckResult(measurements={"unavailable_s": longest_s}, exceeded_limits=exceeded_limits)


@scenario("store down, then owner killed", 1, 2, 7, 8)
def store_down_owner_killed(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Kill an owner during a store outage; its keys have to be served again after the outage."""
    key = callers.keys[2]
    owner = owner_of(cluster, key)
    set_platform_faults(cluster, down=True)
    gevent.sleep(0.5)
    cluster.process_by_name[owner].kill()
    gevent.sleep(2.0)
    with probing(callers, key):
        set_platform_faults(cluster, down=False)
        result = measure_recovery(callers, key, time.time(), owner)
    cluster.start_server(owner)
    gevent.sleep(2.0)
    return result


@scenario("answers of writes lost", 1, 2, 8)
def write_responses_lost(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Drop the responses to the writes that move the shards of a killed server."""
    key = callers.keys[3]
    owner = owner_of(cluster, key)
    set_platform_faults(cluster, drop_answers=2)
    with probing(callers, key):
        cluster.process_by_name[owner].kill()
        result = measure_recovery(callers, key, time.time(), owner)
    set_platform_faults(cluster, drop_answers=0)
    cluster.start_server(owner)
    gevent.sleep(2.0)
    return result


@scenario("instance stopped gracefully", 10)
def graceful_stop(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Stop an instance under load as the platform does; no request may be cut off."""
    name = list(cluster.instance_by_name)[-1]
    url = cluster.instance_by_name[name].url
    process = cluster.process_by_name[name]
    process.send(signal.SIGTERM)
    gevent.sleep(0.5)
    # As the load balancer does once the instance is no longer ready, send it no new requests.
    callers.urls = [other for other in callers.urls if other != url]
    before = callers.record.unanswered
    exit_code = process.terminate(timeout_s=15.0)
    cut = callers.record.unanswered - before
    cluster.start_instance(name)
    cluster.wait_until(lambda: cluster.is_ready(name), 20.0, name)
    callers.urls = [*callers.urls, url]
    problems = [f"exit code {exit_code}"] if exit_code else []
    problems += [f"{cut} requests got no response"] if cut else []
    return CheckResult(tuple(problems), {"cut": cut})


@scenario("responses truncated, crossed and reset", 6, 8)
def bad_responses(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Corrupt responses of each backend server; none may reach a caller as complete."""
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "truncate", count=3)
        set_server_fault(cluster, server_id, "cross", count=3)
        set_server_fault(cluster, server_id, "reset", ran=True, count=3)
    gevent.sleep(3.0)
    for server_id in cluster.server_by_id:
        set_server_fault(cluster, server_id, "clear")
    return CheckResult()


@scenario("domain taken out and back", 4, 8)
def domain_out(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Take a failure domain out of service; it gets no new work after a few seconds."""
    domain = next(iter(cluster.layout.region_by_domain))
    _change(cluster, "domain-out", domain)
    gevent.sleep(NO_NEW_WORK_AFTER_S)
    observed_from = time.time()
    gevent.sleep(1.5)
    removed = {node.server_id for node in cluster.server_by_id.values() if node.domain == domain}
    from_removed = [
        s for s in callers.record.served if s.at > observed_from and s.server_id in removed
    ]
    from_others = [
        s for s in callers.record.served if s.at > observed_from and s.server_id not in removed
    ]
    _change(cluster, "domain-in", domain)
    gevent.sleep(5.0)
    problems = (
        [f"{len(from_removed)} requests ran in the domain that is out of service"]
        if from_removed
        else []
    )
    problems += [] if from_others else ["no request was served by the other domains"]
    return CheckResult(tuple(problems), {"late": len(from_removed)})


def _change(cluster: LocalCluster, edit: str, argument: str) -> None:
    url = f"http://127.0.0.1:{cluster.platform_port}"
    change_id = f"{edit}-{time.time_ns()}"
    apply_configuration_change(url, Change("process-faults", change_id, edit, argument))
