"""Idle connections to servers, kept for the next call."""

from collections import deque
from collections.abc import Callable
from time import monotonic

from damasktide.http1.errors import CallError
from damasktide.http1.messages import ResponseHead
from damasktide.http1.server_connection import ServerConnection

Address = tuple[str, int]

# A server closes idle connections after its own time limit; half of the usual 10 s is safe.
DEFAULT_IDLE_LIMIT_S = 5.0
# A call on a connection that the server is closing is lost, so it is dropped earlier.
IDLE_MARGIN_S = 1.0
MAX_IDLE_PER_ADDRESS = 16


class ConnectionPool:
    """Keeps idle connections by address; used by the greenlets of one process.

    Parameters
    ----------
    on_connect
        Called with the address before each new connection is opened.
    """

    def __init__(self, on_connect: Callable[[Address], None] = lambda address: None) -> None:
        self._idle_by_address: dict[Address, deque[ServerConnection]] = {}
        self._on_connect = on_connect

    def take(self, address: Address, connect_timeout_s: float) -> ServerConnection:
        """Return an idle connection, or a new one.

        Raises
        ------
        CallError
            If no connection can be opened.
        """
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            age_s = monotonic() - connection.idle_since
            if age_s < connection.idle_limit_s and not connection.has_unexpected_input():
                return connection
            connection.close()
        return self.open(address, connect_timeout_s)

    def open(self, address: Address, connect_timeout_s: float) -> ServerConnection:
        """Return a new connection.

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
        """Keep ``connection`` if another call can use it; close it otherwise."""
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
        """Close idle connections whose time limit has passed; to be called each second."""
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
    """Return for how many seconds a connection may stay idle after a response."""
    value = head.field(b"keep-alive") if head is not None else None
    if value is None:
        return DEFAULT_IDLE_LIMIT_S
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            # The server rounds down to whole seconds, so half of it is kept at least.
            timeout_s = float(number)
            return max(timeout_s / 2.0, timeout_s - IDLE_MARGIN_S)
    return DEFAULT_IDLE_LIMIT_S


__all__ = ["Address", "CallError", "ConnectionPool", "idle_limit_s"]
