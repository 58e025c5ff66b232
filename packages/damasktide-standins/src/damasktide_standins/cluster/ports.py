"""Free ports on loopback."""

import socket


def free_ports(count: int) -> list[int]:
    """Return ``count`` TCP ports that are free on loopback at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [int(item.getsockname()[1]) for item in sockets]
    finally:
        for item in sockets:
            item.close()
