"""Stand-ins for a small deployment on loopback: store, targets, clients, and gateway processes.

Only the standard library is used. The stand-ins follow the users' pages and run in one process;
each gateway is a process of its own, started with the command of the deploy file.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
KEY_COUNT = 65_536
HEARTBEAT_S = 1.5
HISTORY_S = 20.0
# A case may take 120 s; the rest is for its end.
LONGEST_PLAY_S = 112.0
REASONS = {
    200: "OK",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class CannotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        print(f"{time.monotonic() - self._start:8.3f}  {text}", file=self._file, flush=True)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def message(start: str, headers: dict[str, str], body: bytes | None = None) -> bytes:
    """Return an HTTP/1.1 message with a body of known length, or only its head."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    return message(f"HTTP/1.1 {status} {REASONS[status]}", headers, body)


@dataclass
class Head:
    """Start line and header fields of a message; names are in lower case."""

    start: str
    fields: dict[str, str] = field(default_factory=dict)

    @property
    def method(self) -> str:
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head, or None if the connection ends first."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Head(lines[0], {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return the whole body that follows ``head``."""
    if "content-length" in head.fields:
        return await reader.readexactly(int(head.fields["content-length"]))
    if "chunked" not in head.fields.get("transfer-encoding", ""):
        return b""
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"0", 16)
        data = await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return b"".join(parts)
        parts.append(data)


class Store:
    """The platform's store: rows with one version counter, conditional writes and a feed."""

    def __init__(self) -> None:
        self.port = 0
        self._rows: dict[tuple[str, str], dict] = {}
        self._version = 0
        self._born = time.monotonic()
        self._oldest_kept = 0
        self._changes: list[tuple[float, int]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, document: object) -> None:
        self._apply([(table, key, b64encode(json.dumps(document).encode()).decode())])

    def remove(self, table: str, key: str) -> None:
        self._apply([(table, key, None)])

    def document(self, table: str, key: str) -> dict | None:
        row = self._rows.get((table, key))
        if row is None or "value" not in row:
            return None
        return json.loads(b64decode(row["value"]))

    def _apply(self, writes: list[tuple[str, str, str | None]]) -> None:
        self._version += 1
        now = time.monotonic()
        for table, key, value in writes:
            row = {"table": table, "part": "", "key": key, "ver": self._version}
            row |= {"value": value} if value is not None else {"tombstone": True}
            self._rows[table, key] = row
        self._changes.append((now, self._version))
        while self._changes[0][0] < now - HISTORY_S:
            self._oldest_kept = self._changes.pop(0)[1]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                status, document = await self._answer(head, body)
                document |= {
                    "ver": document.get("ver", self._version),
                    "now_ms": int(1000 * (time.monotonic() - self._born)),
                }
                headers = {"Content-Type": "application/json"}
                writer.write(response(status, headers, json.dumps(document).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: Head, body: bytes) -> tuple[int, dict]:
        url = urlsplit(head.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/damasktide/rows-tx":
            await asyncio.sleep(0.003)
            return self._write(json.loads(body))
        if url.path == "/damasktide/rows-get":
            rows = sorted(
                (row for (table, _), row in self._rows.items() if table == query["table"]),
                key=lambda row: row["key"],
            )
            first, limit = query.get("from", ""), min(500, int(query.get("limit", 500)))
            rows = [row for row in rows if row["key"] >= first and "value" in row]
            return 200, {"rows": rows[:limit], "has_more": len(rows) > limit}
        if url.path == "/damasktide/rows-feed":
            return await self._feed(query["table"], int(query["after"]), int(query["wait_ms"]))
        return 404, {}

    def _write(self, document: dict) -> tuple[int, dict]:
        writes = [*document.get("put", ()), *document.get("remove", ())]
        if any(row["table"] in ("op", "servers") for row in writes):
            return 403, {}
        current = []
        for expected in document.get("expected_rev", ()):
            row = self._rows.get((expected["table"], expected["key"]), {"ver": 0})
            if expected["ver"] != (row["ver"] if "tombstone" not in row else 0):
                current.append(row)
        if current:
            return 412, {"rows": [row for row in current if "value" in row]}
        self._apply([(row["table"], row["key"], row.get("value")) for row in writes])
        return 200, {}

    async def _feed(self, table: str, after: int, wait_ms: int) -> tuple[int, dict]:
        until = time.monotonic() + min(wait_ms, 30_000) / 1000
        while True:
            if after < self._oldest_kept:
                return 410, {}
            rows = [
                row for (name, _), row in self._rows.items() if name == table and row["ver"] > after
            ]
            remaining_s = until - time.monotonic()
            if rows or remaining_s <= 0:
                return 200, {"rows": sorted(rows, key=lambda row: row["ver"])}
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                pass


@dataclass
class Run:
    """One execution of a request at a target."""

    request_id: str
    target: str
    started_at: float
    method: str
    path: str


class Target:
    """A target with slots, a queue, and keys that it holds by fenced grants.

    A case changes its behaviour by overriding :meth:`work`, :meth:`reject`, :meth:`send` and
    :meth:`before_answer`.
    """

    slots = 6
    queue = 24

    def __init__(self, store: Store, record: Record, name: str, service: str, zone: str) -> None:
        self.name = name
        self.record = record
        self.runs: list[Run] = []
        self.port = 0
        self.receive_buffer: int | None = None
        self.is_keyed = False
        self._store = store
        self._service = service
        self._zone = zone
        self._running = self._waiting = 0
        self._free = asyncio.Semaphore(self.slots)
        self._holds: list[tuple[int, int, int, float]] = []
        self._fences: list[tuple[int, int, int]] = []
        self._keys_at_work: list[int] = []
        self._born = int(time.time() * 1000)

    async def start(self) -> None:
        sock = socket.socket()
        if self.receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.bind(("127.0.0.1", 0))
        self.port = sock.getsockname()[1]
        await asyncio.start_server(self._serve, sock=sock, limit=32_768)
        asyncio.ensure_future(self._check_in())

    def holds(self, key: int) -> bool:
        now = time.monotonic()
        return any(first <= key <= last and until > now for first, last, _, until in self._holds)

    async def work(self, head: Head, body_reader) -> tuple[int, bytes]:
        """Run a request; return status and body. ``await body_reader()`` returns its body."""
        await body_reader()
        await asyncio.sleep(0.05)
        return 200, f"{head.method} {head.target}".encode()

    def reject(self, head: Head) -> int | None:
        """Return a status if the target rejects the request without running it."""
        key = head.fields.get("x-shard-key")
        if self.is_keyed and not (key is not None and self.holds(int(key))):
            return 421
        if self._waiting >= self.queue:
            return 503
        return None

    def send(self, writer: asyncio.StreamWriter, answer: bytes, status: int) -> None:
        """Write a complete answer."""
        writer.write(answer)

    def before_answer(self, writer: asyncio.StreamWriter) -> None:
        """Called when the head of a request has been read, before it is run or rejected."""

    async def _check_in(self) -> None:
        for seq in range(1, 10_000):
            self._store.put(
                "servers",
                self.name,
                {
                    "address": f"127.0.0.1:{self.port}",
                    "born": self._born,
                    "info": {
                        "service": self._service,
                        "version": "v1",
                        "zone": self._zone,
                        "concurrency": self.slots,
                    },
                    "status": {"state": "ready", "seq": seq, "warmup_left_ms": 0},
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                await self._answer(head, reader, writer)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            # The connection ended, or what came was no request.
            pass
        finally:
            writer.close()

    async def _answer(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if head.fields.get("x-expected-instance", self.name) != self.name:
            await read_body(reader, head)
            writer.write(response(421, {"X-Instance-Id": self.name}))
            return
        if head.target in ("/damasktide/grant", "/damasktide/release"):
            command = json.loads(await read_body(reader, head))
            is_grant = head.target.endswith("grant")
            writer.write(self._grant(command) if is_grant else await self._release(command))
            return
        await self._answer_request(head, reader, writer)

    async def _answer_request(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_id = head.fields.get("x-request-id", "")
        self.before_answer(writer)
        headers = {"X-Request-Id": request_id, "X-Server-Load": self._load()}
        rejected = self.reject(head)
        if rejected is not None:
            await read_body(reader, head)
            self.record(f"{self.name} rejects {request_id}: {rejected}, not run")
            headers["X-Not-Executed"] = "1"
            self.send(writer, response(rejected, headers), rejected)
            return
        is_body_read = False

        async def read_request_body() -> bytes:
            nonlocal is_body_read
            is_body_read = True
            return await read_body(reader, head)

        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            key = int(head.fields.get("x-shard-key", -1))
            self._keys_at_work.append(key)
            try:
                run = Run(request_id, self.name, time.monotonic(), head.method, head.target)
                self.runs.append(run)
                self.record(f"{self.name} runs {request_id}")
                status, body = await self.work(head, read_request_body)
            finally:
                self._running -= 1
                self._keys_at_work.remove(key)
        headers["X-Response-Signature"] = SIGNATURE
        headers["X-Server-Load"] = self._load()
        self.record(f"{self.name} answers {request_id}: {status}, signed, {len(body)} bytes")
        self.send(writer, response(status, headers, body), status)
        if not is_body_read:
            # Reads on later, so that the connection can be kept.
            await writer.drain()
            await read_request_body()

    def _load(self) -> str:
        return f"{self._running},{self._waiting},{self.slots}"

    def _grant(self, command: dict) -> bytes:
        first, last, fence = command["from"], command["to"], command["fence"]
        if any(a <= last and first <= b and seen > fence for a, b, seen in self._fences):
            return response(409, {})
        self._fences = [
            seen for seen in self._fences if seen[0] < first or seen[1] > last
        ]
        self._fences.append((first, last, fence))
        self._drop(first, last)
        self._holds.append((first, last, fence, time.monotonic() + command["hold_ms"] / 1000))
        return response(200, {})

    async def _release(self, command: dict) -> bytes:
        first, last = command["from"], command["to"]
        self._drop(first, last)
        while any(first <= key <= last for key in self._keys_at_work):
            await asyncio.sleep(0.005)
        return response(200, {"X-Handover": f"{self.name}-{command['from']}"})

    def _drop(self, first: int, last: int) -> None:
        holds = []
        for a, b, fence, until in self._holds:
            if a < first:
                holds.append((a, min(b, first - 1), fence, until))
            if b > last:
                holds.append((max(a, last + 1), b, fence, until))
        self._holds = holds


@dataclass
class Answer:
    """What a client received; ``status`` is 0 if the connection ended without an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Client:
    """A consumer, with one connection for each request unless it is given an open one."""

    def __init__(self, record: Record, name: str) -> None:
        self._record = record
        self._name = name

    async def send(
        self,
        port: int,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        chunk_bytes: int | None = None,
        chunk_interval_s: float = 0.0,
    ) -> Answer:
        """Send a request and return the answer; the body goes in chunks if a size is given."""
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Request-Deadline": str(deadline_ms),
            **(headers or {}),
        }
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self._record(f"{self._name} sends {request_id}: {method} {path}")
        sending = None
        try:
            start = f"{method} {path} HTTP/1.1"
            if chunk_bytes is None:
                writer.write(message(start, fields, body))
            else:
                writer.write(message(start, {**fields, "Transfer-Encoding": "chunked"}))
                sending = asyncio.ensure_future(send_chunks(writer, body or b"", chunk_bytes, chunk_interval_s))
            answer = await asyncio.wait_for(self._receive(reader), deadline_ms / 1000 + 2.0)
        except TimeoutError:
            answer = Answer(0)
        finally:
            if sending is not None:
                sending.cancel()
            writer.close()
        signature = answer.headers.get("x-response-signature", "none")
        text = f"status {answer.status}, signature {signature}, body {answer.body[:80]!r}"
        self._record(f"{self._name} gets for {request_id}: {text}")
        return answer

    @staticmethod
    async def _receive(reader: asyncio.StreamReader) -> Answer:
        head = await read_head(reader)
        if head is None:
            return Answer(0)
        try:
            return Answer(head.status, head.fields, await read_body(reader, head))
        except (OSError, asyncio.IncompleteReadError):
            return Answer(0)


async def send_chunks(
    writer: asyncio.StreamWriter, body: bytes, chunk_bytes: int, interval_s: float
) -> None:
    """Send a chunked body at an even pace; its end comes an interval after the last chunk."""
    try:
        for start in range(0, len(body), chunk_bytes):
            data = body[start : start + chunk_bytes]
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(interval_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    except OSError:
        pass


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, store: Store, name: str, zone: str, folder: Path, store_port: int = 0) -> None:
        self.name = name
        self.port, self.readiness_port, self.peer_port = (free_port() for _ in range(3))
        self._log = (folder / f"{name}.log").open("ab")
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(self._text(store_port or store.port, name, zone), encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "DAMASKTIDE_CONFIG": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process = await asyncio.create_subprocess_exec(
            *"python3 platform/start.py run".split(),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    async def wait_until_ready(self, timeout_s: float = 30.0) -> None:
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.process is not None and self.process.returncode is not None:
                raise CannotRunError(f"{self.name} ended at its start; was the deploy file built?")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness_port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            writer.write(message("GET /damasktide/readiness HTTP/1.1", {"Host": HOST}))
            head = await read_head(reader)
            writer.close()
            if head is not None and head.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} did not become ready")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def _text(self, store_port: int, name: str, zone: str) -> str:
        return "\n".join(
            (
                f"node_name={name}",
                "role=gateway",
                "machine_class=front",
                "serves=front",
                "ip=127.0.0.1",
                f"zone={zone}",
                "region=north-delta",
                "zones.delta-a=north-delta",
                "zones.delta-b=north-delta",
                f"endpoints.front=127.0.0.1:{self.port}",
                f"endpoints.readiness=127.0.0.1:{self.readiness_port}",
                f"internal_ports={self.peer_port},{self.peer_port}",
                "first_start=true",
                "limits.cpu_share=0.86",
                "limits.vcpus=1",
                "limits.memory_mb=300",
                "limits.max_fds=4100",
                "limits.link_mbps=1000.0",
                "heartbeat_ms=1500",
                "clauses=base,drain,config,cost,retry,recover,own,places,platform",
                "parameters=seed_lag_s=3,addr_reuse_s=2,contact_ms=4000,ack_ms=4000,sync_s=4,"
                "drain_ms=2500,grace_s=6,loss_slack_ms=200,apply_ms=2500,revert_slack_ms=250,"
                "outer_ms=5000,retry_ratio=0.2,retry_window_s=10,retry_slack=60,"
                "warmup_factor=1.5,warmup_slack=5,evacuation_ms=5000,recovery_s=15,"
                "hold_max_ms=10000,thaw_ms=300",
                "grants=call",
                f"provider.address=127.0.0.1:{store_port}",
                "provider.form=table",
                "provider.writes_per_s=400",
                "provider.reads_per_s=2000",
                "provider.row_bytes=65536",
                "provider.history_s=20",
            )
        ) + "\n"


def rule(name: str, kind: str, prefix: str, service: str, slo_ms: int, timeout_ms: int) -> dict:
    return {
        "name": name,
        "route_type": kind,
        "slo_ms": slo_ms,
        "priority": 1,
        "match": {"prefix": prefix},
        "action": {
            "service": service,
            "timeout_ms": timeout_ms,
            "max_attempts": 2,
            "allowed_regions": [],
        },
    }


def cluster(name: str, is_keyed: bool = False) -> dict:
    document = {
        "name": name,
        "health_path": "/health",
        "max_conns": 120,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 3.0,
        "warmup_per_s": 19.0,
    }
    return document | {"shard_enabled": True, "warm_s": 5.0, "grants": "call"} if is_keyed else document


def put_configuration(store: Store, rules: list[dict], clusters: list[dict]) -> None:
    store.put(
        "op",
        "config",
        {
            "version": "00000007",
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 67_108_864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15_000,
            },
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": clusters,
        },
    )


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def main(case_folder: Path, play) -> None:
    """Play a case; exit with 1 if a rule was broken, 0 if it held, 2 if it couldn't run.

    ``play(record, folder, started)`` returns whether the rule held; each process that it adds to
    ``started`` is killed at the end.
    """
    record = Record(case_folder / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="damasktide-review-"))
    started: list[Gateway] = []

    async def run() -> int:
        playing = asyncio.ensure_future(play(record, folder, started))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            return 0 if await asyncio.wait_for(playing, LONGEST_PLAY_S) else 1
        except (Exception, asyncio.CancelledError) as error:
            # Whatever stops a case, it has shown nothing.
            record(f"could not run: {error!r}")
            return 2
        finally:
            for gateway in started:
                await gateway.kill()

    code = asyncio.run(run())
    record(("the rule held", "the rule was broken", "the case could not run")[code])
    keep = os.environ.get("KEEP_LOGS")
    if keep:
        shutil.copytree(folder, keep, dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    print((case_folder / "record.txt").read_text(encoding="utf-8").splitlines()[-1])
    sys.exit(code)
