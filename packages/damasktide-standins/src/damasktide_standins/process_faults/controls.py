"""Functions that scenarios share: inject faults, send probes and measure the recovery."""

import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
from gevent.event import Event
from gevent.pool import Group

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.process_faults.load import Callers
from damasktide_standins.process_faults.observer import longest_gap_s
from damasktide_standins.process_faults.registry import CheckResult

# Longest time for which a key may go unserved after a fault, from docs/design.md.
MAX_UNAVAILABLE_S = 2.0

# Long enough for a slow machine, so only a deployment that never recovers exceeds it.
RECOVERY_TIMEOUT_S = 60.0

_PROBE_INTERVAL_S = 0.1
_POLL_INTERVAL_S = 0.02


def owner_of(cluster: LocalCluster, key: str) -> str:
    """Return the id of the owner of a key as an instance reports it, or an empty string."""
    name = next(iter(cluster.instance_by_name))
    service = cluster.layout.services[0].name
    explanation = cluster.admin(name, f"explain/{service}/{key}")["explanation"]
    owner = explanation["owner"] if isinstance(explanation, dict) else None
    return str(owner["server_id"]) if owner else ""


def set_platform_faults(cluster: LocalCluster, **faults: object) -> None:
    """Set faults of the platform stand-in."""
    url = f"http://127.0.0.1:{cluster.platform_port}/faults"
    enabled = _send(cluster, "PUT", url, faults)
    if not faults.items() <= enabled.items():
        raise RuntimeError(f"the platform's faults are {enabled}, not {faults}")


def set_server_fault(cluster: LocalCluster, server_id: str, fault: str, **values: object) -> None:
    """Enable a fault of a backend server."""
    port = cluster.server_by_id[server_id].port
    _send(cluster, "POST", f"http://127.0.0.1:{port}/faults/{fault}", values)


def _send(cluster: LocalCluster, method: str, url: str, document: object) -> dict[str, Any]:
    headers = {"Content-Type": "application/json"}
    body = json.dumps(document).encode()
    response = cluster.http.request(method, url, body=body, headers=headers)
    # If a fault were not enabled, its scenario would pass without testing anything.
    if response.status != 200:
        raise RuntimeError(f"{method} {url}: {response.status} {response.data!r}")
    result: dict[str, Any] = response.json()
    return result


@contextmanager
def probing(callers: Callers, key: str) -> Iterator[None]:
    """Send bookings for ``key`` at a fixed rate.

    The callers alone cannot show when the key is served again: a caller whose request hangs at
    a paused server sends no other request until that one times out.
    """
    stopped = Event()
    bookings = Group()

    def probe() -> None:
        while not stopped.wait(_PROBE_INTERVAL_S):
            bookings.spawn(callers.book, key)

    prober = gevent.spawn(probe)
    try:
        yield
    finally:
        stopped.set()
        prober.join()
        bookings.join()


def measure_recovery(
    callers: Callers, key: str, since: float, former_owner: str = ""
) -> CheckResult:
    """Wait until another server serves ``key``; measure the longest time without a response.

    Parameters
    ----------
    callers
        Callers whose record shows when the key is served.
    key
        Key whose owner was killed, paused or marked leaving.
    since
        Unix time in seconds at which the measurement starts.
    former_owner
        Id of that owner, whose responses do not count as recovery; empty if all do.
    """
    until = time.monotonic() + RECOVERY_TIMEOUT_S
    while not _is_served_since(callers, key, since, former_owner):
        if time.monotonic() > until:
            return CheckResult((f"{key} was not served again within {RECOVERY_TIMEOUT_S:.0f} s",))
        gevent.sleep(_POLL_INTERVAL_S)
    gap_s = longest_gap_s(callers.record, key, since, time.time())
    exceeded_limits = (
        () if gap_s <= MAX_UNAVAILABLE_S else (f"{key} was not served for {gap_s:.2f} s",)
    )
    return CheckResult(measurements={"unavailable_s": gap_s}, exceeded_limits=exceeded_limits)


def _is_served_since(callers: Callers, key: str, since: float, former_owner: str) -> bool:
    return any(
        served.key == key and served.at > since and served.server_id not in ("", former_owner)
        for served in callers.record.served
    )
