"""Checks of entries that are wrong or that can never match."""

from collections.abc import Iterator

from damasktide.configuration_check.findings import ConfigurationFinding, error, warning
from damasktide.configuration_check.registry import configuration_checks
from damasktide.configuration_check.subject import (
    DOCUMENT,
    CheckSubject,
    organisation_place,
    route_place,
    service_place,
)
from damasktide.routing.configuration import Route

_Findings = Iterator[ConfigurationFinding]


@configuration_checks.register("version")
def _check_version(subject: CheckSubject) -> _Findings:
    if subject.in_force is None:
        return
    version = subject.written.configuration.version
    current = subject.in_force.configuration.version
    if version <= current:
        text = f"version {version:08x} is not above {current:08x}; instances would ignore it"
        yield error(DOCUMENT, text)


@configuration_checks.register("unknown service")
def _check_unknown_services(subject: CheckSubject) -> _Findings:
    configuration = subject.written.configuration
    for route in configuration.routes:
        for weighted in route.services:
            if weighted.service not in configuration.service_by_name:
                yield error(route_place(route), f"service {weighted.service!r} does not exist")


@configuration_checks.register("weights")
def _check_weights(subject: CheckSubject) -> _Findings:
    for route in subject.written.configuration.routes:
        # The decoder leaves out services without weight.
        if not route.services:
            yield error(route_place(route), "the weights sum to zero")


@configuration_checks.register("prefix")
def _check_prefixes(subject: CheckSubject) -> _Findings:
    for route in subject.written.configuration.routes:
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            text = f"the prefix {route.prefix!r} must begin and end with a slash"
            yield error(route_place(route), text)
        elif "?" in route.prefix:
            yield error(route_place(route), "the prefix contains '?', which no path does")


@configuration_checks.register("host")
def _check_hosts(subject: CheckSubject) -> _Findings:
    for route in subject.written.configuration.routes:
        _, separator, port = route.host.rpartition(":")
        if separator and port.isdigit():
            text = "the host has a port, which is removed from requests before the comparison"
            yield error(route_place(route), text)


@configuration_checks.register("shadowed route")
def _check_shadowed_routes(subject: CheckSubject) -> _Findings:
    first_by_match: dict[tuple[str, str], Route] = {}
    for route in subject.written.configuration.routes:
        first = first_by_match.setdefault((route.host, route.prefix), route)
        if first is not route:
            text = f"never matches; route {first.name!r} has the same host and prefix"
            yield error(route_place(route), text)


@configuration_checks.register("route name")
def _check_route_names(subject: CheckSubject) -> _Findings:
    # The distribution of requests by weight is kept by route name.
    first_by_name: dict[str, Route] = {}
    for route in subject.written.configuration.routes:
        first = first_by_name.setdefault(route.name, route)
        if first.services != route.services:
            place = f"{first.host}{first.prefix}"
            yield warning(route_place(route), f"{place!r} has the same name but other services")


@configuration_checks.register("unused service")
def _check_unused_services(subject: CheckSubject) -> _Findings:
    configuration = subject.written.configuration
    used = {weighted.service for route in configuration.routes for weighted in route.services}
    for name in configuration.service_by_name:
        if name not in used:
            yield warning(service_place(name), "no route names this service")


@configuration_checks.register("repeated service")
def _check_repeated_services(subject: CheckSubject) -> _Findings:
    listed: set[str] = set()
    for service in subject.written.services:
        if service.name in listed:
            yield warning(service_place(service.name), "is listed again; the last entry is used")
        listed.add(service.name)


@configuration_checks.register("repeated organisation")
def _check_repeated_organisations(subject: CheckSubject) -> _Findings:
    listed: set[str] = set()
    for entry in subject.written.organisations:
        name = entry.organisation.name
        if name in listed:
            yield warning(organisation_place(name), "is listed again with limits of its own")
        listed.add(name)


@configuration_checks.register("organisation without key")
def _check_organisations_without_key(subject: CheckSubject) -> _Findings:
    for entry in subject.written.organisations:
        if not entry.key_digests:
            yield warning(organisation_place(entry.organisation.name), "has no API key")


@configuration_checks.register("shared key")
def _check_shared_keys(subject: CheckSubject) -> _Findings:
    first_by_digest: dict[bytes, tuple[int, int, str]] = {}
    for index, entry in enumerate(subject.written.organisations):
        name = entry.organisation.name
        for position, digest in enumerate(entry.key_digests, 1):
            holder, first, holder_name = first_by_digest.setdefault(
                digest, (index, position, name)
            )
            if holder != index:
                text = f"key {position} is also key {first} of {holder_name!r}, which is used"
                yield warning(organisation_place(name), text)
