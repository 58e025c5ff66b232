"""Calls to targets that send responses twice, late or without end, over loopback sockets."""

import struct
import unittest
from collections.abc import Callable, Iterator
from time import monotonic

from gevent import sleep, socket

from damasktide.gateway.call import MAX_BUFFERED_RESPONSE_BYTES, TargetCall
from damasktide.gateway.tests.fake_target import PlainDialect, request_ids, response, target
from damasktide.http1.errors import CallError, CallFailure
from damasktide.http1.messages import RequestHead
from damasktide.http1.pool import ConnectionPool
from damasktide.http1.tests.loopback_server import running_server
from damasktide.targets.target import TargetEntry, TargetState

TIMEOUT_S = 5.0
# What the sockets on both sides buffer, in addition to what the receiver has read.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024


def with_date(data: bytes) -> bytes:
    """Return a response with a field before its id, in which a copy may break off too."""
    return data.replace(b"\r\n", b"\r\nDate: Sat, 05 Dec 2026 12:00:00 GMT\r\n", 1)


class TestLateResponses(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = ConnectionPool()
        self.addCleanup(self.pool.close_all)

    def call(self, address: tuple[str, int], request_id: bytes) -> TargetCall:
        head = RequestHead(b"POST", b"/", ((b"Id", request_id),))
        entry = TargetEntry("t", 1, "s", "a1", address, 1, TargetState.READY)
        return TargetCall(self.pool, PlainDialect(), entry, head, request_id, TIMEOUT_S)

    def exchange(self, address: tuple[str, int], request_id: bytes) -> tuple[int, bytes]:
        call = self.call(address, request_id)
        call.send(monotonic() + TIMEOUT_S, b"")
        found = call.read_response(monotonic() + TIMEOUT_S)
        call.finish()
        return found.head.status, found.body

    def test_second_copy_of_an_earlier_response_reaches_no_other_request(self) -> None:
        """The copy arrives after the connection was taken for the next request."""

        def respond(request_id: bytes) -> Iterator[bytes]:
            if request_id == b"second":
                yield response(b"first", b"copy of the first")
            yield response(request_id, b"own of " + request_id)

        with target(respond) as address:
            self.assertEqual(self.exchange(address, b"first"), (200, b"own of first"))
            self.assertEqual(self.exchange(address, b"second"), (200, b"own of second"))

    def test_part_of_a_late_copy_does_not_change_the_response_after_it(self) -> None:
        """Guards against a success for a booking that failed, and the other way round.

        The copy breaks off, so the response to the next request continues its status line or one
        of its header fields.
        """
        for copy_status, own_status in ((200, 500), (503, 200)):
            copy = with_date(response(b"first", b"booked", copy_status))
            own = with_date(response(b"second", b"own", own_status))
            for length in range(1, len(copy) + 1):
                with self.subTest(part=copy[:length], own=own):
                    self.assertIn(self.result_after(copy[:length], own), (own_status, None))

    def result_after(self, part: bytes, own: bytes) -> int | None:
        """Return the status taken from ``own`` behind ``part``, or None if the call fails."""

        def respond(request_id: bytes) -> Iterator[bytes]:
            yield part + own if request_id == b"second" else response(request_id, b"")

        with target(respond) as address:
            self.exchange(address, b"first")
            call = self.call(address, b"second")
            call.send(monotonic() + TIMEOUT_S, b"")
            try:
                found = call.read_response(monotonic() + 0.1)
            except CallError as error:
                self.assertFalse(error.failure.excludes_execution)
                return None
            finally:
                call.close()
            self.assertEqual((found.metadata.request_id, found.body), (b"second", b"own"))
            self.assertEqual(found.metadata.is_not_run, found.head.status == 503)
            return found.head.status

    def test_wait_ends_with_the_connection_after_a_late_copy_without_length(self) -> None:
        """Guards against a wait that reads the end of the input again and again.

        It kept the whole process busy until the deadline of the request.
        """

        def handle(sock: socket.socket, address: object) -> None:
            for _ in request_ids(sock):
                sock.sendall(b"HTTP/1.1 200 X\r\nId: other\r\n\r\nbody")
                return

        self.assert_fails_at_once(handle, CallFailure.CLOSED)

    def test_wait_ends_at_malformed_bytes_after_a_late_copy(self) -> None:
        """Guards against waiting for a response that can no longer be read."""

        def handle(sock: socket.socket, address: object) -> None:
            for _ in request_ids(sock):
                sock.sendall(response(b"other", b"body") + b"\x00\x01")

        self.assert_fails_at_once(handle, CallFailure.NOT_HTTP)

    def assert_fails_at_once(
        self, handle: Callable[[socket.socket, object], None], failure: CallFailure
    ) -> None:
        with running_server(handle) as address:
            call = self.call(address, b"own")
            call.send(monotonic() + TIMEOUT_S, b"")
            with self.assertRaises(CallError) as raised:
                call.read_response(monotonic() + 1.0)
            self.assertIs(raised.exception.failure, failure)
            call.close()

    def test_late_copy_without_end_is_not_kept(self) -> None:
        """Guards against a process that runs out of memory by the copies of a faulty target."""
        sent: list[int] = []

        def handle(sock: socket.socket, address: object) -> None:
            for _ in request_ids(sock):
                sock.sendall(b"HTTP/1.1 200 X\r\nId: other\r\n\r\n")
                try:
                    while True:
                        sock.sendall(b"x" * 65_536)
                        sent.append(65_536)
                        sleep(0)
                except OSError:
                    # The call has closed the connection.
                    return

        self.assert_fails_at_once(handle, CallFailure.TOO_LARGE)
        self.assertLess(sum(sent), MAX_BUFFERED_RESPONSE_BYTES + SOCKET_BUFFER_BYTES)

    def test_interrupted_wait_goes_on_after_a_late_copy(self) -> None:
        """A hedge interrupts the wait while the late copy is being skipped."""

        def respond(request_id: bytes) -> Iterator[bytes]:
            copy = response(b"other", b"x" * 1000)
            yield copy[:200]
            sleep(0.2)
            yield copy[200:]
            yield response(request_id, b"own")

        with target(respond) as address:
            call = self.call(address, b"second")
            call.send(monotonic() + TIMEOUT_S, b"")
            with self.assertRaises(CallError) as raised:
                call.wait_for_head(monotonic() + 0.1)
            self.assertIs(raised.exception.failure, CallFailure.TIMED_OUT)
            self.assertEqual(call.read_response(monotonic() + TIMEOUT_S).body, b"own")
            call.close()

    def test_late_refusal_without_an_id_is_not_taken_for_this_request(self) -> None:
        """Guards against a booking that runs while its caller is told that it has not."""

        def respond(request_id: bytes) -> Iterator[bytes]:
            if request_id == b"second":
                yield response(None, b"", status=503)
            yield response(request_id, b"own of " + request_id)

        with target(respond) as address:
            self.exchange(address, b"first")
            call = self.call(address, b"second")
            call.send(monotonic() + TIMEOUT_S, b"")
            with self.assertRaises(CallError) as raised:
                call.read_response(monotonic() + TIMEOUT_S)
            self.assertFalse(raised.exception.failure.excludes_execution)
            call.close()

    def test_refusal_without_an_id_on_a_new_connection_counts(self) -> None:
        def respond(request_id: bytes) -> Iterator[bytes]:
            yield response(None, b"", status=503)

        with target(respond) as address:
            self.assertEqual(self.exchange(address, b"first")[0], 503)


class TestLongBody(unittest.TestCase):
    """Bodies that are sent while they arrive from the caller."""

    def test_reset_before_the_end_of_the_body_leaves_execution_possible(self) -> None:
        """Guards against a "not run" refusal of a booking whose response was lost.

        The target runs the request before it has the whole body, and resets the connection.
        """

        def handle(sock: socket.socket, address: object) -> None:
            sock.recv(65_536)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

        def remaining_parts() -> Iterator[bytes]:
            sleep(0.1)
            yield from ()

        pool = ConnectionPool()
        with running_server(handle) as address:
            entry = TargetEntry("t", 1, "s", "a1", address, 1, TargetState.READY)
            head = RequestHead(b"POST", b"/", ((b"Id", b"long"),))
            call = TargetCall(pool, PlainDialect(), entry, head, b"long", TIMEOUT_S)
            with self.assertRaises(CallError) as raised:
                call.send(monotonic() + TIMEOUT_S, b"first part", remaining_parts())
                call.read_response(monotonic() + TIMEOUT_S)
            self.assertFalse(raised.exception.failure.excludes_execution)
            call.close()
