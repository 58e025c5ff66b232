"""What a local deployment consists of."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

TOKEN = "ondo-cooperative-token"


@dataclass(frozen=True, slots=True)
class ServiceLayout:
    """One service of a local deployment.

    Attributes
    ----------
    name
        Name of the service.
    servers_per_domain
        Backend servers in each failure domain.
    on_isolation
        Isolation policy.
    shards
        Number of shards.
    keyed_operation, unkeyed_operation
        Names of one operation of each kind.
    service_time_ms
        Time that a request takes.
    """

    name: str
    servers_per_domain: int
    on_isolation: str
    shards: int
    keyed_operation: str
    unkeyed_operation: str
    service_time_ms: float = 3.0


@dataclass(frozen=True, slots=True)
class Layout:
    """A local deployment.

    Attributes
    ----------
    region_by_domain
        Failure domains.
    instances_per_domain
        Entry instances in each failure domain.
    services
        The services.
    """

    region_by_domain: Mapping[str, str]
    instances_per_domain: int
    services: tuple[ServiceLayout, ...]


SMALL = Layout(
    region_by_domain={"ondo-a": "ondo", "ondo-b": "ondo"},
    instances_per_domain=1,
    services=(ServiceLayout("batch-desk", 2, "yield", 48, "bookings", "recipes"),),
)

CUSTOMERS = f"""\
customers:
  ondo-cooperative:
    token_sha256: {hashlib.sha256(TOKEN.encode()).hexdigest()}
    plan: basic
"""


def plans(layout: Layout) -> str:
    """Return a list of plans that allows everything in the layout."""
    regions = ", ".join(sorted(set(layout.region_by_domain.values())))
    services = ", ".join(service.name for service in layout.services)
    return f"""\
plans:
  basic:
    regions: [{regions}]
    services: [{services}]
    requests_per_second: 100000
    max_body_bytes: 65536
"""
