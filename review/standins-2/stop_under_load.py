"""Planned stops of gateways, in turn, while the targets of a service are busy."""

import asyncio
import random
import signal
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

# The route `deck-list-read` of mvmcpa-gate-grown.
TIMEOUT_MS = 6000
BUDGET_MS = 10_000
OBJECTIVE_MS = 8000
WORK_S = 1.3
TARGETS = 2
GATEWAYS = 3
CONSUMERS = 180
# Mean pause of a consumer between two requests on its kept connection.
PAUSE_S = 8.0
GRACE_S = 6.0
WARM_S = 12.0
# Time from one stop to the next; the stopped gateway starts again meanwhile.
STOP_GAP_S = 16.0


class Balancer:
    """The platform's ingress: two readiness checks without a 200 take a gateway out."""

    def __init__(self, gateways: list[Gateway]) -> None:
        self._gateways = gateways
        self._misses = dict.fromkeys(gateways, 0)

    async def run(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for gateway in self._gateways:
                asyncio.ensure_future(self._check(gateway))

    async def _check(self, gateway: Gateway) -> None:
        self._misses[gateway] = 0 if await gateway.is_ready() else self._misses[gateway] + 1

    def choose(self, rng: random.Random) -> Gateway:
        usable = [gateway for gateway, misses in self._misses.items() if misses < 2]
        if 2 * len(usable) < len(self._gateways):
            usable = self._gateways
        return rng.choice(usable)


class Outcome:
    """One request of a consumer."""

    def __init__(self, request_id: str, gateway: Gateway) -> None:
        self.request_id, self.gateway = request_id, gateway
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.status = ""


class Consumer:
    """Sends a request now and then on a kept connection, and once more after a refusal."""

    def __init__(self, number: int, balancer: Balancer, outcomes: list[Outcome]) -> None:
        self._name, self._balancer, self._outcomes = f"c{number}", balancer, outcomes
        self._rng = random.Random(number)
        self._count = 0
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._gateway: Gateway | None = None

    async def run(self, until: float) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, PAUSE_S))
        while time.monotonic() < until:
            retry_after_s = await self._send()
            if retry_after_s is not None:
                await asyncio.sleep(retry_after_s)
                self._close()
                await self._send()
            await asyncio.sleep(self._rng.expovariate(1.0 / PAUSE_S))
        self._close()

    async def _send(self) -> float | None:
        """Send a request; return the seconds of Retry-After if it was refused."""
        if self._connection is not None and self._connection[0].at_eof():
            self._close()
        if self._connection is None:
            self._gateway = self._balancer.choose(self._rng)
            try:
                self._connection = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", self._gateway.port), 1.0)
            except (OSError, TimeoutError):
                return None
        reader, writer = self._connection
        self._count += 1
        outcome = Outcome(f"{self._name}-{self._count}", self._gateway)
        self._outcomes.append(outcome)
        retry_after_s = None
        try:
            writer.write(request("GET", "/deck/x", outcome.request_id, BUDGET_MS))
            head = await asyncio.wait_for(read_head(reader), BUDGET_MS / 1000.0)
            if head is None:
                raise ConnectionError("closed")
            await read_body(reader, head)
            outcome.status = head.start.split(" ")[1]
            if outcome.status == "503":
                retry_after_s = float(head.fields.get("retry-after", "0.5"))
            if head.fields.get("connection", "").lower() == "close":
                self._close()
        except TimeoutError:
            outcome.status = "no answer in time"
            self._close()
        except (OSError, asyncio.IncompleteReadError):
            outcome.status = "closed"
            self._close()
        outcome.ended_at = time.monotonic()
        return retry_after_s

    def _close(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


async def stop_in_turn(
    record: Record, gateways: list[Gateway], stopped_at: dict[Gateway, float]
) -> None:
    for gateway in gateways:
        if has_trouble():
            stopped_at[gateway] = time.monotonic()
            record.write(f"SIGTERM to {gateway.name}")
            gateway.signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(gateway.process.wait(), GRACE_S)
            except TimeoutError:
                record.write(f"SIGKILL to {gateway.name}")
                await gateway.kill()
            record.write(f"{gateway.name} has ended with code {gateway.process.returncode}")
            await gateway.start()
            await gateway.wait_until_ready()
            record.write(f"{gateway.name} is ready again")
            await asyncio.sleep(max(0.0, stopped_at[gateway] + STOP_GAP_S - time.monotonic()))
        else:
            await asyncio.sleep(STOP_GAP_S)


async def case(record: Record, folder: Path, gateways: list[Gateway]) -> bool:
    store = Store()
    await store.start()
    targets = [
        Target(store, record, f"i-deck{n}", "decks", "east-1", lambda path: (WORK_S, 2000))
        for n in range(TARGETS)
    ]
    for target in targets:
        await target.start()
    rule = route("deck", "safe", "/deck/", "decks", TIMEOUT_MS, 2) | {"slo_ms": OBJECTIVE_MS}
    store.put("op", "config", configuration(1, [rule], [cluster("decks")]))
    for number in range(GATEWAYS):
        gateways.append(Gateway(store, folder, f"front-{number + 1}", "east-1"))
        await gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_until_ready()
        await wait_until_served(gateway, [request("GET", "/deck/a", "warm", 3000)], 20.0)
    balancer = Balancer(gateways)
    checks = asyncio.ensure_future(balancer.run())
    outcomes: list[Outcome] = []
    stopped_at: dict[Gateway, float] = {}
    until = time.monotonic() + WARM_S + GATEWAYS * STOP_GAP_S
    consumers = [asyncio.ensure_future(Consumer(n, balancer, outcomes).run(until))
                 for n in range(CONSUMERS)]
    await asyncio.sleep(WARM_S)
    await stop_in_turn(record, gateways, stopped_at)
    await asyncio.wait(consumers, timeout=12.0)
    checks.cancel()
    return judge(record, targets, outcomes, stopped_at)


def judge(
    record: Record, targets: list[Target], outcomes: list[Outcome],
    stopped_at: dict[Gateway, float],
) -> bool:
    """Count the requests that LOST, around planned work, counts."""
    arrived = {i: at for target in targets for i, at in target.arrived_at.items()}
    began = {i: at for target in targets for i, at in target.began_at.items()}
    counts: dict[str, int] = {}
    lost = 0
    for outcome in outcomes:
        counts[outcome.status] = counts.get(outcome.status, 0) + 1
        stop = stopped_at.get(outcome.gateway)
        line = (f"{outcome.request_id} by {outcome.gateway.name}: {outcome.status}, "
                f"{outcome.ended_at - outcome.sent_at:.2f} s after it was sent")
        if outcome.status != "closed" or stop is None or outcome.request_id not in arrived:
            record.write(line)
            continue
        # Not counted: the timeout was reached; a target at work in the last sixth of the grace.
        is_late = outcome.ended_at - outcome.sent_at >= TIMEOUT_MS / 1000.0
        is_around_stop = stop <= outcome.ended_at <= stop + GRACE_S + 1.0
        was_at_work = outcome.request_id in began
        record.write(f"{line}; sent {outcome.sent_at - stop:.2f} s and closed "
                     f"{outcome.ended_at - stop:.2f} s after SIGTERM; passed on to a target, "
                     f"which had {'begun' if was_at_work else 'not begun'} to work on it")
        lost += is_around_stop and not is_late and not was_at_work
    if counts.get("200", 0) < 100:
        raise CannotRun(f"too few answers: {counts}")
    record.write(f"outcomes: {counts}")
    record.write(f"passed on, and the connection ended without an answer: {lost}")
    print(f"outcomes: {counts}; passed on and ended without an answer around a stop: {lost}")
    return lost > 0


if __name__ == "__main__":
    run_case(Path(sys.argv[1]), case)
