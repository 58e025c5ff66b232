"""A planned stop while consumers pipeline downloads and read them slowly."""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

from standins import (
    CannotRun,
    Gateway,
    Record,
    Store,
    Target,
    cluster,
    configuration,
    has_trouble,
    request,
    route,
    run_case,
    wait_until_served,
)

TIMEOUT_MS = 6000
BUDGET_MS = 8000
CONSUMERS = 4
# Requests that a consumer has outstanding on its connection.
WINDOW = 3
DOWNLOAD_BYTES = 300_000
READ_BYTES_PER_S = 250_000
PIECE = 10_000
STOP_AFTER_S = 3.0
LENGTH_S = 12.0


class Consumer:
    """Keeps a few downloads outstanding on one connection, and reads at a limited rate."""

    def __init__(self, gateway: Gateway, record: Record, name: str) -> None:
        self._gateway, self._record, self._name = gateway, record, name
        self._count = 0
        # Ids and times of the requests that are still to be answered, the oldest first.
        self._outstanding: list[tuple[str, float]] = []
        self.answered: set[str] = set()
        # Request id, seconds since it was sent, and bytes of its answer that arrived.
        self.lost: list[tuple[str, float, int]] = []

    def run(self) -> None:
        """Send and read until the connection ends; blocks."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        sock.settimeout(10.0)
        sock.connect(("127.0.0.1", self._gateway.port))
        until = time.monotonic() + LENGTH_S
        data, ends = b"", False
        started_at, received = time.monotonic(), 0
        try:
            while not ends and (time.monotonic() < until or self._outstanding):
                while len(self._outstanding) < WINDOW and time.monotonic() < until:
                    self._send(sock)
                while (size := _complete_size(data)) is None:
                    piece = sock.recv(PIECE)
                    if not piece:
                        raise ConnectionError("the connection was closed")
                    data += piece
                    received += len(piece)
                    ahead_s = received / READ_BYTES_PER_S - (time.monotonic() - started_at)
                    time.sleep(max(0.0, ahead_s))
                request_id, _ = self._outstanding.pop(0)
                head = data.partition(b"\r\n\r\n")[0].lower()
                self.answered.add(request_id)
                ends = b"connection: close" in head
                self._record.write(f"{self._name}: {request_id}: whole answer"
                                   f"{', which closes the connection' if ends else ''}")
                data = data[size:]
        except OSError as error:
            self._record.write(f"{self._name}: connection ended: {error!r}")
            arrived = len(data)
            for request_id, sent_at in self._outstanding:
                self.lost.append((request_id, time.monotonic() - sent_at, arrived))
                arrived = 0
        finally:
            sock.close()

    def _send(self, sock: socket.socket) -> None:
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        self._outstanding.append((request_id, time.monotonic()))
        self._record.write(f"{self._name} sends {request_id}")
        sock.sendall(request("GET", "/pull/x", request_id, BUDGET_MS))


def _complete_size(data: bytes) -> int | None:
    """Return the size of the first response in ``data`` if it is complete."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    length = int(fields[b"content-length"])
    return len(head) + 4 + length if len(body) >= length else None


async def case(record: Record, folder: Path, gateways: list[Gateway]) -> bool:
    store = Store()
    await store.start()
    targets = [
        Target(store, record, f"i-desk{n}", "desk", "east-1", lambda path: (0.1, DOWNLOAD_BYTES))
        for n in range(4)
    ]
    for target in targets:
        await target.start()
    store.put("op", "config", configuration(
        1, [route("pull", "safe", "/pull/", "desk", TIMEOUT_MS, 2)], [cluster("desk")]
    ))
    gateway = Gateway(store, folder, "front-1", "east-1")
    gateways.append(gateway)
    await gateway.start()
    await gateway.wait_until_ready()
    await wait_until_served(gateway, [request("GET", "/pull/a", "warm", 3000)], 20.0)
    # No start within `contact_ms` before the requests.
    await asyncio.sleep(5.0)
    consumers = [Consumer(gateway, record, f"c{n}") for n in range(CONSUMERS)]
    running = [asyncio.ensure_future(asyncio.to_thread(c.run)) for c in consumers]
    await asyncio.sleep(STOP_AFTER_S)
    stopped_at = time.monotonic()
    if has_trouble():
        record.write("SIGTERM")
        gateway.signal(signal.SIGTERM)
    await asyncio.gather(*running)
    if has_trouble():
        await asyncio.wait_for(gateway.process.wait(), 10.0)
        record.write(f"the process has ended with code {gateway.process.returncode}")
    if not any(consumer.answered for consumer in consumers):
        raise CannotRun("no request was answered")
    done = set().union(*(target.done for target in targets))
    broken = 0
    for consumer in consumers:
        for request_id, age_s, arrived in consumer.lost:
            is_counted = request_id in done and age_s < TIMEOUT_MS / 1000.0
            broken += is_counted
            record.write(f"lost: {request_id}, {age_s:.1f} s after it was sent, {arrived} bytes "
                         f"arrived, answered by its target: {request_id in done}")
    record.write(f"passed on, and ended without a complete answer: {broken}; "
                 f"{time.monotonic() - stopped_at:.1f} s after the stop began")
    print(f"requests passed on and ended without a complete answer: {broken}")
    return broken > 0


if __name__ == "__main__":
    run_case(Path(sys.argv[1]), case)
