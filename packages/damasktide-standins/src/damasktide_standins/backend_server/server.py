"""A stand-in backend server that listens on a port."""

import socket
import struct
from pathlib import Path
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from damasktide.runtime.clock import Clock, MonotonicClock
from damasktide_standins.backend_server.app import SOCKET_KEY, build_app
from damasktide_standins.backend_server.execution import Execution
from damasktide_standins.backend_server.grants import GrantLedger
from damasktide_standins.backend_server.requests import ServerSettings
from damasktide_standins.backend_server.task import ExecutionTask, new_boot_id

CONNECT_TIME_S = 0.001


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Gives the application its socket, so that faults can reset it."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class _Listener(WSGIServer):  # type: ignore[misc]
    """Resets connections beyond the limit and spends time on each new one."""

    def __init__(self, port: int, app: Any, connections: int) -> None:
        super().__init__(("127.0.0.1", port), app, handler_class=_Handler, log=None)
        self._limit = connections
        self._open = 0

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        if self._open >= self._limit:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            return
        # gevent leaves Nagle's algorithm on, which delays responses by up to 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open += 1
        try:
            gevent.sleep(CONNECT_TIME_S)
            super().handle(sock, address)
        finally:
            self._open -= 1


class BackendServer:
    """A stand-in backend server on loopback.

    Parameters
    ----------
    settings
        Settings of the server.
    port
        TCP port; 0 picks a free one.
    log_file
        File for the execution log, or None.
    clock
        Monotonic clock.
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
        ledger = GrantLedger(new_boot_id(), settings.checked)
        self._task = ExecutionTask(Execution(settings, ledger), clock, log)
        app = build_app(settings, self._task, clock)
        self._listener = _Listener(port, app, settings.connections)

    @property
    def port(self) -> int:
        """TCP port on which the server listens."""
        return int(self._listener.server_port)

    def start(self) -> None:
        """Start to serve in the background."""
        self._task.start()
        self._listener.start()

    def stop(self) -> None:
        """Close the port and the execution log."""
        self._listener.stop(timeout=1)
        self._task.stop()
