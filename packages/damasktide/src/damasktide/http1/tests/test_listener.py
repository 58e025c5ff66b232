"""Stopping a listener while connections arrive."""

import unittest

from gevent import sleep, socket

from damasktide.http1.caller_connection import CallerConnection, CallerLimits
from damasktide.http1.listener import Listener

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def respond(connection: CallerConnection) -> None:
    if connection.read_request() is not None:
        connection.send_plain(200, b"OK", "served")


class TestStop(unittest.TestCase):
    def test_connections_in_the_backlog_are_served(self) -> None:
        """Guards against a planned stop that resets connections which were just accepted."""
        listener = Listener(("127.0.0.1", 0), CallerLimits, respond)
        listener.start()
        sleep(0.01)
        callers = []
        for _ in range(20):
            # The kernel completes the connection without the listener.
            caller = socket.socket()
            caller._sock.setblocking(True)
            caller._sock.connect(listener.address)
            caller._sock.sendall(REQUEST)
            callers.append(caller)
        listener.stop_accepting()
        for caller in callers:
            caller._sock.setblocking(False)
            caller.settimeout(5.0)
            self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 200"))
            caller.close()
        with self.assertRaises(OSError):
            socket.create_connection(listener.address, timeout=1.0)

    def test_listener_may_be_stopped_twice(self) -> None:
        """A graceful stop closes the listener when it begins to refuse, and again at its end."""
        listener = Listener(("127.0.0.1", 0), CallerLimits, respond)
        listener.start()
        listener.stop_accepting()
        listener.stop_accepting()

    def test_listener_that_was_not_started_can_be_stopped(self) -> None:
        Listener(("127.0.0.1", 0), CallerLimits, respond).stop_accepting()
