"""Tests calls over loopback sockets: framing, broken responses and pooled connections."""

import os
import resource
import struct
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic

import gevent
from gevent import socket

from damasktide.http1.errors import CallError, CallFailure
from damasktide.http1.messages import encode_request
from damasktide.http1.pool import ConnectionPool, idle_limit_s
from damasktide.http1.server_connection import ServerConnection
from damasktide.http1.tests.loopback_server import running_server

REQUEST = encode_request(b"GET", b"/a?b=c", ((b"Host", b"h"),), None)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_S = 2.0


@contextmanager
def serving_response(response: bytes, closes: bool = False) -> Iterator[tuple[str, int]]:
    """Run a server that sends the same bytes in response to each request."""

    def handle(sock: socket.socket, address: object) -> None:
        while sock.recv(65_536):
            sock.sendall(response)
            if closes:
                return

    with running_server(handle) as address:
        yield address


def call(connection: ServerConnection) -> tuple[int, bytes]:
    head, body = connection.exchange(REQUEST, b"GET", monotonic() + TIMEOUT_S)
    return head.status, body


def open_connection(address: tuple[str, int]) -> ServerConnection:
    connection = ServerConnection(address)
    connection.connect(TIMEOUT_S)
    return connection


class TestResponses(unittest.TestCase):
    def failure_of(self, response: bytes) -> CallFailure:
        with (
            serving_response(response, closes=True) as address,
            self.assertRaises(CallError) as raised,
        ):
            call(open_connection(address))
        return raised.exception.failure

    def test_connection_is_reusable_after_a_complete_response(self) -> None:
        with serving_response(OK) as address:
            connection = open_connection(address)
            self.assertEqual(call(connection), (200, b"ok"))
            self.assertTrue(connection.is_reusable())
            self.assertEqual(call(connection), (200, b"ok"))

    def test_truncated_body_is_an_error(self) -> None:
        self.assertIs(
            self.failure_of(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), CallFailure.CLOSED
        )

    def test_truncated_chunked_body_is_an_error(self) -> None:
        response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
        self.assertIs(self.failure_of(response), CallFailure.CLOSED)

    def test_bytes_that_are_not_http_are_rejected(self) -> None:
        self.assertIs(self.failure_of(b"\x00\x01garbage\r\n\r\n"), CallFailure.NOT_HTTP)

    def test_content_length_with_chunked_encoding_is_rejected(self) -> None:
        response = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\n\r\n"
        )
        self.assertIs(self.failure_of(response), CallFailure.NOT_HTTP)

    def test_body_without_length_ends_with_the_connection(self) -> None:
        with serving_response(b"HTTP/1.1 200 OK\r\n\r\nok", closes=True) as address:
            connection = open_connection(address)
            self.assertEqual(call(connection), (200, b"ok"))
            self.assertFalse(connection.is_reusable())

    def test_connection_with_bytes_after_the_response_is_not_reusable(self) -> None:
        with serving_response(OK + OK) as address:
            connection = open_connection(address)
            self.assertEqual(call(connection), (200, b"ok"))
            self.assertFalse(connection.is_reusable())

    def test_connection_with_a_part_of_a_second_response_is_not_reusable(self) -> None:
        """Guards against a status line of which the start belongs to an earlier response."""
        for length in range(1, len(OK) + 1):
            with self.subTest(part=OK[:length]), serving_response(OK + OK[:length]) as address:
                connection = open_connection(address)
                self.assertEqual(call(connection), (200, b"ok"))
                self.assertFalse(connection.is_reusable())

    def test_status_outside_the_defined_range_is_rejected_at_once(self) -> None:
        """Guards against 000 as a response, and against the wait for another one after it.

        The 200 that follows answers nothing: the server did not mean the first one as an interim
        response.
        """
        for status in (b"000", b"001", b"099", b"600", b"999"):
            with (
                self.subTest(status=status),
                serving_response(OK.replace(b"200", status) + OK) as address,
            ):
                connection = open_connection(address)
                started_at = monotonic()
                with self.assertRaises(CallError) as raised:
                    call(connection)
                self.assertIs(raised.exception.failure, CallFailure.NOT_HTTP)
                self.assertLess(monotonic() - started_at, TIMEOUT_S / 2)
                self.assertFalse(connection.is_reusable())

    def test_informational_response_is_skipped(self) -> None:
        with serving_response(b"HTTP/1.1 100 Continue\r\n\r\n" + OK) as address:
            self.assertEqual(call(open_connection(address)), (200, b"ok"))

    def test_wait_can_resume_after_a_timeout(self) -> None:
        def handle(sock: socket.socket, address: object) -> None:
            sock.recv(65_536)
            gevent.sleep(0.1)
            sock.sendall(OK)

        with running_server(handle) as address:
            connection = open_connection(address)
            connection.send(REQUEST)
            with self.assertRaises(CallError) as raised:
                connection.read_head(b"GET", monotonic() + 0.01)
            self.assertIs(raised.exception.failure, CallFailure.TIMED_OUT)
            self.assertEqual(connection.read_head(b"GET", monotonic() + TIMEOUT_S).status, 200)


class TestConnecting(unittest.TestCase):
    def test_refused_connection_excludes_execution(self) -> None:
        with serving_response(OK) as address:
            pass
        with self.assertRaises(CallError) as raised:
            open_connection(address)
        self.assertTrue(raised.exception.is_refused)
        self.assertTrue(raised.exception.failure.excludes_execution)


class TestSending(unittest.TestCase):
    def test_failed_write_of_a_later_part_leaves_execution_possible(self) -> None:
        """Guards against a "not run" refusal of a request whose first parts were sent."""

        def handle(sock: socket.socket, address: object) -> None:
            sock.recv(65_536)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

        with running_server(handle) as address:
            connection = open_connection(address)
            connection.send(REQUEST)
            gevent.sleep(0.05)
            with self.assertRaises(CallError) as raised:
                connection.send_body_part(b"part")
            self.assertFalse(raised.exception.failure.excludes_execution)

    def test_failed_write_of_a_whole_request_excludes_execution(self) -> None:
        with serving_response(OK, closes=True) as address:
            connection = open_connection(address)
            self.assertEqual(call(connection), (200, b"ok"))
            gevent.sleep(0.05)
            connection.abort()
            with self.assertRaises(CallError) as raised:
                connection.send(REQUEST)
            self.assertIs(raised.exception.failure, CallFailure.NOT_SENT)


class TestPool(unittest.TestCase):
    def test_connection_with_unexpected_bytes_is_not_reused(self) -> None:
        """Guards against a late duplicate response being returned for the next request."""
        with serving_response(OK) as address:
            pool = ConnectionPool()
            first = pool.acquire(address, TIMEOUT_S)
            call(first)
            pool.release(first)
            # The response to this second request arrives while the connection is idle in the pool.
            first.send(REQUEST)
            first._is_response_complete = True
            gevent.sleep(0.05)
            self.assertIsNot(pool.acquire(address, TIMEOUT_S), first)

    def test_idle_connection_is_reused(self) -> None:
        with serving_response(OK) as address:
            pool = ConnectionPool()
            first = pool.acquire(address, TIMEOUT_S)
            call(first)
            pool.release(first)
            self.assertIs(pool.acquire(address, TIMEOUT_S), first)

    def test_more_than_1024_descriptors(self) -> None:
        """Guards against use of select, which fails from the 1,024th descriptor on."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < 1_200:
            self.skipTest(f"the limit on descriptors is {soft}")
        opened = [os.open(os.devnull, os.O_RDONLY) for _ in range(1_050)]
        try:
            with serving_response(OK) as address:
                pool = ConnectionPool()
                first = pool.acquire(address, TIMEOUT_S)
                call(first)
                pool.release(first)
                self.assertIs(pool.acquire(address, TIMEOUT_S), first)
        finally:
            for descriptor in opened:
                os.close(descriptor)

    def test_keep_alive_timeout_of_the_server_is_respected(self) -> None:
        response = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n"
        with serving_response(response) as address:
            connection = open_connection(address)
            connection.send(REQUEST)
            head = connection.read_head(b"GET", monotonic() + TIMEOUT_S)
            self.assertLess(idle_limit_s(head), 3.0)
