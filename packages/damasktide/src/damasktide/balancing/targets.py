"""Targets: backend servers of a service, as listed by the platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """A backend server of one service.

    Attributes
    ----------
    server_id
        Id of the backend server.
    service
        Service that the server runs.
    domain
        Failure domain of the server.
    region
        Region of that failure domain.
    host, port
        TCP address.
    slots
        Requests that the server can run concurrently.
    connections
        Concurrent TCP connections that the server accepts.
    leaving
        Whether the live list marks the server as leaving.
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
