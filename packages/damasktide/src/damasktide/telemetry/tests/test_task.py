import socket
import unittest

from damasktide.telemetry.metrics import REQUEST_DURATION, REQUESTS_RECEIVED
from damasktide.telemetry.task import Count, Observe, TelemetryTask


class TelemetryTaskTest(unittest.TestCase):
    def test_counts_of_one_flush_are_sent_as_one_line(self) -> None:
        """Guards against one datagram per event, and against counts that are lost at a stop."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(2)
            task = TelemetryTask("127.0.0.1", server.getsockname()[1])
            task.start()
            for _ in range(100):
                task.tell(Count(REQUESTS_RECEIVED))
            task.tell(Observe(REQUEST_DURATION, 2.5))
            task.stop()
            lines = server.recv(4096).decode().split("\n")
        expected = ["damasktide.request.received:100|c", "damasktide.request.duration:2.500000|ms"]
        self.assertEqual(lines, expected)

    def test_unreachable_statsd_causes_no_failure(self) -> None:
        """Guards against a process that drains because statsd is down."""
        failures: list[object] = []
        for host in ("127.0.0.1", "not an address"):
            task = TelemetryTask(host, 9, on_failure=failures.append)
            task.start()
            task.tell(Count(REQUESTS_RECEIVED))
            task.stop()
        self.assertEqual(failures, [])


if __name__ == "__main__":
    unittest.main()
