"""Validated settings of an instance."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP or UDP address.

    Attributes
    ----------
    host
        IP address.
    port
        Port number.
    """

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class OperationSettings:
    """Settings of one operation of a service.

    Attributes
    ----------
    keyed
        Whether requests are routed to the owner of their key.
    idempotent
        Whether requests may run more than once; None means that the HTTP method decides.
    """

    keyed: bool
    idempotent: bool | None


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings of one service.

    Attributes
    ----------
    name
        Name of the service.
    shards
        Number of shards of the key space; must never change.
    on_isolation
        ``yield`` or ``hold``, see ``docs/design.md``.
    grants_checked
        Whether its backend servers check grants.
    max_deadline_s
        Longest deadline of a keyed request in seconds, or None.
    operation_by_name
        Its operations.
    """

    name: str
    shards: int
    on_isolation: str
    grants_checked: bool
    max_deadline_s: float | None
    operation_by_name: Mapping[str, OperationSettings]


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses of the platform's services.

    Attributes
    ----------
    table_url, object_url, live_list_url
        Base URLs without a trailing slash.
    """

    table_url: str
    object_url: str
    live_list_url: str


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an instance.

    Attributes
    ----------
    instance
        Configured name of the instance.
    domain, region
        Failure domain and region of the instance.
    listen
        Address for callers.
    gossip_port, peer_port
        UDP and TCP ports for other instances, on the host of ``listen``.
    peer_key
        Shared key that authenticates messages between instances.
    seeds
        Gossip addresses used to join.
    statsd
        Address of the statsd daemon, or None.
    log_level
        Minimum level of log lines.
    max_body_bytes, max_header_bytes
        Maximum size of the body and of the headers of a request.
    platform
        Addresses of the platform's services.
    region_by_domain
        Region of each failure domain.
    service_by_name
        Settings of each service.
    """

    instance: str
    domain: str
    region: str
    listen: Address
    gossip_port: int
    peer_port: int
    peer_key: bytes
    seeds: tuple[Address, ...]
    statsd: Address | None
    log_level: str
    max_body_bytes: int
    max_header_bytes: int
    platform: PlatformSettings
    region_by_domain: Mapping[str, str]
    service_by_name: Mapping[str, ServiceSettings]

    @property
    def regions(self) -> tuple[str, ...]:
        """All regions, sorted by name."""
        return tuple(sorted(set(self.region_by_domain.values())))
