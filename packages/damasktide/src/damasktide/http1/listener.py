"""Listening socket that serves each accepted connection in its own greenlet."""

from collections.abc import Callable

from gevent import socket
from gevent.server import StreamServer
from loguru import logger

from damasktide.http1.caller_connection import CallerConnection, CallerLimits

BACKLOG = 512


class Listener:
    """A listening socket and the connections accepted on it.

    Parameters
    ----------
    address
        Host and port to listen on.
    limits
        Returns the current limits for callers.
    serve
        Serves one connection until it ends.
    """

    def __init__(
        self,
        address: tuple[str, int],
        limits: Callable[[], CallerLimits],
        serve: Callable[[CallerConnection], None],
    ) -> None:
        self._limits = limits
        self._serve = serve
        self._connections: set[CallerConnection] = set()
        self._server = StreamServer(address, self._accept, backlog=BACKLOG)

    def start(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        self._server.start()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port; the port is the assigned one if port 0 was requested."""
        host, port = self._server.address[:2]
        return host, port

    def close_all(self) -> None:
        """Close all open connections."""
        for connection in list(self._connections):
            connection.close()

    def stop_accepting(self) -> None:
        """Close the listening socket, if it is open; open connections stay open.

        Connections that the kernel has already accepted are served, because closing the socket
        would reset them.
        """
        if self._server.closed:
            return
        self._server.stop_accepting()
        while (accepted := self._server.do_read()) is not None:
            self._server.do_handle(*accepted)
        self._server.close()

    def close_idle(self) -> bool:
        """Close connections that wait for a request, unless their callers still read responses.

        Returns whether no idle connection is left.
        """
        kept = [
            connection for connection in list(self._connections) if not connection.close_if_idle()
        ]
        return not kept

    def close_receiving(self) -> None:
        """Close connections that wait for a request or the rest of one; responses are sent."""
        for connection in list(self._connections):
            connection.close_if_receiving()

    def _accept(self, sock: socket.socket, address: tuple[str, int]) -> None:
        connection = CallerConnection(sock, self._limits)
        self._connections.add(connection)
        try:
            self._serve(connection)
        except OSError as error:
            logger.bind(caller=address[0]).debug("connection of a caller failed: {}", error)
        except Exception:
            # An error in one connection is logged and must not affect the others.
            logger.bind(caller=address[0]).exception("unexpected error on a caller's connection")
        finally:
            self._connections.discard(connection)
            connection.close()
