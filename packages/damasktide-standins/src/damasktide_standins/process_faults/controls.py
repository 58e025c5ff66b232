"""What scenarios do to a deployment, and how they wait for its reaction."""

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
from damasktide_standins.process_faults.registry import Findings

# Targets of the design page.
SERVED_AGAIN_WITHIN_S = 2.0

# A slow machine is waited for; only a key that is never served again fails.
NEVER_S = 60.0

_PROBE_PERIOD_S = 0.1
_POLL_S = 0.02


def owner_of(cluster: LocalCluster, key: str) -> str:
    """Return the owner of a key as an instance explains it; empty while it has none."""
    name = next(iter(cluster.instance_by_name))
    service = cluster.layout.services[0].name
    explanation = cluster.admin(name, f"explain/{service}/{key}")["explanation"]
    owner = explanation["owner"] if isinstance(explanation, dict) else None
    return str(owner["server_id"]) if owner else ""


def set_platform_faults(cluster: LocalCluster, **faults: object) -> None:
    """Change the faults of the stand-in of the platform."""
    url = f"http://127.0.0.1:{cluster.platform_port}/faults"
    present = _send(cluster, "PUT", url, faults)
    if not faults.items() <= present.items():
        raise RuntimeError(f"the platform's faults are {present}, not {faults}")


def set_server_fault(cluster: LocalCluster, server_id: str, fault: str, **values: object) -> None:
    """Switch a fault of a backend server on."""
    port = cluster.server_by_id[server_id].port
    _send(cluster, "POST", f"http://127.0.0.1:{port}/faults/{fault}", values)


def _send(cluster: LocalCluster, method: str, url: str, document: object) -> dict[str, Any]:
    headers = {"Content-Type": "application/json"}
    body = json.dumps(document).encode()
    response = cluster.http.request(method, url, body=body, headers=headers)
    # A fault that was not switched on would let its scenario hold without testing anything.
    if response.status != 200:
        raise RuntimeError(f"{method} {url}: {response.status} {response.data!r}")
    present: dict[str, Any] = response.json()
    return present


@contextmanager
def probing(callers: Callers, key: str) -> Iterator[None]:
    """Send bookings for ``key`` at a fixed rate.

    A caller whose request hangs at a frozen server sends no other, so its own pause says
    nothing about whether the key is served.
    """
    stopped = Event()
    bookings = Group()

    def probe() -> None:
        while not stopped.wait(_PROBE_PERIOD_S):
            bookings.spawn(callers.book, key)

    prober = gevent.spawn(probe)
    try:
        yield
    finally:
        stopped.set()
        prober.join()
        bookings.join()


def recovery(callers: Callers, key: str, started: float, lost: str = "") -> Findings:
    """Wait until ``key`` is served by another server than ``lost``, and measure its gap."""
    until = time.monotonic() + NEVER_S
    while not _served_since(callers, key, started, lost):
        if time.monotonic() > until:
            return Findings((f"{key} was not served again within {NEVER_S:.0f} s",))
        gevent.sleep(_POLL_S)
    gap_s = longest_gap_s(callers.record, key, started, time.time())
    late = () if gap_s <= SERVED_AGAIN_WITHIN_S else (f"{key} was not served for {gap_s:.2f} s",)
    return Findings(figures={"unavailable_s": gap_s}, late=late)


def _served_since(callers: Callers, key: str, started: float, lost: str) -> bool:
    return any(
        served.key == key and served.at > started and served.server_id not in ("", lost)
        for served in callers.record.served
    )
