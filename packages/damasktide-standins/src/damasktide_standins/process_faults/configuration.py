"""Checks that an accepted configuration reaches all instances and never reverts."""

import signal
import time
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
from gevent.event import Event
from returns.pipeline import is_successful
from urllib3.exceptions import HTTPError

from damasktide.catalog.changes import ApplyResult, Change, apply_change
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.store_task import StoreTask
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.controls import RECOVERY_TIMEOUT_S, set_platform_faults
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.registry import CheckResult, scenario

MAX_IN_FORCE_S = 10.0
PROCESS_PAUSE_S = 3.0
_POLL_INTERVAL_S = 0.1


@scenario("configuration reaches a frozen instance", 11)
def paused_instance(cluster: LocalCluster, _callers: Callers) -> CheckResult:
    """Change the configuration while an instance is paused; it adopts the change on resuming."""
    paused = list(cluster.instance_by_name)[1]
    with _watching_for_reverts(cluster) as reverted:
        cluster.process_by_name[paused].send(signal.SIGSTOP)
        version = _apply(cluster, "instance-out")
        others = [name for name in cluster.instance_by_name if name != paused]
        spread_s = max(_wait_until_in_force(cluster, name, version) for name in others)
        gevent.sleep(PROCESS_PAUSE_S)
        cluster.process_by_name[paused].send(signal.SIGCONT)
        after_resume_s = _wait_until_in_force(cluster, paused, version)
        _apply(cluster, "instance-in")
    measurements = {"in_force_s": spread_s, "after_freeze_s": after_resume_s}
    exceeded_limits = tuple(
        f"{key} {s:.1f}" for key, s in measurements.items() if s > MAX_IN_FORCE_S
    )
    return CheckResult(tuple(reverted), measurements, exceeded_limits)


@scenario("configuration from peers", 11)
def from_peers(cluster: LocalCluster, _callers: Callers) -> CheckResult:
    """Replace an instance while the store is down; it gets the configuration from peers."""
    name = list(cluster.instance_by_name)[-1]
    version = _apply(cluster, "instance-out")
    for other in cluster.instance_by_name:
        _wait_until_in_force(cluster, other, version)
    set_platform_faults(cluster, down=True)
    try:
        cluster.process_by_name[name].kill()
        cluster.start_instance(name)
        adopted_s = _wait_until_in_force(cluster, name, version)
        status = _configuration(cluster, name)
    finally:
        set_platform_faults(cluster, down=False)
    cluster.wait_until(lambda: cluster.is_ready(name), RECOVERY_TIMEOUT_S, name)
    _apply(cluster, "instance-in")
    is_wrong = status["source"] != "peers" or status["version"] != version
    problems = (f"status {status}, expected version {version} from peers",) if is_wrong else ()
    exceeded_limits = (f"adopted after {adopted_s:.1f} s",) if adopted_s > MAX_IN_FORCE_S else ()
    return CheckResult(problems, {"taken_s": adopted_s}, exceeded_limits)


@scenario("two operators race", 11)
def operators_race(cluster: LocalCluster, _callers: Callers) -> CheckResult:
    """Apply two changes to the same base; one is accepted, the other gets a conflict.

    The conflict names the accepted change.
    """
    base = _apply(cluster, "instance-out")
    changes = [
        Change(author, uuid.uuid4().hex, "domain-out", "nowhere-" + author, base)
        for author in ("ada", "bisi")
    ]
    races = [gevent.spawn(_apply_result, cluster, change) for change in changes]
    results = [race.get() for race in races]
    _apply(cluster, "instance-in")
    for author in ("ada", "bisi"):
        _apply(cluster, "domain-in", "nowhere-" + author)
    return CheckResult(tuple(_race_problems(changes, results, base)))


def _race_problems(changes: list[Change], results: list[ApplyResult], base: int) -> Iterator[str]:
    winners = [
        change for change, result in zip(changes, results, strict=True) if is_successful(result)
    ]
    if len(winners) != 1:
        yield f"{len(winners)} of 2 racing changes were accepted"
        return
    error = next(result.failure() for result in results if not is_successful(result))
    current = error.current
    if current is None or (current.author, current.version) != (winners[0].author, base + 1):
        yield f"the conflict names {current}, the accepted change is by {winners[0].author}"


def _apply(cluster: LocalCluster, edit: str, argument: str = "absent-1") -> int:
    """Apply a change that affects no process and return its version."""
    change = Change("process-faults", uuid.uuid4().hex, edit, argument)
    return int(_apply_result(cluster, change).unwrap().version)


def _apply_result(cluster: LocalCluster, change: Change) -> ApplyResult:
    url = f"http://127.0.0.1:{cluster.platform_port}"
    store = StoreTask(StoreEndpoints(url, url))
    store.start()
    try:
        return apply_change(store, change)
    finally:
        store.stop()


def _configuration(cluster: LocalCluster, name: str) -> dict[str, Any]:
    try:
        configuration = cluster.admin(name, "status")["configuration"]
    except (HTTPError, KeyError, ValueError):
        return {}
    return configuration if isinstance(configuration, dict) else {}


def _wait_until_in_force(cluster: LocalCluster, name: str, version: int) -> float:
    return cluster.wait_until(
        lambda: _configuration(cluster, name).get("version", 0) >= version,
        RECOVERY_TIMEOUT_S,
        f"version {version} at {name}",
    )


@contextmanager
def _watching_for_reverts(cluster: LocalCluster) -> Iterator[list[str]]:
    """Watch the configuration of all instances; collect a line for each version that reverts."""
    reverted: list[str] = []
    highest = dict.fromkeys(cluster.instance_by_name, 0)
    stopped = Event()

    def watch(name: str) -> None:
        while not stopped.wait(_POLL_INTERVAL_S):
            version = int(_configuration(cluster, name).get("version", highest[name]))
            if version < highest[name]:
                reverted.append(f"{time.time():.3f} {name}: {highest[name]} to {version}")
            highest[name] = max(highest[name], version)

    watchers = [gevent.spawn(watch, name) for name in cluster.instance_by_name]
    try:
        yield reverted
    finally:
        stopped.set()
        gevent.joinall(watchers)
