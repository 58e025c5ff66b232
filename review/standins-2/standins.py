"""Stand-ins of the platform, of targets and of consumers, for the scripts of the review.

Only the standard library is used. Store and targets run in the event loop of the script; the
gateways are the project's own program, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
CHECK_IN_S = 0.87
START_TIMEOUT_S = 40.0
REASONS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 404: "Not Found"}


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


@dataclass
class Head:
    """Start line and header fields of a message; names are in lower case."""

    start: str
    fields: dict[str, str] = field(default_factory=dict)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head, or None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0], fields)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return the complete body of a message with a length or in chunks."""
    if "chunked" in head.fields.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(head.fields.get("content-length", "0")))


def encode(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: rows, transactions and feeds, linearizable and durable."""

    def __init__(self) -> None:
        self._row: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._started = time.monotonic()
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, document: object) -> None:
        """Write a row, as the operator or a target does."""
        self._apply([((table, "", key), json.dumps(document).encode())])

    def drop(self, table: str, key: str) -> None:
        """Remove a row, as a target that has left does."""
        self._apply([((table, "", key), None)])

    def document(self, table: str, key: str) -> dict | None:
        value, _ = self._row.get((table, "", key), (None, 0))
        return None if value is None else json.loads(value)

    def _apply(self, writes: list[tuple[tuple[str, str, str], bytes | None]]) -> None:
        self._version += 1
        for row_id, value in writes:
            self._row[row_id] = (value, self._version)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                status, document = await self._answer(head, body)
                document |= {"ver": document.get("ver", self._version),
                             "now_ms": int(1000 * (time.monotonic() - self._started))}
                writer.write(encode(status, {"Content-Type": "application/json"},
                                    json.dumps(document).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: Head, body: bytes) -> tuple[int, dict]:
        await asyncio.sleep(0.004)
        url = urlsplit(head.start.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/damasktide/rows-tx":
            return self._transact(json.loads(body))
        if url.path == "/damasktide/rows-get":
            return 200, self._get(query)
        if url.path == "/damasktide/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, document: dict) -> tuple[int, dict]:
        def row_id(row: dict) -> tuple[str, str, str]:
            return row["table"], row.get("part", ""), row["key"]

        for row in document.get("expected_rev", ()):
            value, version = self._row.get(row_id(row), (None, 0))
            if (0 if value is None else version) != row["ver"]:
                return 412, {"rows": []}
        touched = [*document.get("put", ()), *document.get("remove", ())]
        if any(row["table"] in ("op", "servers") for row in touched):
            return 403, {}
        writes = [(row_id(row), base64.b64decode(row["value"])) for row in document.get("put", ())]
        writes += [(row_id(row), None) for row in document.get("remove", ())]
        self._apply(writes)
        return 200, {}

    @staticmethod
    def _encoded(row_id: tuple[str, str, str], value: bytes | None, version: int) -> dict:
        row = {"table": row_id[0], "part": row_id[1], "key": row_id[2], "ver": version}
        if value is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(value).decode()}

    def _get(self, query: dict[str, str]) -> dict:
        first, limit = query.get("from", ""), min(500, int(query.get("limit", 500)))
        rows = sorted(
            (row_id, value, version)
            for row_id, (value, version) in self._row.items()
            if row_id[:2] == (query["table"], query.get("part", ""))
            and row_id[2] >= first and value is not None
        )
        return {"rows": [self._encoded(*row) for row in rows[:limit]],
                "has_more": len(rows) > limit}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
        while True:
            rows = sorted(
                (version, row_id, value)
                for row_id, (value, version) in self._row.items()
                if row_id[0] == query["table"] and version > after
            )
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": [self._encoded(i, v, ver) for ver, i, v in rows]}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


# Returns how long a request takes to run, in seconds, and the size of its response in bytes.
Work = Callable[[str], tuple[float, int]]


@dataclass
class Hold:
    first: int
    last: int
    fence: int
    until: float


class Target:
    """A sound target, which checks in, holds keys if its service is keyed, and runs requests.

    ``unread_s``: a response that makes no progress for so long is cut off, as the page on targets
    says. ``send_buffer``: bytes of the kernel's send buffer; links have small windows.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        zone: str,
        work: Work,
        slots: int = 6,
        is_keyed: bool = False,
        unread_s: float = 5.0,
        send_buffer: int | None = None,
    ) -> None:
        self.name, self.service, self.zone, self.work = name, service, zone, work
        self._store, self._record, self._is_keyed = store, record, is_keyed
        self._slots = asyncio.Semaphore(slots)
        self._slot_count, self._running, self._waiting = slots, 0, 0
        self._unread_s, self._send_buffer = unread_s, send_buffer
        self._holds: list[Hold] = []
        self._fences: list[tuple[int, int, int]] = []
        self._born = int(1000 * time.time())
        self._state = "ready"
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._checks: asyncio.Future | None = None
        # Number of lives that have ended.
        self._ended_lives = 0
        self.factor = 1.0
        self.port = 0
        # Ids of the requests that ran to a good end, and of those whose answers were cut off.
        self.done: set[str] = set()
        self.cut: set[str] = set()
        # Monotonic times at which requests arrived, and at which the target began to work on them.
        self.arrived_at: dict[str, float] = {}
        self.began_at: dict[str, float] = {}

    async def start(self, clock_ahead_s: float = 0.0) -> None:
        """Start a life of the target, at the address of the one before if there was one.

        ``clock_ahead_s`` is by how much the time of day of its machine is ahead.
        """
        server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        if self._send_buffer is not None:
            for sock in server.sockets:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self._send_buffer)
        self._server = server
        self.port = server.sockets[0].getsockname()[1]
        self._born = int(1000 * (time.time() + clock_ahead_s))
        self._state, self._sequence = "ready", 0
        self._checks = asyncio.ensure_future(self._check_in())

    def stop(self) -> None:
        """End the life: its connections are reset, and it holds and knows nothing any more."""
        self._ended_lives += 1
        self._checks.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._holds.clear()
        self._fences.clear()

    def leave(self) -> None:
        """Report `draining`; the store accepts it at once."""
        self._state = "draining"
        self._write_entry()

    def drop_entry(self) -> None:
        """Remove the entry, as when the target has left."""
        self._store.drop("servers", self.name)

    async def _check_in(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(CHECK_IN_S)

    def _write_entry(self) -> None:
        self._sequence += 1
        self._store.put("servers", self.name, {
            "address": f"127.0.0.1:{self.port}",
            "born": self._born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "concurrency": self._slot_count},
            "status": {"state": self._state, "seq": self._sequence, "warmup_left_ms": 0},
        })

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.set_write_buffer_limits(high=0)
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                request_id = head.fields.get("x-request-id", "")
                response = await self._answer(head, body, reader)
                if response is None:
                    return
                writer.write(response)
                if not await self._drained(writer):
                    self.cut.add(request_id)
                    self._record.write(f"{self.name} cuts off its answer to {request_id}, which "
                                       f"stayed unread for {self._unread_s} s")
                    writer.transport.abort()
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _drained(self, writer: asyncio.StreamWriter) -> bool:
        """Wait until all is written; return False if there was no progress for too long."""
        left, since = writer.transport.get_write_buffer_size(), time.monotonic()
        while left:
            await asyncio.sleep(0.01)
            if writer.transport.is_closing():
                return True
            size = writer.transport.get_write_buffer_size()
            if size < left:
                left, since = size, time.monotonic()
            elif time.monotonic() - since >= self._unread_s:
                return False
        return True

    async def _answer(
        self, head: Head, body: bytes, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Return the answer, or None if the connection was closed before the work began."""
        method, path, _ = head.start.split(" ")
        if path == "/health":
            return encode(200, {"X-Instance-Id": self.name, "X-Server-Load": self._load()})
        expected = head.fields.get("x-expected-instance")
        request_id = head.fields.get("x-request-id", "")
        fields = {"X-Request-Id": request_id} if request_id else {}
        if expected not in (None, self.name):
            return encode(421, fields | {"X-Not-Executed": "1"})
        if path == "/damasktide/grant":
            return self._grant(json.loads(body))
        if path == "/damasktide/release":
            return self._release(json.loads(body))
        fields["X-Server-Load"] = self._load()
        if self._is_keyed and not self.holds_key(head.fields.get("x-shard-key")):
            return encode(421, fields | {"X-Not-Executed": "1"})
        if self._waiting >= 4 * self._slot_count:
            return encode(503, fields | {"X-Not-Executed": "1"})
        life = self._ended_lives
        self.arrived_at.setdefault(request_id, time.monotonic())
        self._waiting += 1
        await self._slots.acquire()
        self._waiting -= 1
        if reader.at_eof():
            self._slots.release()
            self._record.write(f"{self.name} drops {request_id}, its connection was closed")
            return None
        self._running += 1
        try:
            self.began_at.setdefault(request_id, time.monotonic())
            duration_s, size = self.work(path)
            self._record.write(f"{self.name} runs {request_id} {method} {path}")
            await asyncio.sleep(duration_s * self.factor)
        finally:
            self._running -= 1
            self._slots.release()
        if life != self._ended_lives:
            self._record.write(f"{self.name} ended while it worked on {request_id}")
            return None
        self.done.add(request_id)
        mark = f"{request_id}.".encode()
        content = (mark * (size // len(mark) + 1))[:size]
        fields |= {"X-Server-Load": self._load(), "X-Response-Signature": f"sig.{request_id}"}
        return encode(200, fields, content)

    def _load(self) -> str:
        return f"{self._running},{self._waiting},{self._slot_count},{int(100 * self.factor)}"

    def holds_key(self, key: str | None) -> bool:
        now = time.monotonic()
        return key is not None and any(
            hold.first <= int(key) <= hold.last and hold.until > now for hold in self._holds
        )

    def _grant(self, command: dict) -> bytes:
        first, last, fence = command["from"], command["to"], command["fence"]
        for known_first, known_last, known_fence in self._fences:
            if known_first <= last and first <= known_last and known_fence > fence:
                return encode(409, {})
        self._fences.append((first, last, fence))
        self._drop(first, last)
        self._holds.append(Hold(first, last, fence, time.monotonic() + command["hold_ms"] / 1e3))
        return encode(200, {})

    def _release(self, command: dict) -> bytes:
        self._drop(command["from"], command["to"])
        return encode(200, {"X-Handover": f"{self.name}-{command['fence']}"})

    def _drop(self, first: int, last: int) -> None:
        kept = []
        for hold in self._holds:
            if hold.last < first or hold.first > last:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(Hold(hold.first, first - 1, hold.fence, hold.until))
            if hold.last > last:
                kept.append(Hold(last + 1, hold.last, hold.fence, hold.until))
        self._holds = kept


def route(name: str, kind: str, prefix: str, service: str, timeout_ms: int, attempts: int) -> dict:
    """Return a rule of the operator's configuration."""
    return {
        "name": name, "route_type": kind, "slo_ms": 1000, "priority": 1,
        "match": {"prefix": prefix},
        "action": {"service": service, "timeout_ms": timeout_ms, "max_attempts": attempts,
                   "allowed_regions": []},
    }


def configuration(version: int, rules: list[dict], clusters: list[dict]) -> dict:
    """Return the operator's configuration."""
    return {
        "version": f"{version:08x}",
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": clusters,
    }


def cluster(name: str, is_keyed: bool = False) -> dict:
    """Return a service of the operator's configuration."""
    found = {"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1",
             "tls": False, "warmup_s": 3.0, "warmup_per_s": 7.9}
    return found | ({"shard_enabled": True, "warm_s": 3.0, "grants": "call"} if is_keyed else {})


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Gateway:
    """The project's gateway as a process of its own, started as the deploy file says."""

    def __init__(self, store: Store, folder: Path, name: str, zone: str) -> None:
        self.name, self.zone, self._folder = name, zone, folder
        self.port, self.readiness_port, self.control_port = (free_port() for _ in range(3))
        self._peer_port = free_port()
        self._store = store
        self.process: asyncio.subprocess.Process | None = None
        self._is_first_start = True
        # Exit codes of the processes that ended, negative after a signal.
        self.exit_codes: list[int] = []

    def _settings(self) -> str:
        lines = [
            f"node_name={self.name}", "role=gateway", "machine_class=front", "serves=front",
            "ip=127.0.0.1", f"zone={self.zone}", "region=east",
            "zones.east-1=east", "zones.east-2=east",
            f"endpoints.front=127.0.0.1:{self.port}",
            f"endpoints.readiness=127.0.0.1:{self.readiness_port}",
            f"endpoints.control=127.0.0.1:{self.control_port}",
            f"internal_ports={self._peer_port},{self._peer_port}",
            "seeds=", f"first_start={str(self._is_first_start).lower()}", "loss_counted=false",
            "limits.cpu_share=0.86", "limits.vcpus=1", "limits.memory_mb=300",
            "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
            "discovery=platform", "entry=vip", "heartbeat_ms=870",
            "clauses=base,drain,config,cost,retry,recover,own,places,platform",
            "fault_tolerance.node_losses=2", "fault_tolerance.zones=1",
            "fault_tolerance.regions=0",
            "parameters=seed_lag_s=3,addr_reuse_s=2,contact_ms=4000,ack_ms=4000,sync_s=4,"
            "drain_ms=2500,grace_s=6,loss_slack_ms=200,apply_ms=2500,revert_slack_ms=250,"
            "outer_ms=5000,retry_ratio=0.2,retry_window_s=10,retry_slack=58,warmup_factor=1.5,"
            "warmup_slack=5,evacuation_ms=5000,recovery_s=15,hold_max_ms=10000,thaw_ms=300",
            "grants=call", f"provider.address=127.0.0.1:{self._store.port}",
            "provider.form=table", "provider.writes_per_s=400", "provider.reads_per_s=2000",
            "provider.tx_ms=3.0", "provider.part_writes_s=300", "provider.row_bytes=65536",
            "provider.across=true", "provider.history_s=20", "provider.blob_bytes=8388608",
            "provider.blob_ms=25.0", "provider.blob_mb_s=80.0",
        ]
        return "\n".join(lines) + "\n"

    async def start(self) -> None:
        path = self._folder / f"{self.name}.conf"
        path.write_text(self._settings(), encoding="utf-8")
        self._is_first_start = False
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment |= {"DAMASKTIDE_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "platform/start.py", "run",
            cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()

    async def wait_until_ready(self) -> None:
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            if await self.is_ready():
                return
            if self.process is None or self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended while it started")
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /damasktide/readiness HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            return head is not None and " 200 " in head.start
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def request(method: str, path: str, request_id: str, budget_ms: int, key: int | None = None,
            body: bytes = b"") -> bytes:
    """Return an encoded request of a consumer."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}",
             f"X-Request-Deadline: {budget_ms}"]
    if key is not None:
        lines.append(f"X-Shard-Key: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def wait_until_served(gateway: Gateway, requests: list[bytes], timeout_s: float) -> None:
    """Repeat requests until each of them is answered with 200."""
    until = time.monotonic() + timeout_s
    for data in requests:
        while True:
            if time.monotonic() > until:
                raise CannotRun(f"{gateway.name} does not serve {data[:60]!r}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                writer.write(data)
                head = await asyncio.wait_for(read_head(reader), 5.0)
                writer.close()
                if head is not None and " 200 " in head.start:
                    break
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.2)


def has_trouble() -> bool:
    """Return whether the disruption takes place; it does not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path, body: Callable[[Record, Path, list[Gateway]], Awaitable[bool]]
) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    import shutil
    import tempfile

    record = Record(folder / "record.txt")
    record.write(f"trouble: {has_trouble()}")
    scratch = Path(tempfile.mkdtemp())
    gateways: list[Gateway] = []

    async def main() -> int:
        try:
            is_broken = await asyncio.wait_for(body(record, scratch, gateways), 110.0)
            return int(is_broken)
        except (CannotRun, TimeoutError) as error:
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            for gateway in gateways:
                await gateway.kill()

    try:
        loop = asyncio.new_event_loop()
        # Connections that are still open at the end are cancelled, which is not worth a line.
        loop.set_exception_handler(lambda loop, context: None)
        running = loop.create_task(main())
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, running.cancel)
        code = loop.run_until_complete(running)
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(scratch, file=sys.stderr)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.write({0: "the rule held", 1: "the rule was broken", 2: "not run"}[code])
    record.close()
    print({0: "the rule held", 1: "the rule was broken", 2: "not run"}[code])
    sys.stdout.flush()
    sys.stderr.flush()
    # Connections that are still open are of no interest any more.
    os._exit(code)
