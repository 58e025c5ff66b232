"""The configuration that is checked, and what it is checked against."""

from dataclasses import dataclass

from damasktide.configuration_check.findings import Place, PlaceKind
from damasktide.organisations.organisation import Organisation
from damasktide.routing.configuration import Route, RoutingConfiguration, Service

DOCUMENT = Place(PlaceKind.DOCUMENT, "configuration")


@dataclass(frozen=True, slots=True)
class OrganisationEntry:
    """An organisation as listed, with the digests of its keys in the order of the document."""

    organisation: Organisation
    key_digests: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class WrittenConfiguration:
    """A decoded configuration with what the gateway drops or replaces when it decodes.

    Attributes
    ----------
    configuration
        The configuration that the gateway would use.
    services
        All services as listed, including those of the same name.
    organisations
        All organisations as listed, including those of the same name.
    written_objectives_s
        Objective of each route as written, in seconds, or None; the gateway replaces zero and
        missing objectives by a default.
    """

    configuration: RoutingConfiguration
    services: tuple[Service, ...] = ()
    organisations: tuple[OrganisationEntry, ...] = ()
    written_objectives_s: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class CheckSubject:
    """Input of the checks.

    Attributes
    ----------
    written
        The configuration to check.
    in_force
        The version in force, or None if it is not known.
    known_regions
        Regions that have a failure domain, or None if they are not known.
    """

    written: WrittenConfiguration
    in_force: WrittenConfiguration | None = None
    known_regions: frozenset[str] | None = None


def route_place(route: Route) -> Place:
    """Return the place of a route; names of routes need not be unique."""
    return Place(PlaceKind.ROUTE, route.name, route.host + route.prefix)


def service_place(name: str) -> Place:
    """Return the place of a service."""
    return Place(PlaceKind.SERVICE, name)


def organisation_place(name: str) -> Place:
    """Return the place of an organisation."""
    return Place(PlaceKind.ORGANISATION, name)
