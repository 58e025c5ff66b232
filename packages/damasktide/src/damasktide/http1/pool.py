"""Pool of idle connections to servers."""

from collections import deque
from collections.abc import Callable, Collection
from time import monotonic

from damasktide.http1.errors import CallError
from damasktide.http1.messages import ResponseHead
from damasktide.http1.server_connection import ServerConnection

Address = tuple[str, int]

# Used if the server announces no keep-alive timeout: half of the 10 s that servers commonly use.
DEFAULT_IDLE_LIMIT_S = 5.0
# Connections are closed this much before the server's timeout, because a call that is sent while
# the server closes the connection is lost.
IDLE_MARGIN_S = 1.0
MAX_IDLE_PER_ADDRESS = 16


class ConnectionPool:
    """Keeps idle connections by address; shared by the greenlets of one process.

    Parameters
    ----------
    on_connect
        Called with the address before each new connection is opened.
    """

    def __init__(self, on_connect: Callable[[Address], None] = lambda address: None) -> None:
        self._idle_by_address: dict[Address, deque[ServerConnection]] = {}
        self._on_connect = on_connect

    def acquire(
        self,
        address: Address,
        connect_timeout_s: float,
        excluded: Collection[ServerConnection] = (),
    ) -> ServerConnection:
        """Return an idle connection that is not in ``excluded``, or open a new one.

        Raises
        ------
        CallError
            If no new connection can be opened.
        """
        idle = self._idle_by_address.get(address, deque())
        usable = [connection for connection in idle if connection not in excluded]
        while usable:
            connection = usable.pop()
            idle.remove(connection)
            idle_s = monotonic() - connection.idle_since
            if idle_s < connection.idle_limit_s and not connection.has_unexpected_input():
                return connection
            connection.close()
        return self.open(address, connect_timeout_s)

    def open(self, address: Address, connect_timeout_s: float) -> ServerConnection:
        """Open a new connection.

        Raises
        ------
        CallError
            If it cannot be opened.
        """
        self._on_connect(address)
        connection = ServerConnection(address)
        connection.connect(connect_timeout_s)
        return connection

    def release(self, connection: ServerConnection, head: ResponseHead | None = None) -> None:
        """Return ``connection`` to the pool, or close it if it cannot be reused."""
        if not connection.is_reusable():
            connection.close()
            return
        idle = self._idle_by_address.setdefault(connection.address, deque())
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_since = monotonic()
        connection.idle_limit_s = idle_limit_s(head)
        idle.append(connection)

    def close_expired(self) -> None:
        """Close idle connections whose time limit has passed; call this about once a second."""
        now = monotonic()
        for address, idle in list(self._idle_by_address.items()):
            while idle and now - idle[0].idle_since >= idle[0].idle_limit_s:
                idle.popleft().close()
            if not idle:
                del self._idle_by_address[address]

    def close_all(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()


def idle_limit_s(head: ResponseHead | None) -> float:
    """Return how many seconds a connection may stay idle after the response with ``head``."""
    value = head.field(b"keep-alive") if head is not None else None
    if value is None:
        return DEFAULT_IDLE_LIMIT_S
    for parameter in value.split(b","):
        name, _, number = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            # The announced timeout is rounded down to whole seconds, so half of it is always safe,
            # even if the margin is larger.
            timeout_s = float(number)
            return max(timeout_s / 2.0, timeout_s - IDLE_MARGIN_S)
    return DEFAULT_IDLE_LIMIT_S


__all__ = ["Address", "CallError", "ConnectionPool", "idle_limit_s"]
