"""Sends requests for a time and writes their latencies as JSON."""

from gevent import monkey

monkey.patch_all()

import json
import time
import uuid
from collections import Counter
from itertools import cycle
from pathlib import Path
from random import Random

import click
import gevent
from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

BODY = b"x" * 64


class _Load:
    """Sends requests and keeps the latencies of those that start after the warm-up."""

    def __init__(self, urls: tuple[str, ...], token: str, seed: int, warm_up_s: float) -> None:
        self._urls = cycle(urls)
        self._headers = {"Authorization": f"Bearer {token}", "Damasktide-Deadline-Ms": "5000"}
        self._http = PoolManager(maxsize=64, retries=Retry(False), timeout=Timeout(total=5.0))
        self._random = Random(seed)
        self._measured_from = time.monotonic() + warm_up_s
        self.latencies_ms: list[float] = []
        self.statuses: Counter[int] = Counter()

    def send(self, due_at: float) -> None:
        """Send one request; its latency counts from the time at which it was due."""
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        headers = {**self._headers, "Idempotency-Key": request_id}
        try:
            status = self._http.request("PUT", next(self._urls), body=BODY, headers=headers).status
        except HTTPError:
            status = 0
        if due_at >= self._measured_from:
            self.statuses[status] += 1
            self.latencies_ms.append((time.monotonic() - due_at) * 1000)

    def repeat(self, until: float) -> None:
        """Send one request after the other."""
        while time.monotonic() < until:
            self.send(time.monotonic())

    def arrive(self, rate: float, until: float) -> None:
        """Start requests at random times, whether or not earlier ones have ended."""
        due_at = time.monotonic()
        while due_at < until:
            gevent.sleep(max(0.0, due_at - time.monotonic()))
            gevent.spawn(self.send, due_at)
            due_at += self._random.expovariate(rate)


@click.command()
@click.option("--url", "urls", multiple=True, required=True)
@click.option("--token", required=True)
@click.option("--seed", type=int, required=True)
@click.option("--warm-up-s", type=float, required=True)
@click.option("--seconds", type=float, required=True, help="Measured time.")
@click.option("--callers", default=4, help="Callers of a closed loop.")
@click.option("--rate", default=0.0, help="Requests a second of an open loop; 0: closed loop.")
@click.option("--output", type=click.Path(path_type=Path), required=True)
def main(
    urls: tuple[str, ...],
    token: str,
    seed: int,
    warm_up_s: float,
    seconds: float,
    callers: int,
    rate: float,
    output: Path,
) -> None:
    """Send requests and write what came back."""
    load = _Load(urls, token, seed, warm_up_s)
    until = time.monotonic() + warm_up_s + seconds
    if rate:
        load.arrive(rate, until)
        gevent.sleep(1.0)
    else:
        gevent.joinall([gevent.spawn(load.repeat, until) for _ in range(callers)])
    document = {"latencies_ms": load.latencies_ms, "statuses": load.statuses}
    output.write_text(json.dumps(document))


if __name__ == "__main__":
    main()
