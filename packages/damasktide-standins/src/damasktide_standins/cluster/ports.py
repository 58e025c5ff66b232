"""Free ports on loopback."""

import socket
from random import SystemRandom

# Below the ports that Linux gives to outgoing connections by default. A port from that range
# may be taken by a connection before the process that was to listen on it has started.
FIRST_PORT = 12_000
LAST_PORT = 32_000

_random = SystemRandom()
_given: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ``count`` ports that are free on loopback at the moment, each given only once."""
    ports: list[int] = []
    while len(ports) < count:
        port = _random.randint(FIRST_PORT, LAST_PORT)
        if port not in _given and _is_free(port):
            _given.add(port)
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
