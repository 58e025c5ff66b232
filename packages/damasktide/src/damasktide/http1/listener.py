"""Accepts callers' connections and runs one greenlet for each."""

from collections.abc import Callable

from gevent import socket
from gevent.server import StreamServer
from loguru import logger

from damasktide.http1.caller_connection import CallerConnection, CallerLimits

BACKLOG = 512


class Listener:
    """Listening socket with the connections that were accepted on it.

    Parameters
    ----------
    address
        Host and port to listen on.
    limits
        Returns the limits in force for callers.
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
        """Listen.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        self._server.start()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port; the port that was taken if port 0 was asked for."""
        host, port = self._server.address[:2]
        return host, port

    def close_all(self) -> None:
        """Close all open connections."""
        for connection in list(self._connections):
            connection.close()

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay."""
        self._server.close()

    def close_idle(self) -> None:
        """Close connections on which no request has begun."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def _accept(self, sock: socket.socket, address: tuple[str, int]) -> None:
        connection = CallerConnection(sock, self._limits)
        self._connections.add(connection)
        try:
            self._serve(connection)
        except OSError as error:
            logger.bind(caller=address[0]).debug("caller's connection failed: {}", error)
        except Exception:
            # A fault in one request must not go unseen, nor end the other connections.
            logger.bind(caller=address[0]).exception("caller's connection ended by a fault")
        finally:
            self._connections.discard(connection)
            connection.close()
