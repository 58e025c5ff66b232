"""Checks that a leaving backend server gets no new work and loses no request in the move."""

import json
import time

import gevent

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.controls import measure_recovery, owner_of, probing
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.registry import CheckResult, scenario

NO_NEW_WORK_AFTER_S = 5.0
OBSERVED_S = 3.0


@scenario("backend server leaves", 1, 8, 9)
def server_leaves(cluster: LocalCluster, callers: Callers) -> CheckResult:
    """Mark the owner of a key as leaving in the live list."""
    key = callers.keys[4]
    leaving = owner_of(cluster, key)
    with probing(callers, key):
        marked_at = time.time()
        _set_state(cluster, leaving, "leaving")
        recovery = measure_recovery(callers, key, marked_at, leaving)
        gevent.sleep(max(0.0, marked_at + NO_NEW_WORK_AFTER_S - time.time()))
        must_be_idle_from = time.time()
        gevent.sleep(OBSERVED_S)
    lines = [line for line in cluster.executions() if line["server_id"] == leaving]
    new = sum(float(str(line["start"])) > must_be_idle_from for line in lines)
    cut = sum(float(str(line["end"])) > marked_at and line["ending"] == "cut" for line in lines)
    _set_state(cluster, leaving, "live")
    gevent.sleep(2.0)
    problems = list(recovery.problems)
    problems += (
        [f"{new} requests started on {leaving} more than 5 s after it was marked leaving"]
        if new
        else []
    )
    problems += [f"{cut} requests on {leaving} were cut off"] if cut else []
    return CheckResult(
        tuple(problems),
        {**recovery.measurements, "new": new, "cut": cut},
        recovery.exceeded_limits,
    )


def _set_state(cluster: LocalCluster, server_id: str, state: str) -> None:
    url = f"http://127.0.0.1:{cluster.platform_port}/instances"
    document = cluster.http.request("GET", url).json()
    for entry in document["instances"]:
        if entry["server_id"] == server_id:
            entry["state"] = state
    headers = {"Content-Type": "application/json"}
    body = json.dumps(document).encode()
    response = cluster.http.request("PUT", url, body=body, headers=headers)
    if response.status != 200:
        raise RuntimeError(f"the live list was not changed: {response.status}")
