"""Calls over links on loopback: replies, failures, authentication and reuse of links."""

import unittest
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer
from returns.pipeline import is_successful

from damasktide.peering.authentication import Direction
from damasktide.peering.client import (
    LINK_IDLE_TIMEOUT_S,
    DropLink,
    GetLink,
    PeerClient,
    SweepLinks,
)
from damasktide.peering.codec import MAX_BODY_BYTES, PeerCall
from damasktide.peering.server import CallHandler, ListeningAddress, PeerServer
from damasktide.peering.stream import PeerStream
from damasktide.runtime.clock import ManualClock
from damasktide.runtime.registry import Registry

KEY = b"shared key of all instances 0123"
HANDLERS: Registry[str, CallHandler] = Registry("call handler")


@HANDLERS.register("who")
def _return_sender_and_body(sender_id: str, body: bytes) -> bytes:
    return sender_id.encode() + b":" + body


@HANDLERS.register("sleep")
def _sleep(_sender_id: str, body: bytes) -> bytes:
    gevent.sleep(int(body) / 1000)
    return body


@HANDLERS.register("raise")
def _raise(_sender_id: str, _body: bytes) -> bytes:
    raise RuntimeError("broken handler")


class RecordingSocket:
    """Forwards to a socket and records what is sent."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address)
        self.sent: list[bytes] = []

    def sendall(self, data: bytes) -> None:
        self.sent.append(data)
        self.sock.sendall(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class LinkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.client = PeerClient("ondo-a-1#1", KEY, self.clock)
        self.client.start()
        self.addCleanup(self.client.stop)

    def serve(self, handlers: Registry[str, CallHandler] = HANDLERS) -> tuple[str, int]:
        self.server = PeerServer("ondo-b-1#2", "127.0.0.1", 0, KEY, handlers)
        self.server.start()
        self.addCleanup(self.server.stop)
        address: tuple[str, int] = self.server.ask(ListeningAddress())
        return address

    def serve_with(self, handle: Callable[[Any, Any], None]) -> tuple[str, int]:
        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        self.addCleanup(server.stop)
        return "127.0.0.1", server.address[1]

    def test_replies_out_of_order_reach_the_right_calls(self) -> None:
        """Guards against matching replies by order, and against a slow call that blocks others."""
        address = self.serve()
        bodies = [str(delay_ms).encode() for delay_ms in range(100, 0, -2)]
        calls = [gevent.spawn(self.client.call, *address, "sleep", body, 2.0) for body in bodies]
        gevent.joinall(calls)
        self.assertEqual([call.value.unwrap() for call in calls], bodies)

    def test_handlers_receive_the_authenticated_sender_and_large_bodies(self) -> None:
        """Guards against calls attributed to the wrong instance and against truncated bodies."""
        body = bytes(MAX_BODY_BYTES - 32)
        result = self.client.call(*self.serve(), "who", body, 5.0)
        self.assertEqual(result.unwrap(), b"ondo-a-1#1:" + body)

    def test_a_late_reply_is_discarded(self) -> None:
        """Guards against returning the reply of a timed-out call for the next call."""
        address = self.serve()
        timed_out = self.client.call(*address, "sleep", b"80", 0.02)
        self.assertFalse(timed_out.failure().not_sent)
        self.assertEqual(self.client.call(*address, "sleep", b"120", 2.0).unwrap(), b"120")

    def test_dropping_a_link_fails_its_calls_immediately(self) -> None:
        """Guards against calls that use up their timeout on a peer known to be unresponsive."""
        address = self.serve()
        waiting = gevent.spawn(self.client.call, *address, "sleep", b"4000", 5.0)
        gevent.sleep(0.1)
        self.client.tell(DropLink(address))
        self.assertFalse(is_successful(waiting.get(timeout=2.0)))

    def test_a_failing_handler_does_not_close_the_link(self) -> None:
        """Guards against a failing call that also fails the others on its link."""
        address = self.serve()
        waiting = gevent.spawn(self.client.call, *address, "sleep", b"50", 2.0)
        gevent.sleep(0.01)
        for kind in ("raise", "unknown"):
            self.assertFalse(self.client.call(*address, kind, b"", 2.0).failure().not_sent)
        self.assertEqual(waiting.get().unwrap(), b"50")

    def test_a_link_closed_after_the_write_gives_an_unknown_outcome(self) -> None:
        """Guards against reporting a call as not sent that the peer may have run."""

        def close_after_call(sock: Any, _address: object) -> None:
            stream = PeerStream(sock, KEY, Direction.TO_CLIENT)
            stream.handshake_as_server("ondo-b-1#2")
            stream.receive()
            stream.close()

        error = self.client.call(*self.serve_with(close_after_call), "who", b"", 2.0).failure()
        self.assertFalse(error.not_sent)

    def test_a_call_that_was_never_written_is_reported_as_not_sent(self) -> None:
        """Guards against reporting an unknown outcome, which rules out a retry that would be safe.

        The peer does not listen, does not complete the handshake, or the body is too long.
        """
        unresponsive = self.serve_with(lambda _sock, _address: gevent.sleep(5))
        closed = socket.create_server(("127.0.0.1", 0))
        no_listener: tuple[str, int] = closed.getsockname()
        closed.close()
        results = [
            self.client.call(*no_listener, "who", b"", 2.0),
            self.client.call(*unresponsive, "who", b"", 0.1),
            self.client.call(*self.serve(), "who", bytes(MAX_BODY_BYTES + 1), 2.0),
        ]
        self.assertEqual([result.failure().not_sent for result in results], [True] * 3)

    def test_a_timeout_around_a_call_interrupts_it(self) -> None:
        """Guards against a request handler that waits for a call beyond its deadline."""
        unresponsive = self.serve_with(lambda _sock, _address: gevent.sleep(5))
        with self.assertRaises(gevent.Timeout), gevent.Timeout(0.05):
            self.client.call(*unresponsive, "who", b"", 5.0)

    def test_a_client_with_another_key_gets_no_link(self) -> None:
        """Guards against serving calls of a process that does not have the shared key."""
        unauthenticated = PeerClient("ondo-a-1#1", b"another key")
        unauthenticated.start()
        self.addCleanup(unauthenticated.stop)
        address = self.serve()
        self.assertTrue(unauthenticated.call(*address, "who", b"", 2.0).failure().not_sent)
        self.assertTrue(is_successful(self.client.call(*address, "who", b"", 2.0)))

    def test_replayed_frames_close_the_link(self) -> None:
        """Guards against replay: a recorded call must not run a second time."""
        handlers: Registry[str, CallHandler] = Registry("call handler")
        runs: list[bytes] = []

        @handlers.register("count")
        def _count(_sender_id: str, body: bytes) -> bytes:
            runs.append(body)
            return b""

        address = self.serve(handlers)
        recorder = RecordingSocket(address)
        stream = PeerStream(recorder, KEY, Direction.TO_SERVER)
        stream.handshake_as_client("ondo-a-1#1")
        stream.send(PeerCall(1, "count", b"once"))
        self.assertIsNotNone(stream.receive())
        recorder.sock.sendall(recorder.sent[-1])
        self.assertIsNone(stream.receive())
        with socket.create_connection(address, timeout=2.0) as again:
            again.sendall(b"".join(recorder.sent))
            while again.recv(4096):
                pass
        self.assertEqual(runs, [b"once"])

    def test_links_are_reused_closed_when_idle_and_reopened(self) -> None:
        """Guards against one link per call, and against links that stay open forever."""
        address = self.serve()
        self.client.call(*address, "who", b"", 2.0)
        first = self.client.ask(GetLink(address))
        self.clock.advance(LINK_IDLE_TIMEOUT_S - 0.1)
        self.client.ask(SweepLinks())
        self.client.call(*address, "who", b"", 2.0)
        self.assertIs(self.client.ask(GetLink(address)), first)
        self.clock.advance(LINK_IDLE_TIMEOUT_S)
        self.client.ask(SweepLinks())
        gevent.sleep(0.05)
        self.assertTrue(first.is_closed)
        self.assertTrue(is_successful(self.client.call(*address, "who", b"", 2.0)))

    def test_a_restarted_peer_is_reachable(self) -> None:
        """Guards against reusing the link to a process that no longer runs."""
        address = self.serve()
        self.client.call(*address, "who", b"", 2.0)
        self.server.stop()
        self.assertFalse(is_successful(self.client.call(*address, "who", b"", 2.0)))
        self.server = PeerServer("ondo-b-1#3", *address, KEY, HANDLERS)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.assertTrue(is_successful(self.client.call(*address, "who", b"", 2.0)))

    def test_a_stopping_server_finishes_running_calls(self) -> None:
        """Guards against a graceful stop that interrupts a call."""
        address = self.serve()
        running = gevent.spawn(self.client.call, *address, "sleep", b"100", 2.0)
        gevent.sleep(0.05)
        self.server.stop()
        self.assertEqual(running.get().unwrap(), b"100")


if __name__ == "__main__":
    unittest.main()
