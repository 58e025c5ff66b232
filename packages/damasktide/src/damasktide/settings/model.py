"""Settings of an instance, as checked values."""

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
    """One operation of a service.

    Attributes
    ----------
    keyed
        Whether requests go to the owner of their key.
    idempotent
        Whether requests may run more than once; None means that the HTTP method decides.
    """

    keyed: bool
    idempotent: bool | None


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """One service.

    Attributes
    ----------
    name
        Name of the service.
    shards
        Number of shards of its key space; must never change.
    on_isolation
        ``yield`` or ``hold``, see the design page.
    grants_checked
        Whether its backend servers check grants.
    max_deadline_s
        Longest deadline of a keyed request, or None.
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
        Where it stands.
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
        Least level of log lines.
    max_body_bytes, max_header_bytes
        Bounds of a request.
    platform
        Addresses of the platform.
    region_by_domain
        All failure domains.
    service_by_name
        All services.
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
        """All regions in a fixed order."""
        return tuple(sorted(set(self.region_by_domain.values())))
