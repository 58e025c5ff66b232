"""Differences of a configuration from the version in force."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from math import inf
from typing import Any, Generic, TypeVar

from damasktide.configuration_check.findings import ConfigurationFinding, Place, difference
from damasktide.configuration_check.registry import configuration_checks
from damasktide.configuration_check.subject import (
    DOCUMENT,
    CheckSubject,
    WrittenConfiguration,
    organisation_place,
    route_place,
    service_place,
)
from damasktide.http1.caller_connection import CallerLimits
from damasktide.organisations.organisation import Organisation
from damasktide.routing.configuration import Route, RoutingConfiguration, Service
from damasktide.routing.route_table import RouteTable

T = TypeVar("T")
_Findings = Iterator[ConfigurationFinding]
_Disruption = Callable[[Any, Any], bool]


def _always(before: Any, after: Any) -> bool:
    return True


def _never(before: Any, after: Any) -> bool:
    return False


def _lowered(before: Any, after: Any) -> bool:
    return bool(after < before)


@dataclass(frozen=True, slots=True)
class _Attribute(Generic[T]):
    """An attribute to compare; ``is_disruptive`` gets its values before and after."""

    label: str
    read: Callable[[T], object]
    is_disruptive: _Disruption


_ROUTE_ATTRIBUTES: tuple[_Attribute[Route], ...] = (
    _Attribute("services", lambda route: _shares(route), _always),
    _Attribute("regions", lambda route: _regions(route.regions), _always),
    _Attribute("need of an API key", lambda route: route.requires_key, lambda _, after: after),
    _Attribute("kind", lambda route: route.kind.value, _always),
    # A route without a timeout never abandons a request.
    _Attribute("timeout in s", lambda route: route.timeout_s or inf, _lowered),
    _Attribute("priority", lambda route: route.priority, _always),
    _Attribute("maximum of attempts", lambda route: route.max_attempts, _lowered),
    _Attribute("objective in s", lambda route: route.objective_s, _never),
    _Attribute("name", lambda route: route.name, _never),
)
_SERVICE_ATTRIBUTES: tuple[_Attribute[Service], ...] = (
    _Attribute("keyed", lambda service: service.is_keyed, _always),
    _Attribute("connections per target", lambda service: service.max_connections, _lowered),
    _Attribute("health path", lambda service: service.health_path, _always),
    _Attribute("cold time in s", lambda service: service.cold_s, _never),
    _Attribute("cold requests/s", lambda service: service.cold_requests_per_s, _never),
    _Attribute("unwarmed time in s", lambda service: service.unwarmed_s, _never),
)
_ORGANISATION_ATTRIBUTES: tuple[_Attribute[Organisation], ...] = (
    # A rate of 0 is no limit.
    _Attribute("cap in requests/s", lambda entry: entry.requests_per_s or inf, _lowered),
    _Attribute("burst", lambda entry: entry.burst, _lowered),
    _Attribute("regions", lambda entry: _regions(entry.regions), _always),
    _Attribute("priority", lambda entry: entry.priority, _always),
)
_LIMIT_ATTRIBUTES: tuple[_Attribute[CallerLimits], ...] = (
    _Attribute("maximum head in bytes", lambda limits: limits.header_bytes, _lowered),
    _Attribute("maximum body in bytes", lambda limits: limits.body_bytes, _lowered),
    _Attribute("header timeout in s", lambda limits: limits.header_timeout_s, _lowered),
    _Attribute("idle timeout in s", lambda limits: limits.idle_timeout_s, _lowered),
)


@configuration_checks.register("changed organisations")
def _compare_organisations(subject: CheckSubject) -> _Findings:
    if subject.in_force is None:
        return
    before = _organisation_by_name(subject.in_force)
    after = _organisation_by_name(subject.written)
    if bool(before) != bool(after):
        text = "requests now need an API key" if after else "requests no longer need an API key"
        yield difference(DOCUMENT, text, is_disruptive=bool(after))
    yield from _removed_and_added(before, after, organisation_place)
    for name, organisation in after.items():
        if name in before:
            place = organisation_place(name)
            yield from _changes(place, before[name], organisation, _ORGANISATION_ATTRIBUTES)


@configuration_checks.register("changed keys")
def _compare_keys(subject: CheckSubject) -> _Findings:
    if subject.in_force is None:
        return
    before = _digests_by_name(subject.in_force)
    after = _digests_by_name(subject.written)
    for name, digests in after.items():
        known = before.get(name, set())
        place = organisation_place(name)
        if removed := len(known - digests):
            yield difference(place, f"API keys removed: {removed}", is_disruptive=True)
        if added := len(digests - known):
            yield difference(place, f"API keys added: {added}", is_disruptive=False)


@configuration_checks.register("changed routes")
def _compare_routes(subject: CheckSubject) -> _Findings:
    if subject.in_force is None:
        return
    before = subject.in_force.configuration
    after = subject.written.configuration
    old_by_match, new_by_match = _route_by_match(before), _route_by_match(after)
    old_table, new_table = RouteTable(before.routes), RouteTable(after.routes)
    for match, route in old_by_match.items():
        if match not in new_by_match:
            heir = new_table.find(*match)
            rest = f"requests go to route {heir.name!r}" if heir else "requests have no route"
            yield difference(route_place(route), f"removed; its {rest}", is_disruptive=True)
    for match, route in new_by_match.items():
        old = old_by_match.get(match)
        if old is not None:
            yield from _changes(route_place(route), old, route, _ROUTE_ATTRIBUTES)
            continue
        former = old_table.find(*match)
        text = f"added; takes requests from route {former.name!r}" if former else "added"
        yield difference(route_place(route), text, is_disruptive=former is not None)


@configuration_checks.register("changed services")
def _compare_services(subject: CheckSubject) -> _Findings:
    if subject.in_force is None:
        return
    before = subject.in_force.configuration.service_by_name
    after = subject.written.configuration.service_by_name
    yield from _removed_and_added(before, after, service_place)
    for name, service in after.items():
        if name in before:
            place = service_place(name)
            yield from _changes(place, before[name], service, _SERVICE_ATTRIBUTES)


@configuration_checks.register("changed limits")
def _compare_limits(subject: CheckSubject) -> _Findings:
    if subject.in_force is not None:
        before = subject.in_force.configuration.limits
        after = subject.written.configuration.limits
        yield from _changes(DOCUMENT, before, after, _LIMIT_ATTRIBUTES)


def _removed_and_added(
    before: Mapping[str, object], after: Mapping[str, object], place: Callable[[str], Place]
) -> _Findings:
    for name in before:
        if name not in after:
            yield difference(place(name), "removed", is_disruptive=True)
    for name in after:
        if name not in before:
            yield difference(place(name), "added", is_disruptive=False)


def _changes(
    place: Place, before: T, after: T, attributes: tuple[_Attribute[T], ...]
) -> _Findings:
    for attribute in attributes:
        old, new = attribute.read(before), attribute.read(after)
        if old != new:
            text = f"{attribute.label} {_verb(old, new)} from {_shown(old)} to {_shown(new)}"
            yield difference(place, text, is_disruptive=attribute.is_disruptive(old, new))


def _verb(old: object, new: object) -> str:
    if isinstance(old, bool) or not (
        isinstance(old, int | float) and isinstance(new, int | float)
    ):
        return "changed"
    return "lowered" if new < old else "raised"


def _shown(value: object) -> str:
    if value is None or value == inf:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.10g}" if isinstance(value, float) else str(value)


def _shares(route: Route) -> str:
    total = sum(weighted.weight for weighted in route.services)
    ordered = sorted(route.services, key=lambda weighted: weighted.service)
    shares = (f"{weighted.service!r} {weighted.weight / total:.4g}" for weighted in ordered)
    return ", ".join(shares) or "none"


def _regions(regions: frozenset[str]) -> str:
    return ", ".join(repr(region) for region in sorted(regions)) or "any"


def _route_by_match(configuration: RoutingConfiguration) -> dict[tuple[str, str], Route]:
    # As in the route table, the first of several equal entries is used.
    route_by_match: dict[tuple[str, str], Route] = {}
    for route in configuration.routes:
        route_by_match.setdefault((route.host, route.prefix), route)
    return route_by_match


def _organisation_by_name(written: WrittenConfiguration) -> dict[str, Organisation]:
    organisation_by_name: dict[str, Organisation] = {}
    for entry in written.organisations:
        organisation_by_name.setdefault(entry.organisation.name, entry.organisation)
    return organisation_by_name


def _digests_by_name(written: WrittenConfiguration) -> dict[str, set[bytes]]:
    digests_by_name: dict[str, set[bytes]] = {}
    for entry in written.organisations:
        digests_by_name.setdefault(entry.organisation.name, set()).update(entry.key_digests)
    return digests_by_name
