"""Allocates free ports on the loopback interface."""

import socket
from random import SystemRandom

# Below the default range of ephemeral ports of Linux. An outgoing connection could take a port
# of that range before the process that is to listen on it has started.
FIRST_PORT = 12_000
LAST_PORT = 32_000

_random = SystemRandom()
_allocated: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ``count`` ports that are free on loopback and were not returned before."""
    ports: list[int] = []
    while len(ports) < count:
        port = _random.randint(FIRST_PORT, LAST_PORT)
        if port not in _allocated and _is_free(port):
            _allocated.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
