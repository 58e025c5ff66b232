"""Pipelined downloads behind a slow request: their connections are closed without answers."""

import asyncio
import sys
import time
from pathlib import Path

from standins import (
    Gateway,
    Record,
    Store,
    Target,
    cluster,
    configuration,
    has_trouble,
    read_body,
    read_head,
    request,
    route,
    run_case,
    wait_until_served,
)

BUDGET_MS = 8000
CONNECTIONS = 6
ROUNDS = 1
# Of `srv_slow` in the site file of cocoa-commons-gw, x is 12 and the share 0.4 at most.
SLOW_FACTOR = 12.0
READ_S = 0.25
DOWNLOAD_BYTES = 500_000
UNREAD_S = 2.0


async def consumer(gateway: Gateway, record: Record, number: int, found: dict) -> None:
    """Send a read, downloads and reads at once, and read the answers in order."""
    for turn in range(ROUNDS):
        prefix = f"c{number}t{turn}"
        paths = [("/slow/a", f"{prefix}-slow", 7)]
        paths += [("/pull/b", f"{prefix}-pull{i}", None) for i in range(2)]
        paths += [("/read/c", f"{prefix}-read{i}", None) for i in range(4)]
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port,
                                                       limit=1 << 22)
        writer.write(b"".join(request("GET", p, i, BUDGET_MS, k) for p, i, k in paths))
        record.write(f"consumer sends on one connection {[i for _, i, _ in paths]}")
        is_closed_by_answer = False
        for _, request_id, _ in paths:
            outcome = "no answer, the connection was closed"
            try:
                head = await asyncio.wait_for(read_head(reader), 12.0)
                if head is not None:
                    outcome = f"{head.start.split(' ')[1]}, cut short"
                    await read_body(reader, head)
                    outcome = head.start.split(" ")[1]
                    if head.fields.get("connection", "").lower() == "close":
                        is_closed_by_answer = True
            except TimeoutError:
                outcome = "no answer in time"
            except (OSError, asyncio.IncompleteReadError):
                pass
            if is_closed_by_answer and outcome.startswith("no answer"):
                outcome = "behind an answer that closes, not read"
            found[request_id] = outcome
            record.write(f"consumer: {request_id}: {outcome}")
        writer.close()
        await asyncio.sleep(0.2)


async def case(record: Record, folder: Path, gateways: list[Gateway]) -> bool:
    store = Store()
    await store.start()
    work = lambda path: (READ_S, DOWNLOAD_BYTES if path.startswith("/pull/") else 400)
    targets = [
        Target(store, record, f"i-desk{n}", "desk", "east-1", work, unread_s=UNREAD_S,
               send_buffer=16_384)
        for n in range(4)
    ]
    targets += [
        Target(store, record, f"i-vault{n}", "vault", "east-1", work, slots=12, is_keyed=True)
        for n in range(3)
    ]
    for target in targets:
        await target.start()
    store.put("op", "config", configuration(
        1,
        [route("slow", "safe", "/slow/", "vault", 6000, 2),
         route("pull", "safe", "/pull/", "desk", 6000, 2),
         route("read", "safe", "/read/", "desk", 6000, 2)],
        [cluster("desk"), cluster("vault", is_keyed=True)],
    ))
    gateway = Gateway(store, folder, "front-1", "east-1")
    gateways.append(gateway)
    await gateway.start()
    await gateway.wait_until_ready()
    await wait_until_served(gateway, [
        request("GET", "/slow/a", "warm-slow", 3000, 7),
        request("GET", "/pull/a", "warm-pull", 3000),
        request("GET", "/read/a", "warm-read", 3000),
    ], 20.0)
    if has_trouble():
        owner = next(target for target in targets if target.holds_key("7"))
        owner.factor = SLOW_FACTOR
        record.write(f"{owner.name}, one of the three targets of vault, turns slow")
    found: dict[str, str] = {}
    await asyncio.gather(*(consumer(gateway, record, n, found) for n in range(CONNECTIONS)))
    done = set().union(*(target.done for target in targets))
    cut = set().union(*(target.cut for target in targets))
    lost = sorted(
        request_id for request_id, outcome in found.items()
        if outcome == "no answer, the connection was closed"
        and request_id in done and request_id not in cut
    )
    record.write(f"passed on to a sound target that answered whole, and closed without an "
                 f"answer: {len(lost)}: {lost}")
    print(f"requests passed on and closed without an answer: {len(lost)} (more than 3 break LOST)")
    return len(lost) > 3


if __name__ == "__main__":
    run_case(Path(sys.argv[1]), case)
