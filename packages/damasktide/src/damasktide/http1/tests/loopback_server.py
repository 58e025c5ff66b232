"""A server over loopback sockets for tests."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent import socket
from gevent.server import StreamServer


@contextmanager
def running_server(handle: Callable[[socket.socket, object], None]) -> Iterator[tuple[str, int]]:
    """Run a server that passes each connection to ``handle``; yields its host and port."""
    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    try:
        yield ("127.0.0.1", server.server_port)
    finally:
        server.stop(timeout=0)
