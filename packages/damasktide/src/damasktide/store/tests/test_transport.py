import time
import unittest
from contextlib import suppress
from typing import Any

import gevent
from gevent.server import StreamServer
from returns.result import Success

from damasktide.store.transport import HttpResponse, HttpTransport


def _receive(connection: Any) -> bytes:
    with suppress(OSError):
        return bytes(connection.recv(4096))
    return b""


def respond_slowly_to_slow_path(connection: Any, _: object) -> None:
    """Send 30 bytes over 3 s to /slow, and a complete response to anything else."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"
    while request := _receive(connection):
        if b"/slow" not in request:
            connection.sendall(head + b"b" * 30)
            continue
        connection.sendall(head)
        with suppress(OSError):  # The client closes the connection.
            for _ in range(30):
                gevent.sleep(0.1)
                connection.sendall(b"a")


class HttpTransportTest(unittest.TestCase):
    def test_slow_response_times_out_and_its_connection_is_not_reused(self) -> None:
        """Guards against calls that outlast their timeout and responses to the wrong request."""
        server = StreamServer(("127.0.0.1", 0), respond_slowly_to_slow_path)
        server.start()
        self.addCleanup(server.stop, 0)
        transport = HttpTransport(f"http://127.0.0.1:{server.server_port}", 0.4)
        start = time.monotonic()
        error = transport.call("GET", "/slow", None, {}).failure()
        self.assertLess(time.monotonic() - start, 1.0)
        self.assertTrue(error.may_have_been_sent)
        complete = transport.call("GET", "/fast", None, {})
        self.assertEqual(complete, Success(HttpResponse(200, b"b" * 30)))


if __name__ == "__main__":
    unittest.main()
