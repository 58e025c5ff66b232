"""Sends requests for a time and writes their latencies and statuses as JSON."""

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


class _LoadGenerator:
    """Sends requests and records the latencies of those that are due after the warm-up."""

    def __init__(self, urls: tuple[str, ...], token: str, seed: int, warm_up_s: float) -> None:
        self._urls = cycle(urls)
        self._headers = {"Authorization": f"Bearer {token}", "Damasktide-Deadline-Ms": "5000"}
        self._http = PoolManager(maxsize=64, retries=Retry(False), timeout=Timeout(total=5.0))
        self._random = Random(seed)
        self._measured_from = time.monotonic() + warm_up_s
        self.latencies_ms: list[float] = []
        self.statuses: Counter[int] = Counter()

    def send(self, due_at: float) -> None:
        """Send one request; its latency is measured from the time at which it was due."""
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        headers = {**self._headers, "Idempotency-Key": request_id}
        try:
            status = self._http.request("PUT", next(self._urls), body=BODY, headers=headers).status
        except HTTPError:
            status = 0
        if due_at >= self._measured_from:
            self.statuses[status] += 1
            self.latencies_ms.append((time.monotonic() - due_at) * 1000)

    def run_closed_loop(self, until: float) -> None:
        """Send one request after the other until a time (closed loop)."""
        while time.monotonic() < until:
            self.send(time.monotonic())

    def run_open_loop(self, rate: float, until: float) -> None:
        """Start requests at random times, regardless of earlier ones (open loop)."""
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
@click.option(
    "--seconds", type=float, required=True, help="Duration of the measurement after the warm-up."
)
@click.option("--callers", default=4, help="Concurrent callers in a closed loop.")
@click.option(
    "--rate", default=0.0, help="Requests per second in an open loop; 0 for a closed loop."
)
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
    """Send requests and write the results."""
    load = _LoadGenerator(urls, token, seed, warm_up_s)
    until = time.monotonic() + warm_up_s + seconds
    if rate:
        load.run_open_loop(rate, until)
        gevent.sleep(1.0)
    else:
        gevent.joinall([gevent.spawn(load.run_closed_loop, until) for _ in range(callers)])
    document = {"latencies_ms": load.latencies_ms, "statuses": load.statuses}
    output.write_text(json.dumps(document))


if __name__ == "__main__":
    main()
