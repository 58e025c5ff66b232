"""A part of a second copy of an answer becomes the start of the next answer on the connection.

The gateway gives a client the status of the earlier answer with the header fields, the signature
and the body of the next one.
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
# Site file nilewatch-gw: requests to nightvault a second, time budget, mean work of trip-book.
REQUESTS_PER_S = 120.0
DEADLINE_MS = 1000
MEAN_WORK_S = 0.072
# Site file nilewatch-gw: srv_grey with share = 0.14 and x = 0.45, one target of eight here;
# garble "extra" with share = 0.35 and x = 0.02, two targets of eight here.
GREY_TARGETS = 1
FAILURE_SHARE = 0.45
GARBLED_TARGETS = 2
GARBLE_SHARE = 0.02
# Longest of both kinds in that file: 6.5 s and 6.56 s.
TROUBLE_S = 6.5
PAUSE_S = 0.5
ROUNDS = 12
PROMISES = (408, 421, 429, 503)


class FaultyTarget(Target):
    """Fails a share of its requests, and sends the start of a second copy after some answers."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.is_keyed = True
        self.is_grey = self.garbles = False
        self.status_by_id: dict[str, int] = {}
        self._rng = Random(self.name)

    async def work(self, head: Head, body_reader) -> tuple[int, bytes]:
        await body_reader()
        await asyncio.sleep(MEAN_WORK_S * self._rng.uniform(0.7, 1.3))
        request_id = head.fields["x-request-id"]
        fails = self.is_grey and self._rng.random() < FAILURE_SHARE
        self.status_by_id[request_id] = 500 if fails else 200
        return self.status_by_id[request_id], f"{'failed' if fails else 'booked'} {request_id}".encode()

    def send(self, writer: asyncio.StreamWriter, answer: bytes, status: int) -> None:
        extra = b""
        if self.garbles and self._rng.random() < GARBLE_SHARE:
            # A second copy that breaks off in its status line.
            extra = answer[: len("HTTP/1.1 200 O")]
            self.record(f"{self.name} sends {extra!r} after this answer")
        writer.write(answer + extra)


async def play(record, folder, started) -> bool:
    store = Store()
    await store.start()
    put_configuration(
        store, [rule("r-trip-book", "unsafe", "/yele63/", SERVICE, 400, DEADLINE_MS)],
        [cluster(SERVICE, is_keyed=True)],
    )
    zones = ("delta-a", "delta-b")
    targets = [
        FaultyTarget(store, record, f"i-{number:010x}", SERVICE, zones[number % 2])
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
            for target in targets[:GREY_TARGETS]:
                target.is_grey = True
            for target in targets[:GARBLED_TARGETS]:
                target.garbles = True
            await asyncio.sleep(TROUBLE_S)
            for target in targets:
                target.is_grey = target.garbles = False
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

    status_by_id = {i: status for target in targets for i, status in target.status_by_id.items()}
    served = sum(answer.status == 200 for answer in answers.values())
    record(f"{served} of {len(answers)} requests were served")
    if served < len(answers) / 4:
        raise CannotRunError("hardly any request was served")
    broken = False
    for request_id, answer in answers.items():
        given = status_by_id.get(request_id)
        is_signed = "x-response-signature" in answer.headers
        if 200 <= answer.status < 300 and given != answer.status:
            record(f"MIXED: {request_id} got a success, the target had answered with {given}")
            broken = True
        elif answer.status >= 300 and is_signed and given != answer.status:
            record(f"MIXED: {request_id} got {answer.status}, signed, the target had given {given}")
            broken = True
        if answer.status in PROMISES and given is not None:
            record(f"REFUSED: {request_id} was answered {answer.status} and has run")
            broken = True
    return not broken


main(CASE, play)
