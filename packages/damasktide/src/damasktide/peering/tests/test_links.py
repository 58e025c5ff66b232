import unittest
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer
from returns.pipeline import is_successful

from damasktide.peering.authentication import Direction
from damasktide.peering.client import LINK_IDLE_S, DropLink, LinkWanted, PeerClient, SweepLinks
from damasktide.peering.codec import MAX_BODY_BYTES, PeerCall
from damasktide.peering.server import CallHandler, ListeningAddress, PeerServer
from damasktide.peering.stream import PeerStream
from damasktide.runtime.clock import ManualClock
from damasktide.runtime.registry import Registry

KEY = b"shared key of all instances 0123"
HANDLERS: Registry[str, CallHandler] = Registry("call handler")


@HANDLERS.register("who")
def _who(sender_id: str, body: bytes) -> bytes:
    return sender_id.encode() + b":" + body


@HANDLERS.register("sleep")
def _sleep(_sender_id: str, body: bytes) -> bytes:
    gevent.sleep(int(body) / 1000)
    return body


@HANDLERS.register("raise")
def _raise(_sender_id: str, _body: bytes) -> bytes:
    raise RuntimeError("broken handler")


class RecordingSocket:
    """Passes everything on and keeps what was sent."""

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

    def serve_raw(self, handle: Callable[[Any, Any], None]) -> tuple[str, int]:
        raw = StreamServer(("127.0.0.1", 0), handle)
        raw.start()
        self.addCleanup(raw.stop)
        return "127.0.0.1", raw.address[1]

    def test_crossed_replies_reach_the_right_callers(self) -> None:
        """Guards against replies matched by order and against a slow call holding up others."""
        address = self.serve()
        bodies = [str(delay_ms).encode() for delay_ms in range(100, 0, -2)]
        calls = [gevent.spawn(self.client.call, *address, "sleep", body, 2.0) for body in bodies]
        gevent.joinall(calls)
        self.assertEqual([call.value.unwrap() for call in calls], bodies)

    def test_handlers_get_the_authenticated_sender_and_large_bodies(self) -> None:
        """Guards against calls attributed to the wrong instance and against cut bodies."""
        body = bytes(MAX_BODY_BYTES - 32)
        result = self.client.call(*self.serve(), "who", body, 5.0)
        self.assertEqual(result.unwrap(), b"ondo-a-1#1:" + body)

    def test_a_late_reply_reaches_nobody(self) -> None:
        """Guards against the reply of a timed-out call reaching the next caller."""
        address = self.serve()
        late = self.client.call(*address, "sleep", b"80", 0.02)
        self.assertFalse(late.failure().not_sent)
        self.assertEqual(self.client.call(*address, "sleep", b"120", 2.0).unwrap(), b"120")

    def test_dropping_a_link_ends_its_calls_at_once(self) -> None:
        """Guards against calls that wait out their time at a peer known to be silent."""
        address = self.serve()
        waiting = gevent.spawn(self.client.call, *address, "sleep", b"4000", 5.0)
        gevent.sleep(0.1)
        self.client.tell(DropLink(address))
        self.assertFalse(is_successful(waiting.get(timeout=2.0)))

    def test_a_failing_handler_keeps_the_link(self) -> None:
        """Guards against one broken call failing the others on its link."""
        address = self.serve()
        waiting = gevent.spawn(self.client.call, *address, "sleep", b"50", 2.0)
        gevent.sleep(0.01)
        for kind in ("raise", "unknown"):
            self.assertFalse(self.client.call(*address, kind, b"", 2.0).failure().not_sent)
        self.assertEqual(waiting.get().unwrap(), b"50")

    def test_a_link_cut_after_the_write_gives_an_unknown_outcome(self) -> None:
        """Guards against a repeat of a call that the peer may have run."""

        def cut(sock: Any, _address: object) -> None:
            stream = PeerStream(sock, KEY, Direction.TO_CLIENT)
            stream.handshake_as_server("ondo-b-1#2")
            stream.receive()
            stream.close()

        error = self.client.call(*self.serve_raw(cut), "who", b"", 2.0).failure()
        self.assertFalse(error.not_sent)

    def test_a_call_that_was_never_written_says_so(self) -> None:
        """Guards against safe repeats being refused: no listener, no handshake, too long."""
        silent = self.serve_raw(lambda _sock, _address: gevent.sleep(5))
        closed = socket.create_server(("127.0.0.1", 0))
        nobody: tuple[str, int] = closed.getsockname()
        closed.close()
        results = [
            self.client.call(*nobody, "who", b"", 2.0),
            self.client.call(*silent, "who", b"", 0.1),
            self.client.call(*self.serve(), "who", bytes(MAX_BODY_BYTES + 1), 2.0),
        ]
        self.assertEqual([result.failure().not_sent for result in results], [True] * 3)

    def test_a_timeout_around_a_call_ends_it(self) -> None:
        """Guards against a request handler that outlives its deadline in a call."""
        silent = self.serve_raw(lambda _sock, _address: gevent.sleep(5))
        with self.assertRaises(gevent.Timeout), gevent.Timeout(0.05):
            self.client.call(*silent, "who", b"", 5.0)

    def test_a_stranger_gets_no_link(self) -> None:
        """Guards against calls from a process without the shared key."""
        stranger = PeerClient("ondo-a-1#1", b"another key")
        stranger.start()
        self.addCleanup(stranger.stop)
        address = self.serve()
        self.assertTrue(stranger.call(*address, "who", b"", 2.0).failure().not_sent)
        self.assertTrue(is_successful(self.client.call(*address, "who", b"", 2.0)))

    def test_replayed_frames_close_the_link(self) -> None:
        """Guards against a recorded call that runs a second time."""
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
        """Guards against one link per call, and against links that stay open for ever."""
        address = self.serve()
        self.client.call(*address, "who", b"", 2.0)
        first = self.client.ask(LinkWanted(address))
        self.clock.advance(LINK_IDLE_S - 0.1)
        self.client.ask(SweepLinks())
        self.client.call(*address, "who", b"", 2.0)
        self.assertIs(self.client.ask(LinkWanted(address)), first)
        self.clock.advance(LINK_IDLE_S)
        self.client.ask(SweepLinks())
        gevent.sleep(0.05)
        self.assertTrue(first.is_closed)
        self.assertTrue(is_successful(self.client.call(*address, "who", b"", 2.0)))

    def test_a_restarted_peer_is_reached_again(self) -> None:
        """Guards against a kept link to a process that is gone."""
        address = self.serve()
        self.client.call(*address, "who", b"", 2.0)
        self.server.stop()
        self.assertFalse(is_successful(self.client.call(*address, "who", b"", 2.0)))
        self.server = PeerServer("ondo-b-1#3", *address, KEY, HANDLERS)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.assertTrue(is_successful(self.client.call(*address, "who", b"", 2.0)))

    def test_a_stopping_server_finishes_running_calls(self) -> None:
        """Guards against a planned stop that interrupts a call."""
        address = self.serve()
        running = gevent.spawn(self.client.call, *address, "sleep", b"100", 2.0)
        gevent.sleep(0.05)
        self.server.stop()
        self.assertEqual(running.get().unwrap(), b"100")


if __name__ == "__main__":
    unittest.main()
