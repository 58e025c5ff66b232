"""Tests requests over loopback: malformed heads, limits and callers that disconnect."""

import unittest
from time import monotonic

from gevent import sleep, socket, spawn
from gevent.event import Event

from damasktide.http1.caller_connection import (
    LINGER_S,
    SEND_TIMEOUT_S,
    CallerConnection,
    CallerLimits,
)
from damasktide.http1.errors import BadRequestError
from damasktide.http1.messages import RequestHead

LIMITS = CallerLimits(header_bytes=512, body_bytes=64, header_timeout_s=0.2, idle_timeout_s=0.3)


class CallerConnectionTest(unittest.TestCase):
    def setUp(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        listener.close()
        self.connection = CallerConnection(accepted, lambda: LIMITS)
        self.addCleanup(self.caller.close)
        self.addCleanup(self.connection.close)

    def request(self, data: bytes) -> tuple[RequestHead | None, bytes]:
        self.caller.sendall(data)
        head = self.connection.read_request()
        return head, b"".join(self.connection.read_body()) if head is not None else b""

    def status_of(self, data: bytes) -> int:
        with self.assertRaises(BadRequestError) as raised:
            self.request(data)
        return raised.exception.status


class TestPlannedStop(CallerConnectionTest):
    def test_request_that_crosses_the_stop_is_not_taken_for_a_disconnect(self) -> None:
        """Guards against a request that is read, forwarded, and then cut off.

        Seen on hlw-match, trouble-2 with seed 70173284294: the connection was closed for reading
        while it was idle, and the end of its input counted as a disconnect of the caller.
        """
        disconnects: list[bool] = []
        self.caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.connection.close_if_idle()
        head = self.connection.read_request()
        assert head is not None
        self.connection.watch_for_disconnect(lambda: disconnects.append(True))
        sleep(0.05)
        self.assertEqual((disconnects, self.connection.is_disconnected), ([], False))
        self.connection.send_plain(200, b"OK", "served")
        self.assertIn(b"200 OK", self.caller.recv(4096))
        self.connection.stop_watching()

    def test_end_of_the_input_is_not_taken_for_a_disconnect(self) -> None:
        """Guards against requests that are aborted without a response at the end of a stop."""
        disconnects: list[bool] = []
        self.request(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.connection.watch_for_disconnect(lambda: disconnects.append(True))
        self.connection.close_if_receiving()
        sleep(0.05)
        self.assertEqual((disconnects, self.connection.is_disconnected), ([], False))
        self.connection.send_plain(200, b"OK", "served")
        self.assertIn(b"200 OK", self.caller.recv(4096))

    def test_end_of_the_input_ends_the_wait_for_a_body(self) -> None:
        """Guards against a stop that closes the connection of an upload without a response."""
        self.caller.sendall(b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nfirst")
        self.connection.read_request()
        body = self.connection.read_body()
        self.assertEqual(next(body), b"first")
        self.connection.close_if_receiving()
        with self.assertRaises(BadRequestError) as raised:
            next(body)
        self.assertEqual(raised.exception.status, 408)
        self.connection.send_plain(408, b"Request Timeout", "not run")
        self.assertIn(b"408", self.caller.recv(4096))

    def test_idle_connection_ends(self) -> None:
        self.connection.close_if_idle()
        self.assertIsNone(self.connection.read_request())


class TestSlowReader(CallerConnectionTest):
    """A caller that reads for longer than the gateway needs to write its last response."""

    RESPONSE = b"x" * 400_000

    def test_request_that_crosses_the_close_does_not_reset_the_response(self) -> None:
        """Guards against responses that a planned stop loses for pipelining callers (review/8)."""
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self.connection._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1_000_000)
        self.request(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.connection.send(self.RESPONSE)
        ending = spawn(self.end)
        sleep(LINGER_S + 0.2)
        self.caller.sendall(b"GET /later HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertEqual(self.receive(), len(self.RESPONSE))
        self.caller.close()
        ending.join(1.0)
        self.assertTrue(ending.ready())

    def test_idle_connection_is_kept_until_the_response_has_been_received(self) -> None:
        """Guards against a planned stop that closes idle connections with unsent responses."""
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self.connection._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1_000_000)
        self.request(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.connection.send(self.RESPONSE)
        next_head = spawn(self.connection.read_request)
        sleep(0.05)
        self.assertFalse(self.connection.close_if_idle())
        received = 0
        while received < len(self.RESPONSE):
            received += len(self.caller.recv(65_536))
        sleep(0.05)
        self.assertTrue(self.connection.close_if_idle())
        self.assertIsNone(next_head.get(timeout=1.0))

    def test_caller_that_reads_nothing_is_not_waited_for(self) -> None:
        """Guards against connections that stay open for callers that have stopped reading."""
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self.connection._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1_000_000)
        self.request(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.connection.send(self.RESPONSE)
        self.caller.sendall(b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
        sleep(0.05)
        started_at = monotonic()
        self.end()
        self.assertLess(monotonic() - started_at, SEND_TIMEOUT_S + 0.5)

    def end(self) -> None:
        self.connection.finish_sending()
        self.connection.close()

    def receive(self) -> int:
        """Read until the end of the connection and return the number of bytes."""
        self.caller.settimeout(2.0)
        size = 0
        try:
            while data := self.caller.recv(65_536):
                size += len(data)
        except OSError:
            pass
        return size


class TestRequests(CallerConnectionTest):
    def test_target_is_not_decoded(self) -> None:
        head, _ = self.request(b"GET /a%2Fb//c?d=%20&e HTTP/1.1\r\nHost: h\r\n\r\n")
        assert head is not None
        self.assertEqual(head.target, b"/a%2Fb//c?d=%20&e")

    def test_body_with_length_followed_by_a_request(self) -> None:
        first = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        second = b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
        self.assertEqual(self.request(first + second)[1], b"abc")
        head = self.connection.read_request()
        assert head is not None
        self.assertEqual(head.target, b"/next")

    def test_chunked_body(self) -> None:
        data = (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(self.request(data)[1], b"abcde")

    def test_request_behind_a_chunked_body(self) -> None:
        """Guards against a pipelined request that is taken for a part of the body before it."""
        body = b"3\r\nabc\r\n0\r\nTrailer: x\r\n\r\n"
        data = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body
        _, received = self.request(data + b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertEqual(received, b"abc")
        head = self.connection.read_request()
        assert head is not None
        self.assertEqual(head.target, b"/next")

    def test_ambiguous_end_of_a_chunked_body(self) -> None:
        """Guards against a request hidden in a body whose chunk sizes can be read in two ways."""
        for line in (b"0x1\r\na", b"+1\r\na", b"1_0\r\n", b"0\n", b"1\na", b"-1\r\na"):
            with self.subTest(line=line):
                self.setUp()
                data = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                self.assertEqual(self.status_of(data + line + b"\r\n0\r\n\r\n"), 400)

    def test_caller_that_closes_after_a_request_without_a_body(self) -> None:
        """Guards against a connection that stays open although its caller asked to close it."""
        head, _ = self.request(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        assert head is not None
        self.assertFalse(head.keeps_alive)

    def test_ambiguous_requests_are_rejected(self) -> None:
        """Guards against request smuggling: ambiguous framing has to be rejected."""
        for fields in (
            b"Host: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Host: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n",
            b"Host : h\r\n",
            b"Host: h\r\nHost: i\r\n",
            b"",
        ):
            with self.subTest(fields=fields):
                self.setUp()
                self.assertEqual(self.status_of(b"POST / HTTP/1.1\r\n" + fields + b"\r\n"), 400)

    def test_bare_line_feeds(self) -> None:
        self.assertEqual(self.status_of(b"GET / HTTP/1.1\nHost: h\r\n\r\n"), 400)

    def test_absolute_target(self) -> None:
        self.assertEqual(self.status_of(b"GET http://x/ HTTP/1.1\r\nHost: h\r\n\r\n"), 400)


class TestLimits(CallerConnectionTest):
    def test_large_head(self) -> None:
        data = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 600 + b"\r\n\r\n"
        self.assertEqual(self.status_of(data), 431)

    def test_large_body(self) -> None:
        data = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n" + b"x" * 65
        self.assertEqual(self.status_of(data), 413)

    def test_slow_head(self) -> None:
        self.assertEqual(self.status_of(b"GET / HTTP/1.1\r\n"), 408)

    def test_slow_body(self) -> None:
        self.assertEqual(
            self.status_of(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc"), 408
        )

    def test_idle_connection_ends_without_a_response(self) -> None:
        self.assertIsNone(self.connection.read_request())


class TestDisconnect(CallerConnectionTest):
    def test_disconnect_is_detected(self) -> None:
        """Guards against work that goes on for more than 0.5 s after its caller disconnected."""
        self.request(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        disconnected = Event()
        self.connection.watch_for_disconnect(disconnected.set)
        self.caller.close()
        self.assertTrue(disconnected.wait(0.5))
        self.assertTrue(self.connection.is_disconnected)

    def test_next_request_is_not_mistaken_for_a_disconnect(self) -> None:
        self.request(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        disconnected = Event()
        self.connection.watch_for_disconnect(disconnected.set)
        self.caller.sendall(b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertFalse(disconnected.wait(0.1))
        self.connection.stop_watching()
        self.assertIsNotNone(self.connection.read_request())
