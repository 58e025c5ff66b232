"""Calls to a server over real loopback sockets: framing, broken responses, pooled connections."""

import os
import resource
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from time import monotonic

import gevent
from gevent import socket
from gevent.server import StreamServer

from damasktide.http1.errors import CallError, CallFailure
from damasktide.http1.messages import encode_request
from damasktide.http1.pool import ConnectionPool, idle_limit_s
from damasktide.http1.server_connection import ServerConnection

REQUEST = encode_request(b"GET", b"/a?b=c", ((b"Host", b"h"),), None)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_S = 2.0


@contextmanager
def serving(answer: bytes, closes: bool = False) -> Iterator[tuple[str, int]]:
    """Answer each request with the same bytes."""

    def handle(sock: socket.socket, address: object) -> None:
        while sock.recv(65_536):
            sock.sendall(answer)
            if closes:
                return

    with running(handle) as address:
        yield address


@contextmanager
def running(handle: Callable[[socket.socket, object], None]) -> Iterator[tuple[str, int]]:
    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    try:
        yield ("127.0.0.1", server.server_port)
    finally:
        server.stop(timeout=0)


def call(connection: ServerConnection) -> tuple[int, bytes]:
    head, body = connection.exchange(REQUEST, b"GET", monotonic() + TIMEOUT_S)
    return head.status, body


def connected(address: tuple[str, int]) -> ServerConnection:
    connection = ServerConnection(address)
    connection.connect(TIMEOUT_S)
    return connection


class TestResponses(unittest.TestCase):
    def failure_of(self, answer: bytes) -> CallFailure:
        with serving(answer, closes=True) as address, self.assertRaises(CallError) as raised:
            call(connected(address))
        return raised.exception.failure

    def test_whole_response_leaves_a_reusable_connection(self) -> None:
        with serving(OK) as address:
            connection = connected(address)
            self.assertEqual(call(connection), (200, b"ok"))
            self.assertTrue(connection.is_reusable())
            self.assertEqual(call(connection), (200, b"ok"))

    def test_truncated_body_is_not_whole(self) -> None:
        self.assertIs(
            self.failure_of(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), CallFailure.CLOSED
        )

    def test_truncated_chunked_body_is_not_whole(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
        self.assertIs(self.failure_of(answer), CallFailure.CLOSED)

    def test_bytes_that_are_no_response_are_refused(self) -> None:
        self.assertIs(self.failure_of(b"\x00\x01garbage\r\n\r\n"), CallFailure.NOT_HTTP)

    def test_both_lengths_are_refused(self) -> None:
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\n\r\n"
        )
        self.assertIs(self.failure_of(answer), CallFailure.NOT_HTTP)

    def test_body_without_length_ends_with_the_connection(self) -> None:
        with serving(b"HTTP/1.1 200 OK\r\n\r\nok", closes=True) as address:
            connection = connected(address)
            self.assertEqual(call(connection), (200, b"ok"))
            self.assertFalse(connection.is_reusable())

    def test_extra_bytes_after_a_response_end_the_connection(self) -> None:
        with serving(OK + OK) as address:
            connection = connected(address)
            self.assertEqual(call(connection), (200, b"ok"))
            self.assertFalse(connection.is_reusable())

    def test_informational_response_is_passed_over(self) -> None:
        with serving(b"HTTP/1.1 100 Continue\r\n\r\n" + OK) as address:
            self.assertEqual(call(connected(address)), (200, b"ok"))

    def test_wait_can_go_on_after_a_timeout(self) -> None:
        def handle(sock: socket.socket, address: object) -> None:
            sock.recv(65_536)
            gevent.sleep(0.1)
            sock.sendall(OK)

        with running(handle) as address:
            connection = connected(address)
            connection.send(REQUEST)
            with self.assertRaises(CallError) as raised:
                connection.read_head(b"GET", monotonic() + 0.01)
            self.assertIs(raised.exception.failure, CallFailure.TIMED_OUT)
            self.assertEqual(connection.read_head(b"GET", monotonic() + TIMEOUT_S).status, 200)


class TestConnecting(unittest.TestCase):
    def test_address_without_listener_is_told_apart(self) -> None:
        with serving(OK) as address:
            pass
        with self.assertRaises(CallError) as raised:
            connected(address)
        self.assertTrue(raised.exception.is_refused)
        self.assertTrue(raised.exception.failure.excludes_execution)


class TestPool(unittest.TestCase):
    def test_connection_with_unexpected_bytes_is_not_used_again(self) -> None:
        """A late second answer must never be taken for the answer to the next request."""
        with serving(OK) as address:
            pool = ConnectionPool()
            first = pool.take(address, TIMEOUT_S)
            call(first)
            pool.release(first)
            first.send(REQUEST)
            first._is_ended = True
            gevent.sleep(0.05)
            self.assertIsNot(pool.take(address, TIMEOUT_S), first)

    def test_idle_connection_is_used_again(self) -> None:
        with serving(OK) as address:
            pool = ConnectionPool()
            first = pool.take(address, TIMEOUT_S)
            call(first)
            pool.release(first)
            self.assertIs(pool.take(address, TIMEOUT_S), first)

    def test_more_than_1024_descriptors(self) -> None:
        """Under load an instance has over 1,024 descriptors, which select cannot name."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < 1_200:
            self.skipTest(f"the limit on descriptors is {soft}")
        opened = [os.open(os.devnull, os.O_RDONLY) for _ in range(1_050)]
        try:
            with serving(OK) as address:
                pool = ConnectionPool()
                first = pool.take(address, TIMEOUT_S)
                call(first)
                pool.release(first)
                self.assertIs(pool.take(address, TIMEOUT_S), first)
        finally:
            for descriptor in opened:
                os.close(descriptor)

    def test_time_limit_of_the_server_is_kept(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n"
        with serving(answer) as at:
            connection = connected(at)
            connection.send(REQUEST)
            head = connection.read_head(b"GET", monotonic() + TIMEOUT_S)
            self.assertLess(idle_limit_s(head), 3.0)
