"""The operators' configuration: routes, services and limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from damasktide.http1.caller_connection import CallerLimits


class RouteKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    DOWNLOAD = "download"
    NON_IDEMPOTENT = "non_idempotent"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self is not RouteKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One part of a route's traffic.

    Attributes
    ----------
    service
        Service that gets it.
    weight
        Part of the traffic, relative to the route's other weights.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A rule for the requests of one host and path prefix.

    Attributes
    ----------
    name
        Name for logs.
    host
        Host name in lower case, without port.
    prefix
        Path prefix that begins and ends with a slash.
    kind
        What may be repeated.
    services
        Services among which the requests are divided.
    timeout_s
        Longest time for which a request is kept waiting, or None.
    objective_s
        Time within which a response has its full value.
    max_attempts
        Most targets to which one request may be sent.
    priority
        Rank; 0 is the most urgent.
    regions
        Regions in which the requests may be served; empty allows all.
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


@dataclass(frozen=True, slots=True)
class Service:
    """A service and what its targets can bear.

    Attributes
    ----------
    name
        Name.
    health_path
        Path of the targets' health check.
    max_connections
        Connections that one target accepts from all callers.
    cold_s
        Seconds for which a target is cold after its start.
    cold_requests_per_s
        Requests per second that a cold target tolerates, from all instances together.
    is_keyed
        Whether each key is held by one target at a time.
    unwarmed_s
        Seconds for which keys that arrived without a handover are slow.
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
        Version; a higher one is newer.
    routes
        All routes.
    service_by_name
        All services.
    limits
        What callers may send.
    """

    version: int
    routes: tuple[Route, ...] = ()
    service_by_name: Mapping[str, Service] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
