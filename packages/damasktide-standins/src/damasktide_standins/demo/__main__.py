"""Runs the demo; exits with 0 if every step has the expected result.

The steps are a booking run by the owner of its key, a read balanced to any backend server, a
request that is refused, and a booking after the owner was killed.
"""

from gevent import monkey

monkey.patch_all()

import sys
import time
import uuid

import click

from damasktide_standins.cluster.client import Client
from damasktide_standins.cluster.layout import SMALL, TOKEN
from damasktide_standins.cluster.local_cluster import LocalCluster

SERVICE = "batch-desk"
KEY = "line-3"
RECOVERY_TIMEOUT_S = 10.0


def main() -> int:
    """Run all steps and return the exit code."""
    started = time.monotonic()
    with LocalCluster(SMALL) as cluster:
        click.echo(f"started {len(cluster.process_by_name)} processes")
        client = Client(cluster.http, TOKEN)
        urls = [node.url for node in cluster.instance_by_name.values()]
        owner = _book(client, urls[0])
        _read(client, urls[1])
        _request_refused_route(client, urls[0])
        _kill_owner(cluster, client, urls[1], owner)
    click.echo(f"all processes ended after {time.monotonic() - started:.1f} s")
    return 0


def _book(client: Client, url: str) -> str:
    response = client.call("POST", f"{url}/{SERVICE}/bookings/{KEY}", uuid.uuid4().hex)
    _expect(response.status == 200, f"booking refused: {response.body!r}")
    click.echo(f"booking for {KEY}: run by its owner {response.served_by}")
    return response.served_by


def _read(client: Client, url: str) -> None:
    response = client.call("GET", f"{url}/{SERVICE}/recipes")
    _expect(response.status == 200, f"read refused: {response.body!r}")
    click.echo(f"recipe read: balanced to {response.served_by}")


def _request_refused_route(client: Client, url: str) -> None:
    response = client.call("GET", f"{url}/lot-ledger/certificates")
    problem = response.json()
    _expect(problem.get("not_run") is True, f"expected a refusal: {response.body!r}")
    click.echo(f"refused: {problem['code']}, not run: {problem['detail']}")


def _kill_owner(cluster: LocalCluster, client: Client, url: str, owner: str) -> None:
    cluster.process_by_name[owner].kill()
    killed_at = time.monotonic()
    while time.monotonic() - killed_at < RECOVERY_TIMEOUT_S:
        response = client.call("POST", f"{url}/{SERVICE}/bookings/{KEY}", uuid.uuid4().hex)
        if response.status == 200:
            seconds = time.monotonic() - killed_at
            click.echo(
                f"owner {owner} killed: served by {response.served_by} after {seconds:.2f} s"
            )
            return
    raise RuntimeError(f"the key was not served within {RECOVERY_TIMEOUT_S} s")


def _expect(condition: bool, message: str) -> None:
    if not condition:
        raise RuntimeError(message)


if __name__ == "__main__":
    sys.exit(main())
