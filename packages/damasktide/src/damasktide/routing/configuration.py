"""The operators' configuration: routes, services and limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from damasktide.http1.caller_connection import CallerLimits
from damasktide.organisations.organisation import OrganisationTable


class RouteKind(Enum):
    """Whether the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    DOWNLOAD = "download"
    NON_IDEMPOTENT = "non_idempotent"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self is not RouteKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's traffic.

    Attributes
    ----------
    service
        Name of the service.
    weight
        Share of the traffic, relative to the route's other weights.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A rule for the requests to one host and path prefix.

    Attributes
    ----------
    name
        Name in logs.
    host
        Host name in lower case, without port.
    prefix
        Path prefix that begins and ends with a slash.
    kind
        Whether the requests may be repeated.
    services
        Services among which the requests are divided.
    timeout_s
        Time after which a request is abandoned, in seconds, or None.
    objective_s
        Time within which a response has its full value, in seconds.
    max_attempts
        Maximum number of targets to which one request may be sent.
    priority
        Priority of the requests; 0 is the most urgent.
    regions
        Regions in which the requests may be served; empty allows all.
    requires_key
        Whether a request needs an API key, where the configuration has organisations.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float | None = None
    objective_s: float = 1.0
    max_attempts: int = 1
    priority: int = 0
    regions: frozenset[str] = frozenset()
    requires_key: bool = True


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the limits of its targets.

    Attributes
    ----------
    name
        Name.
    health_path
        Path of the targets' health check.
    max_connections
        Maximum number of connections that one target accepts from all callers.
    cold_s
        Time for which a target is cold after its start, in seconds.
    cold_requests_per_s
        Request rate that a cold target tolerates from all instances together.
    is_keyed
        Whether each key is held by one target at a time.
    unwarmed_s
        Time for which keys that arrived without a handover are slow, in seconds.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0
    is_keyed: bool = False
    unwarmed_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One accepted version of the configuration.

    Attributes
    ----------
    version
        Version number; a higher one is newer.
    routes
        All routes.
    service_by_name
        All services.
    limits
        Limits on the requests of callers.
    organisations
        Organisations by API key; if there are none, requests need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    service_by_name: Mapping[str, Service] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    organisations: OrganisationTable = field(default_factory=OrganisationTable)
