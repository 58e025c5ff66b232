"""A target starts again under its id after its machine's clock was set back, and leaves later."""

import asyncio
import itertools
import random
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
    read_body,
    read_head,
    request,
    route,
    run_case,
    wait_until_served,
)

# x of `clock_step` in the site file of cocoa-commons-gw is 2,400 ms.
CLOCK_AHEAD_S = 2.4
FIRST_LIFE_S = 1.0
DOWN_S = 0.5
CALM_S = 8.0
DRAIN_S = 2.5
SERVES_ON_S = 3.0
CONSUMERS = 60
PAUSE_S = 0.15
WORK_S = 0.2


async def consumer(
    number: int, gateways: list[Gateway], sent: dict[str, float], outcomes: dict[str, str],
    until: float,
) -> None:
    rng = random.Random(number)
    for count in itertools.count():
        if time.monotonic() >= until:
            return
        request_id = f"c{number}-{count}"
        method, path = ("POST", "/book/x") if rng.random() < 0.5 else ("GET", "/read/x")
        body = b"booking" if method == "POST" else b""
        outcomes[request_id] = "no answer"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", rng.choice(gateways).port)
            sent[request_id] = time.monotonic()
            writer.write(request(method, path, request_id, 3000, body=body))
            head = await asyncio.wait_for(read_head(reader), 5.0)
            if head is not None:
                await read_body(reader, head)
                outcomes[request_id] = head.start.split(" ")[1]
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(rng.uniform(0.0, 2.0 * PAUSE_S))


async def case(record: Record, folder: Path, gateways: list[Gateway]) -> bool:
    store = Store()
    await store.start()
    targets = [
        Target(store, record, f"i-desk{n}", "desk", "east-1", lambda path: (WORK_S, 300))
        for n in range(8)
    ]
    for target in targets[1:]:
        await target.start()
    store.put("op", "config", configuration(
        1,
        [route("read", "safe", "/read/", "desk", 2000, 2),
         route("book", "unsafe", "/book/", "desk", 2000, 2)],
        [cluster("desk")],
    ))
    for number in range(2):
        gateways.append(Gateway(store, folder, f"front-{number + 1}", "east-1"))
        await gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_until_ready()
        await wait_until_served(gateway, [request("GET", "/read/a", "warm", 3000)], 20.0)
    sent: dict[str, float] = {}
    outcomes: dict[str, str] = {}
    length_s = FIRST_LIFE_S + DOWN_S + CALM_S + DRAIN_S + SERVES_ON_S + 1.0
    running = [
        asyncio.ensure_future(
            consumer(n, gateways, sent, outcomes, time.monotonic() + length_s))
        for n in range(CONSUMERS)
    ]
    leaver = targets[0]
    ahead_s = CLOCK_AHEAD_S if has_trouble() else 0.0
    await leaver.start(ahead_s)
    record.write(f"{leaver.name} starts, the clock of its machine is {ahead_s} s ahead")
    await asyncio.sleep(FIRST_LIFE_S)
    leaver.stop()
    record.write(f"{leaver.name} crashes; the clock of its machine is set right")
    await asyncio.sleep(DOWN_S)
    await leaver.start()
    again_at = time.monotonic()
    record.write(f"{leaver.name} starts again under its id")
    await asyncio.sleep(CALM_S)
    leaver.leave()
    left_at = time.monotonic()
    record.write(f"{leaver.name} reports draining, the store acks")
    await asyncio.sleep(DRAIN_S + SERVES_ON_S)
    leaver.stop()
    leaver.drop_entry()
    record.write(f"{leaver.name} ends")
    await asyncio.gather(*running)
    used = [i for i, at in leaver.arrived_at.items() if again_at < at < left_at]
    late = [i for i, at in leaver.arrived_at.items() if at > left_at + DRAIN_S]
    if not used:
        raise CannotRun(f"{leaver.name} got no requests before it left")
    for request_id in late:
        record.write(f"{request_id} reached {leaver.name} "
                     f"{leaver.arrived_at[request_id] - left_at:.2f} s after the ack; the consumer "
                     f"got: {outcomes.get(request_id)}")
    lost = [i for i in late if i in leaver.began_at and i not in leaver.done]
    record.write(f"requests that reached the second life of {leaver.name} before it left: {len(used)}; "
                 f"later than {DRAIN_S} s after the ack: {len(late)}; of these, broken off at work "
                 f"by its end: {len(lost)}: {[(i, outcomes.get(i)) for i in lost]}")
    print(f"requests later than drain_ms after the ack: {len(late)}, broken off: {len(lost)}")
    return len(late) > 0


if __name__ == "__main__":
    run_case(Path(sys.argv[1]), case)
