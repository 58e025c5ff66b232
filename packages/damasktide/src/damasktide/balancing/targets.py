"""Targets: the backend servers of a service as the platform lists them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """A backend server of one service.

    Attributes
    ----------
    server_id
        Id of the backend server.
    service
        Service that it runs.
    domain
        Failure domain in which it stands.
    region
        Region of that failure domain.
    host, port
        TCP address.
    slots
        Requests that it can run at once.
    connections
        TCP connections that it accepts.
    leaving
        Whether the live list says that it is leaving.
    """

    server_id: str
    service: str
    domain: str
    region: str
    host: str
    port: int
    slots: int = 6
    connections: int = 110
    leaving: bool = False
