"""Size and services of a local deployment."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

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
        Names of one keyed and one unkeyed operation.
    service_time_ms
        Time that a backend server takes for a request.
    extra_servers_by_domain
        Backend servers in a failure domain in addition to ``servers_per_domain``.
    """

    name: str
    servers_per_domain: int
    on_isolation: str
    shards: int
    keyed_operation: str
    unkeyed_operation: str
    service_time_ms: float = 3.0
    extra_servers_by_domain: Mapping[str, int] = field(default_factory=dict)

    def servers_in(self, domain: str) -> int:
        """Return the number of backend servers in a failure domain."""
        return self.servers_per_domain + self.extra_servers_by_domain.get(domain, 0)

    def settings(self) -> dict[str, object]:
        """Return the settings of the service for an entry instance."""
        return {
            "shards": self.shards,
            "on_isolation": self.on_isolation,
            "operations": {
                self.keyed_operation: {"keyed": True},
                self.unkeyed_operation: {},
            },
        }


@dataclass(frozen=True, slots=True)
class Layout:
    """Size and services of a local deployment.

    Attributes
    ----------
    region_by_domain
        Region of each failure domain.
    instances_per_domain
        Entry instances in each failure domain.
    services
        Services of the deployment.
    extra_instances_by_domain
        Entry instances in a failure domain in addition to ``instances_per_domain``.
    """

    region_by_domain: Mapping[str, str]
    instances_per_domain: int
    services: tuple[ServiceLayout, ...]
    extra_instances_by_domain: Mapping[str, int] = field(default_factory=dict)

    def instances_in(self, domain: str) -> int:
        """Return the number of entry instances in a failure domain."""
        return self.instances_per_domain + self.extra_instances_by_domain.get(domain, 0)


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
    """Return the plans file, with one plan that allows all regions and services."""
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
