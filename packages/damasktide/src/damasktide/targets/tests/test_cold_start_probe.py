"""Probes of returned targets, over loopback sockets."""

import unittest

from gevent import sleep, socket
from gevent.queue import Empty, Queue

from damasktide.http1.messages import ResponseHead
from damasktide.http1.tests.loopback_server import running_server
from damasktide.runtime.task import Stop
from damasktide.targets.cold_start_probe import (
    PROBE_TIMEOUT_S,
    ColdStartProber,
    ColdStartReported,
    ProbeTarget,
)
from damasktide.targets.target import TargetEntry, TargetState


class PlainDecoder:
    """Reads the seconds of cold start from the field Cold."""

    def cold_start_remaining_s(self, head: ResponseHead, target_id: str) -> float | None:
        value = head.field(b"cold")
        return None if value is None else float(value)


class TestColdStartProber(unittest.TestCase):
    def setUp(self) -> None:
        self.requests: list[bytes] = []
        self.response = b"HTTP/1.1 200 X\r\nCold: 1.5\r\nContent-Length: 0\r\n\r\n"

    def handle(self, sock: socket.socket, address: object) -> None:
        self.requests.append(sock.recv(65_536))
        if self.response:
            sock.sendall(self.response)
        else:
            sleep(2.0 * PROBE_TIMEOUT_S)

    def probe(self) -> ColdStartReported | None:
        reported: Queue = Queue()
        with running_server(self.handle) as address:
            prober = ColdStartProber(PlainDecoder(), reported.put)
            prober.start()
            entry = TargetEntry("t1", 7, "desk", "a1", address, 6, TargetState.READY)
            prober.tell(ProbeTarget(entry, "/health", 9.0))
            try:
                report: ColdStartReported = reported.get(timeout=1.5 * PROBE_TIMEOUT_S)
            except Empty:
                return None
            finally:
                prober.tell(Stop())
        return report

    def test_cold_start_is_reported(self) -> None:
        self.assertEqual(self.probe(), ColdStartReported(("t1", 7), 9.0, 1.5))
        self.assertTrue(self.requests[0].startswith(b"GET /health HTTP/1.1\r\nHost: 127.0.0.1:"))

    def test_target_that_is_silent_or_not_healthy_reports_nothing(self) -> None:
        for response in (b"", b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", b"garbage\r\n\r\n"):
            with self.subTest(response=response):
                self.response = response
                self.assertIsNone(self.probe())
