"""A late second copy of a rejection is taken for the answer to the next try of the same request.

The service is divided by key, so a rejected request is tried again at the same target, on the same
connection and with the same id.
"""

import asyncio
import sys
from pathlib import Path
from random import Random

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from lab import (  # noqa: E402
    Answer,
    CannotRunError,
    Client,
    Gateway,
    Head,
    Store,
    Target,
    cluster,
    has_trouble,
    main,
    put_configuration,
    rule,
)

SERVICE = "nightvault"
PATH = "/yele63/1"
TARGETS = 8
# Site file nilewatch-gw: requests of trip-book a second, time budget, longest work.
REQUESTS_PER_S = 55.7
DEADLINE_MS = 1000
MEAN_WORK_S = 0.072
# Site file nilewatch-gw: srv_grey "shed all" with x = 0.55, garble "extra late" with share = 0.6
# and x = 0.03. Both last 5 s here, with pauses of 1 s.
SHED_SHARE = 0.55
GARBLED_TARGETS = int(0.6 * TARGETS)
GARBLE_SHARE = 0.03
TROUBLE_S = 5.0
PAUSE_S = 1.0
ROUNDS = 14
PROMISES = (408, 421, 429, 503)


class GreyTarget(Target):
    """Rejects a share of its requests, and sends a share of its answers twice, the copy late."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.is_keyed = True
        self.sheds = self.garbles = False
        self._rng = Random(self.name)
        self._late_copies: dict[asyncio.StreamWriter, bytes] = {}

    async def work(self, head: Head, body_reader) -> tuple[int, bytes]:
        await body_reader()
        await asyncio.sleep(MEAN_WORK_S * self._rng.uniform(0.7, 1.3))
        return 200, f"booked {head.fields['x-request-id']}".encode()

    def reject(self, head: Head) -> int | None:
        status = super().reject(head)
        if status is None and self.sheds and self._rng.random() < SHED_SHARE:
            return 503
        return status

    def send(self, writer: asyncio.StreamWriter, answer: bytes, status: int) -> None:
        super().send(writer, answer, status)
        if self.garbles and self._rng.random() < GARBLE_SHARE:
            self._late_copies[writer] = answer

    def before_answer(self, writer: asyncio.StreamWriter) -> None:
        # An extra response arrives late, at the point where the next response is expected.
        copy = self._late_copies.pop(writer, None)
        if copy is not None:
            status, request_id = (line.decode() for line in copy.split(b"\r\n")[:2])
            self.record(f"{self.name} sends a late second copy of: {status}, {request_id}")
            writer.write(copy)


async def play(record, folder, started) -> bool:
    store = Store()
    await store.start()
    put_configuration(
        store, [rule("r-trip-book", "unsafe", "/yele63/", SERVICE, 400, DEADLINE_MS)],
        [cluster(SERVICE, is_keyed=True)],
    )
    zones = ("delta-a", "delta-b")
    targets = [
        GreyTarget(store, record, f"i-{number:010x}", SERVICE, zones[number % 2])
        for number in range(TARGETS)
    ]
    for target in targets:
        await target.start()
    gateways = [Gateway(store, f"front-{zone}-1", zone, folder) for zone in zones]
    for gateway in gateways:
        started.append(gateway)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    client = Client(record, "client")
    for number in range(300):
        key = str(Random(number).randrange(65_536))
        answer = await client.send(
            gateways[0].port, "DELETE", PATH, f"warm-{number}", DEADLINE_MS, {"X-Shard-Key": key}
        )
        if answer.status == 200 and number >= 20:
            break
        await asyncio.sleep(0.05)
    else:
        raise CannotRunError("the keys were not granted")

    rng = Random(1)
    answers: dict[str, Answer] = {}

    async def request(number: int) -> None:
        request_id = f"{number:016x}"
        key = str(rng.randrange(65_536))
        port = rng.choice(gateways).port
        answers[request_id] = await client.send(
            port, "DELETE", PATH, request_id, DEADLINE_MS, {"X-Shard-Key": key}
        )

    async def troubles() -> None:
        for _ in range(ROUNDS):
            for target in targets:
                target.sheds = True
            for target in targets[:GARBLED_TARGETS]:
                target.garbles = True
            await asyncio.sleep(TROUBLE_S)
            for target in targets:
                target.sheds = target.garbles = False
            await asyncio.sleep(PAUSE_S)

    if has_trouble():
        trouble = asyncio.ensure_future(troubles())
    pending = []
    for number in range(int(REQUESTS_PER_S * ROUNDS * (TROUBLE_S + PAUSE_S))):
        pending.append(asyncio.ensure_future(request(number)))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    await asyncio.gather(*pending)
    if has_trouble():
        await trouble

    runs: dict[str, int] = {}
    for target in targets:
        for run in target.runs:
            runs[run.request_id] = runs.get(run.request_id, 0) + 1
    served = sum(answer.status == 200 for answer in answers.values())
    record(f"{served} of {len(answers)} requests were served")
    if served < len(answers) / 4:
        raise CannotRunError("hardly any request was served")
    broken = False
    for request_id, answer in answers.items():
        count = runs.get(request_id, 0)
        if answer.status in PROMISES and count:
            record(f"REFUSED: {request_id} was answered {answer.status} and has run")
            broken = True
        if count > 1:
            record(f"TWICE: {request_id} ran {count} times")
            broken = True
    return not broken


main(CASE, play)
