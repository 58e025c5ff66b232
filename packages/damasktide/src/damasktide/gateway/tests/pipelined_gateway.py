"""A gateway over loopback sockets, with one caller that pipelines and one target."""

import re
import unittest
from collections.abc import Callable
from time import monotonic
from typing import Any

from gevent import sleep, socket, spawn
from gevent.event import Event
from prometheus_client import CollectorRegistry

from damasktide.dispatch.messages import CallOutcome, TargetQuery, TargetSelection
from damasktide.dispatch.retry_allowance import RetryLimits
from damasktide.gateway.handler import GatewayContext, GatewayHandler
from damasktide.gateway.pipeline_order import BufferBudget
from damasktide.gateway.telemetry import GatewayTelemetry
from damasktide.gateway.tests.fake_target import PlainDialect, request_ids
from damasktide.http1.caller_connection import CallerLimits
from damasktide.http1.listener import Listener
from damasktide.http1.pool import Address, ConnectionPool
from damasktide.http1.tests.loopback_server import running_server
from damasktide.lifecycle.state import StopTimes
from damasktide.routing.configuration import (
    Route,
    RouteKind,
    RoutingConfiguration,
    WeightedService,
)
from damasktide.routing.route_table import RouteTable
from damasktide.routing.task import RoutingActivated
from damasktide.targets.target import TargetEntry, TargetState

TIMEOUT_S = 2.0
KINDS = {"/read/": RouteKind.IDEMPOTENT, "/book/": RouteKind.NON_IDEMPOTENT}
RETRIED = "/retried/"
SERVICES = (WeightedService("s", 1.0),)
ROUTES = (
    *(Route(prefix, "", prefix, kind, SERVICES, TIMEOUT_S) for prefix, kind in KINDS.items()),
    Route(RETRIED, "", RETRIED, RouteKind.IDEMPOTENT, SERVICES, TIMEOUT_S, max_attempts=2),
)


class _OnlyTarget:
    def __init__(self, address: Address) -> None:
        self._entry = TargetEntry("t", 1, "s", "a1", address, 1, TargetState.READY)

    def choose(self, now: float, query: TargetQuery) -> TargetSelection:
        return TargetSelection(self._entry, TIMEOUT_S, 0.0)

    def record_outcome(self, now: float, outcome: CallOutcome) -> None:
        """The test does not need outcomes."""

    def is_in_own_region(self, domain: str) -> bool:
        return True


def read(name: str, extra: bytes = b"") -> bytes:
    """Return an idempotent request with the id ``name``."""
    return b"GET /read/ HTTP/1.1\r\nHost: h\r\nId: %s\r\n%s\r\n" % (name.encode(), extra)


def book(name: str) -> bytes:
    """Return a request that is not idempotent."""
    return (
        b"POST /book/ HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: 0\r\n\r\n" % name.encode()
    )


class PipelinedGatewayTest(unittest.TestCase):
    """The target runs a request until its id is released, and responds with ``bodies[id]``."""

    def setUp(self) -> None:
        self.started: list[str] = []
        self.aborted: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self.cut_at: dict[str, int] = {}
        self.release: dict[str, Event] = {}
        self.stop_times: StopTimes | None = None
        self.registry = CollectorRegistry()
        self.budget = BufferBudget(10_000_000)
        server = running_server(self._respond)
        address = server.__enter__()
        self.addCleanup(server.__exit__, None, None, None)
        routing = RoutingActivated(RoutingConfiguration(1, ROUTES), RouteTable(ROUTES))
        context: Any = GatewayContext(
            PlainDialect(),
            ConnectionPool(),
            _OnlyTarget(address),  # type: ignore[arg-type]
            lambda: routing,
            dict,
            lambda: 1,
            lambda: self.stop_times,
            lambda: None,
            lambda: None,
            RetryLimits(slack=10.0),
            GatewayTelemetry(self.registry),
            pipeline_budget=self.budget,
        )
        self.handler = GatewayHandler(context)
        listener = Listener(("127.0.0.1", 0), CallerLimits, self.handler.serve)
        listener.start()
        self.addCleanup(listener.stop_accepting)
        self.caller = socket.create_connection(listener.address)
        self.addCleanup(self.caller.close)
        self.received = b""

    def hold(self, *names: str) -> None:
        """Let the target keep these requests until they are released."""
        self.release.update((name, Event()) for name in names)

    def responses(self, count: int, timeout_s: float = 1.0) -> list[str]:
        """Receive until ``count`` responses have begun; return their ids or statuses in order."""
        self.caller.settimeout(timeout_s)
        while len(found := self._found()) < count and (data := self._receive()):
            self.received += data
        return found

    def is_closed(self) -> bool:
        """Receive until the gateway ends the connection."""
        self.caller.settimeout(2.0)
        while data := self._receive():
            self.received += data
        return data == b""

    def metric(self, name: str, **labels: str) -> float:
        return self.registry.get_sample_value(f"damasktide_{name}_total", labels) or 0.0

    def wait_until(self, condition: Callable[[], bool]) -> None:
        until = monotonic() + 1.0
        while not condition():
            self.assertLess(monotonic(), until, (self.started, self.aborted, self.received[:500]))
            sleep(0.005)

    def _receive(self) -> bytes | None:
        try:
            return bytes(self.caller.recv(65_536))
        except TimeoutError:
            return None

    def _found(self) -> list[str]:
        heads = re.findall(rb"HTTP/1.1 (\d+) .*?\r\n((?:.+\r\n)*)\r\n", self.received)
        ids = ((re.search(rb"Id: (\w+)", fields), status) for status, fields in heads)
        return [(found.group(1) if found else status).decode() for found, status in ids]

    def _respond(self, sock: socket.socket, address: object) -> None:
        for request_id in request_ids(sock):
            name = request_id.decode()
            self.started.append(name)
            watcher = spawn(self._watch, sock, name)
            if name in self.release:
                self.release[name].wait(2 * TIMEOUT_S)
            watcher.kill()
            body = self.bodies.get(name, b"ok")
            head = b"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n"
            part = body[: self.cut_at.get(name)]
            try:
                sock.sendall(head % (request_id, len(body)) + part)
            except OSError:
                # The gateway has aborted the call.
                return
            if part != body:
                return

    def _watch(self, sock: socket.socket, name: str) -> None:
        while True:
            sleep(0.01)
            try:
                is_closed = not sock._sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                is_closed = False
            except OSError:
                is_closed = True
            if is_closed:
                self.aborted.append(name)
                return
