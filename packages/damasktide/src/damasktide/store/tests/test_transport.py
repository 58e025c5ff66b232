import time
import unittest
from typing import Any

import gevent
from gevent.server import StreamServer
from returns.result import Success

from damasktide.store.transport import HttpReply, HttpTransport


def respond_slowly_once(connection: Any, _: object) -> None:
    """Send 30 bytes over 3 s to /slow, and a whole response to anything else."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"
    while request := connection.recv(4096):
        if b"/slow" not in request:
            connection.sendall(head + b"b" * 30)
            continue
        connection.sendall(head)
        for _ in range(30):
            gevent.sleep(0.1)
            connection.sendall(b"a")


class HttpTransportTest(unittest.TestCase):
    def test_trickling_response_ends_in_time_and_leaves_no_rest_behind(self) -> None:
        """Guards against a call that outlasts its timeout, and against crossed responses."""
        server = StreamServer(("127.0.0.1", 0), respond_slowly_once)
        server.start()
        self.addCleanup(server.stop, 0)
        transport = HttpTransport(f"http://127.0.0.1:{server.server_port}", 0.4)
        start = time.monotonic()
        error = transport.call("GET", "/slow", None, {}).failure()
        self.assertLess(time.monotonic() - start, 1.0)
        self.assertTrue(error.sent)
        whole = transport.call("GET", "/fast", None, {})
        self.assertEqual(whole, Success(HttpReply(200, b"b" * 30)))


if __name__ == "__main__":
    unittest.main()
