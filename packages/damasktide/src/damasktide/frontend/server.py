"""HTTP server of an instance."""

import socket

from bottle import Bottle
from gevent.pywsgi import WSGIHandler, WSGIServer


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Handles connections with Nagle's algorithm disabled."""

    def handle(self) -> None:
        # The server writes headers and body separately; with Nagle's algorithm the body would
        # wait about 40 ms for the client's delayed acknowledgement.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()


def build_server(host: str, port: int, app: Bottle) -> WSGIServer:
    """Return a server, not yet started, that writes no access log."""
    return WSGIServer((host, port), app, handler_class=_Handler, log=None)
