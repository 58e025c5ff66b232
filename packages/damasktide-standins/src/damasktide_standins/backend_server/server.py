"""Stand-in backend server that listens on a TCP port."""

import socket
import struct
from pathlib import Path
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from damasktide.runtime.clock import Clock, MonotonicClock
from damasktide_standins.backend_server.app import SOCKET_KEY, build_app
from damasktide_standins.backend_server.execution import Execution
from damasktide_standins.backend_server.grants import GrantTracker
from damasktide_standins.backend_server.requests import ServerSettings
from damasktide_standins.backend_server.task import ExecutionTask, new_boot_id

CONNECTION_SETUP_TIME_S = 0.001


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Passes the socket to the application, so that faults can reset the connection."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class _Listener(WSGIServer):  # type: ignore[misc]
    """Delays each new connection and resets those beyond the limit."""

    def __init__(self, port: int, app: Any, connections: int) -> None:
        super().__init__(("127.0.0.1", port), app, handler_class=_Handler, log=None)
        self._max_connections = connections
        self._open_connections = 0

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        if self._open_connections >= self._max_connections:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            return
        # gevent leaves Nagle's algorithm on, which delays responses by up to 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open_connections += 1
        try:
            gevent.sleep(CONNECTION_SETUP_TIME_S)
            super().handle(sock, address)
        finally:
            self._open_connections -= 1


class BackendServer:
    """Stand-in backend server on the loopback interface.

    Parameters
    ----------
    settings
        Settings of the server.
    port
        TCP port; 0 picks a free one.
    log_file
        File to which the execution log is appended, or None.
    clock
        Monotonic clock; the system's if None.
    """

    def __init__(
        self,
        settings: ServerSettings,
        port: int = 0,
        log_file: Path | None = None,
        clock: Clock | None = None,
    ) -> None:
        clock = clock or MonotonicClock()
        log = log_file.open("a", encoding="utf-8") if log_file else None
        grant_tracker = GrantTracker(new_boot_id(), settings.checks_grants)
        self._task = ExecutionTask(Execution(settings, grant_tracker), clock, log)
        app = build_app(settings, self._task, clock)
        self._listener = _Listener(port, app, settings.connections)

    @property
    def port(self) -> int:
        """TCP port on which the server listens."""
        return int(self._listener.server_port)

    def start(self) -> None:
        """Start serving in the background."""
        self._task.start()
        self._listener.start()

    def stop(self) -> None:
        """Stop listening and close the execution log."""
        self._listener.stop(timeout=1)
        self._task.stop()
