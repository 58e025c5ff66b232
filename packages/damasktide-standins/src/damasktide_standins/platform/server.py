"""HTTP server of the stand-in for the platform; injects faults that affect connections."""

import socket
from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from damasktide_standins.platform.app import PlatformApp

SOCKET_KEY = "damasktide.socket"
WRITE_OPERATIONS = ("PutItem", "TransactWriteItems")

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Passes the socket to the application, so that a fault can close the connection."""

    def handle(self) -> None:
        # The server sends head and body separately. With Nagle's algorithm the body would wait
        # about 40 ms for the client's delayed acknowledgement.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> Environ:
        environ: Environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class _FaultInjectingApp:
    """Applies the active faults to each request, except those to ``/faults``."""

    def __init__(self, app: PlatformApp) -> None:
        self._app = app

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        if environ["PATH_INFO"] == "/faults":
            return self._respond(environ, start_response)
        faults = self._app.faults.current
        gevent.sleep(faults.slow_ms / 1000)
        if faults.down:
            return _close_connection(environ, start_response)
        start_response_calls: list[tuple[Any, ...]] = []
        body = list(self._respond(environ, lambda *args: start_response_calls.append(args)))
        if (
            _is_applied_write(environ, start_response_calls)
            and self._app.faults.consume_dropped_response()
        ):
            return _close_connection(environ, start_response)
        start_response(*start_response_calls[-1])
        return body

    def _respond(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        response: Iterable[bytes] = self._app.bottle(environ, start_response)
        return response


class PlatformServer:
    """The stand-in for the platform as an HTTP server on the loopback interface.

    Parameters
    ----------
    port
        TCP port; 0 picks a free one.
    app
        Application to serve; a new one if None.
    """

    def __init__(self, port: int = 0, app: PlatformApp | None = None) -> None:
        self.app = app or PlatformApp()
        self._server = WSGIServer(
            ("127.0.0.1", port), _FaultInjectingApp(self.app), handler_class=_Handler, log=None
        )

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://127.0.0.1:{self._server.server_port}"

    def start(self) -> None:
        """Listen and serve in the background."""
        self._server.start()

    def serve_forever(self) -> None:
        """Listen and serve until the process ends."""
        self._server.serve_forever()

    def stop(self) -> None:
        """Close the listener and abort all requests in progress."""
        self._server.stop(timeout=0)


def _is_applied_write(environ: Environ, start_response_calls: list[tuple[Any, ...]]) -> bool:
    operation = environ.get("HTTP_X_AMZ_TARGET", "").rpartition(".")[2]
    return operation in WRITE_OPERATIONS and start_response_calls[-1][0].startswith("200")


def _close_connection(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    # WSGI requires a response; the socket is already shut down, so the client does not get it.
    start_response("503 Service Unavailable", [("Connection", "close")])
    return []
