"""Checks of limits that contradict each other."""

from collections.abc import Iterator

from damasktide.configuration_check.findings import ConfigurationFinding, Place, warning
from damasktide.configuration_check.registry import configuration_checks
from damasktide.configuration_check.subject import (
    DOCUMENT,
    CheckSubject,
    organisation_place,
    route_place,
)

# Number of routes that a finding on several routes names.
MAX_NAMED_ROUTES = 3
_Findings = Iterator[ConfigurationFinding]


@configuration_checks.register("timeout")
def _check_timeouts(subject: CheckSubject) -> _Findings:
    written = subject.written
    for route, objective_s in zip(
        written.configuration.routes, written.written_objectives_s, strict=True
    ):
        if objective_s and route.timeout_s is not None and route.timeout_s < objective_s:
            text = f"the timeout of {route.timeout_s:g} s is below the objective of"
            yield warning(route_place(route), f"{text} {objective_s:g} s")


@configuration_checks.register("objective")
def _check_objectives(subject: CheckSubject) -> _Findings:
    written = subject.written
    for route, objective_s in zip(
        written.configuration.routes, written.written_objectives_s, strict=True
    ):
        if objective_s == 0:
            text = f"the objective is zero; {route.objective_s:g} s is used"
            yield warning(route_place(route), text)


@configuration_checks.register("burst")
def _check_bursts(subject: CheckSubject) -> _Findings:
    for entry in subject.written.organisations:
        organisation = entry.organisation
        place = organisation_place(organisation.name)
        if organisation.burst and not organisation.requests_per_s:
            yield warning(
                place, f"the burst of {organisation.burst:g} has no effect without a rate"
            )
        elif 0 < organisation.burst < organisation.requests_per_s:
            text = f"the burst of {organisation.burst:g} is below one second of the rate of"
            yield warning(place, f"{text} {organisation.requests_per_s:g} requests/s")


@configuration_checks.register("unknown region")
def _check_known_regions(subject: CheckSubject) -> _Findings:
    if subject.known_regions is None:
        return
    for place, regions in _restrictions(subject):
        for region in sorted(regions - subject.known_regions):
            yield warning(place, f"no failure domain is in region {region!r}")


def _restrictions(subject: CheckSubject) -> Iterator[tuple[Place, frozenset[str]]]:
    for route in subject.written.configuration.routes:
        yield route_place(route), route.regions
    for entry in subject.written.organisations:
        yield organisation_place(entry.organisation.name), entry.organisation.regions


@configuration_checks.register("disjoint regions")
def _check_disjoint_regions(subject: CheckSubject) -> _Findings:
    routes = [
        route
        for route in subject.written.configuration.routes
        if route.regions and route.requires_key
    ]
    for entry in subject.written.organisations:
        regions = entry.organisation.regions
        closed = [route.name for route in routes if regions and regions.isdisjoint(route.regions)]
        if closed:
            names = ", ".join(repr(name) for name in closed[:MAX_NAMED_ROUTES])
            more = len(closed) - MAX_NAMED_ROUTES
            text = f"its regions {sorted(regions)} are not allowed by the routes {names}"
            rest = f" and {more} more" if more > 0 else ""
            yield warning(organisation_place(entry.organisation.name), text + rest)


@configuration_checks.register("idle timeout")
def _check_idle_timeout(subject: CheckSubject) -> _Findings:
    limits = subject.written.configuration.limits
    if limits.idle_timeout_s < limits.header_timeout_s:
        text = f"the idle timeout of {limits.idle_timeout_s:g} s is below the header timeout of"
        yield warning(DOCUMENT, f"{text} {limits.header_timeout_s:g} s")
