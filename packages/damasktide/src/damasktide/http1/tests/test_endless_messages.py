"""Peers that send without end: heads, trailers, chunk extensions and bodies are bounded."""

import gc
import tracemalloc
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import chain, repeat
from time import monotonic

from gevent import sleep, socket, spawn

from damasktide.http1.caller_connection import CallerConnection, CallerLimits
from damasktide.http1.errors import BadRequestError, CallError, CallFailure
from damasktide.http1.messages import encode_request
from damasktide.http1.server_connection import (
    MAX_IDLE_INPUT_BYTES,
    RECEIVE_BYTES,
    ServerConnection,
)
from damasktide.http1.tests.loopback_server import running_server

REQUEST = encode_request(b"GET", b"/", ((b"Host", b"h"),), None)
# Long enough that only a bound on the size can end a call.
TIMEOUT_S = 20.0
MAX_BODY_BYTES = 100_000
# What the sockets on both sides buffer, in addition to what the receiver has read.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@contextmanager
def endless_server(
    parts: Callable[[], Iterator[bytes]],
) -> Iterator[tuple[tuple[str, int], list[int]]]:
    """Run a server that sends ``parts`` until its peer closes; yields address and sizes sent."""
    sent: list[int] = []

    def handle(sock: socket.socket, address: object) -> None:
        sock.recv(65_536)
        for part in parts():
            try:
                sock.sendall(part)
            except OSError:
                # The peer has closed the connection, which ends the test.
                return
            sent.append(len(part))
            sleep(0)

    with running_server(handle) as address:
        yield address, sent


class TestEndlessResponses(unittest.TestCase):
    """A head without end took a process of 27 MB to 657 MB within 2 s."""

    def failure_of(self, *parts: bytes) -> CallFailure:
        """Send all parts and repeat the last one without end; return how the call fails."""
        block = parts[-1] * (16_384 // len(parts[-1]))
        with endless_server(lambda: chain(parts[:-1], repeat(block))) as (address, sent):
            connection = ServerConnection(address)
            connection.connect(TIMEOUT_S)
            started_at = monotonic()
            with self.assertRaises(CallError) as raised:
                connection.exchange(REQUEST, b"GET", started_at + TIMEOUT_S, MAX_BODY_BYTES)
            self.assertFalse(connection.is_reusable())
            connection.close()
            self.assertLess(monotonic() - started_at, TIMEOUT_S / 2)
            self.assertLess(sum(sent), MAX_IDLE_INPUT_BYTES + SOCKET_BUFFER_BYTES)
        return raised.exception.failure

    def test_field_without_end(self) -> None:
        self.assertIs(self.failure_of(b"HTTP/1.1 200 OK\r\nX: ", b"x"), CallFailure.TOO_LARGE)

    def test_fields_without_end(self) -> None:
        self.assertIs(self.failure_of(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"), CallFailure.TOO_LARGE)

    def test_empty_lines_without_end(self) -> None:
        self.assertIs(self.failure_of(b"\r\n"), CallFailure.TOO_LARGE)

    def test_informational_responses_without_end(self) -> None:
        self.assertIs(self.failure_of(b"HTTP/1.1 103 Early\r\n\r\n"), CallFailure.TOO_LARGE)

    def test_trailers_without_end(self) -> None:
        failure = self.failure_of(CHUNKED, b"2\r\nok\r\n0\r\n", b"X: y\r\n")
        self.assertIs(failure, CallFailure.TOO_LARGE)

    def test_chunk_extension_without_end(self) -> None:
        self.assertIs(self.failure_of(CHUNKED, b"2;", b"x"), CallFailure.TOO_LARGE)

    def test_chunks_without_end(self) -> None:
        self.assertIs(self.failure_of(CHUNKED, b"1\r\nx\r\n"), CallFailure.TOO_LARGE)

    def test_body_without_length_and_end(self) -> None:
        self.assertIs(self.failure_of(b"HTTP/1.1 200 OK\r\n\r\n", b"x"), CallFailure.TOO_LARGE)

    def test_bytes_that_are_no_response(self) -> None:
        self.assertIs(self.failure_of(b"\x00"), CallFailure.NOT_HTTP)

    def test_long_head_within_the_limit_is_accepted(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: %s\r\n\r\nok" % (b"x" * 30_000)
        with endless_server(lambda: iter((head,))) as (address, _):
            connection = ServerConnection(address)
            connection.connect(TIMEOUT_S)
            _, body = connection.exchange(REQUEST, b"GET", monotonic() + TIMEOUT_S)
            self.assertEqual(body, b"ok")
            connection.close()


class TestMemoryOfClosedConnections(unittest.TestCase):
    def test_fields_of_an_endless_head_are_freed_at_once(self) -> None:
        """Guards against 1.2 MB for each failed call until the garbage collector runs.

        A gateway that called such targets 160 times grew from 48 to 198 MB.
        """
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        block = b"X: y\r\n" * 2000
        with endless_server(lambda: chain((b"HTTP/1.1 200 OK\r\n",), repeat(block))) as (
            address,
            _,
        ):
            connection = ServerConnection(address)
            connection.connect(TIMEOUT_S)
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            with self.assertRaises(CallError):
                connection.exchange(REQUEST, b"GET", monotonic() + TIMEOUT_S)
            connection.close()
            del connection
            # The server, in the same process, holds some blocks that it has not sent.
            kept_bytes = tracemalloc.get_traced_memory()[0]
            self.assertLess(kept_bytes, MAX_IDLE_INPUT_BYTES + 10 * len(block))


class TestMemoryOfBodies(unittest.TestCase):
    """What a server sends must not take many times its bytes, or be kept without a use."""

    TINY_CHUNKS = b"2\r\nxy\r\n" * 50_000

    def peak_bytes(self, call: Callable[[ServerConnection, float], object], data: bytes) -> int:
        """Return the peak of the memory that is allocated while ``call`` reads ``data``."""
        with endless_server(lambda: iter((data,))) as (address, _):
            connection = ServerConnection(address)
            connection.connect(TIMEOUT_S)
            connection.send(REQUEST)
            until = monotonic() + TIMEOUT_S
            connection.read_head(b"GET", until)
            tracemalloc.start()
            try:
                call(connection, until)
                return tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
                connection.close()

    def test_body_in_tiny_chunks(self) -> None:
        """Guards against a body of 16 MiB that takes 360 MB because each chunk is an object."""
        data = CHUNKED + self.TINY_CHUNKS + b"0\r\n\r\n"
        peak = self.peak_bytes(ServerConnection.read_whole_body, data)
        self.assertLess(peak, 2 * len(data))

    def test_skipped_body_is_not_kept(self) -> None:
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n" + b"x" * 4_000_000
        peak = self.peak_bytes(
            lambda connection, until: connection.skip_body(until, 5_000_000), data
        )
        self.assertLess(peak, 16 * RECEIVE_BYTES)


class TestEndlessRequests(unittest.TestCase):
    LIMITS = CallerLimits(header_bytes=4096, body_bytes=8192)

    def status_of(self, start: bytes, repeated: bytes) -> int:
        """Return the status with which a request without end is rejected."""
        listener = socket.create_server(("127.0.0.1", 0))
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        listener.close()
        connection = CallerConnection(accepted, lambda: self.LIMITS)
        self.addCleanup(connection.close)
        self.addCleanup(caller.close)

        def send() -> None:
            try:
                caller.sendall(start)
                while True:
                    caller.sendall(repeated * 256)
                    sleep(0)
            except OSError:
                # The connection was closed by the end of the test.
                return

        sender = spawn(send)
        self.addCleanup(sender.kill)
        with self.assertRaises(BadRequestError) as raised:
            connection.read_request()
            for _ in connection.read_body():
                pass
        return raised.exception.status

    def test_head_without_end(self) -> None:
        self.assertEqual(self.status_of(b"GET / HTTP/1.1\r\nHost: h\r\n", b"X: y\r\n"), 431)

    def test_trailers_without_end(self) -> None:
        start = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
        self.assertEqual(self.status_of(start, b"X: y\r\n"), 431)

    def test_body_without_end(self) -> None:
        start = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(self.status_of(start, b"1\r\nx\r\n"), 413)
