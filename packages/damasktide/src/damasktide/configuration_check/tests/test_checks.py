"""One test for each check of a configuration and for each kind of difference.

What the decoder of the document replaces is tested with the decoder, in ``platform/``.
"""

import unittest
from dataclasses import replace

from damasktide.configuration_check.checker import check_configuration
from damasktide.configuration_check.subject import (
    CheckSubject,
    OrganisationEntry,
    WrittenConfiguration,
)
from damasktide.http1.caller_connection import CallerLimits
from damasktide.organisations.organisation import Organisation
from damasktide.routing.configuration import (
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    WeightedService,
)

ROUTE = Route("r", "h", "/a/", RouteKind.IDEMPOTENT, (WeightedService("s", 1.0),))
ORGANISATION = Organisation("o", requests_per_s=10.0, burst=20.0)
ENTRY = OrganisationEntry(ORGANISATION, (b"1", b"2"))


def written(
    *routes: Route,
    version: int = 2,
    services: tuple[Service, ...] = (Service("s"),),
    organisations: tuple[OrganisationEntry, ...] = (),
    objectives_s: tuple[float | None, ...] | None = None,
    limits: CallerLimits | None = None,
) -> WrittenConfiguration:
    by_name = {service.name: service for service in services}
    routes = routes or (ROUTE,)
    return WrittenConfiguration(
        RoutingConfiguration(version, routes, by_name, limits or CallerLimits()),
        services,
        organisations,
        objectives_s or (None,) * len(routes),
    )


def organisations(**changes: object) -> tuple[OrganisationEntry, ...]:
    return (OrganisationEntry(replace(ORGANISATION, **changes), ENTRY.key_digests),)  # type: ignore[arg-type]


class CheckTest(unittest.TestCase):
    def assert_findings(
        self,
        subject: WrittenConfiguration,
        *expected: str,
        in_force: WrittenConfiguration | None = None,
        regions: frozenset[str] | None = None,
    ) -> None:
        found = check_configuration(CheckSubject(subject, in_force, regions))
        self.assertEqual([str(finding) for finding in found], list(expected))


class TestEntries(CheckTest):
    def test_valid_configuration_has_no_findings(self) -> None:
        self.assert_findings(written(organisations=(ENTRY,)), regions=frozenset({"e"}))

    def test_version_that_instances_would_ignore(self) -> None:
        for version in (2, 3):
            expected = (
                f"error: document 'configuration': version 00000002 is not above 0000000{version};"
                " instances would ignore it"
            )
            self.assert_findings(written(), expected, in_force=written(version=version))

    def test_service_that_does_not_exist(self) -> None:
        route = replace(ROUTE, services=(*ROUTE.services, WeightedService("t", 1.0)))
        self.assert_findings(
            written(route), "error: route 'r' ('h/a/'): service 't' does not exist"
        )

    def test_prefix_that_no_path_matches(self) -> None:
        for prefix in ("a/", "/a", ""):
            expected = f"the prefix {prefix!r} must begin and end with a slash"
            place = f"route 'r' ({'h' + prefix!r})"
            route = replace(ROUTE, prefix=prefix)
            self.assert_findings(written(route), f"error: {place}: {expected}")
        expected = "error: route 'r' ('h/a?/'): the prefix contains '?', which no path does"
        self.assert_findings(written(replace(ROUTE, prefix="/a?/")), expected)

    def test_host_with_a_port_that_no_request_matches(self) -> None:
        expected = "the host has a port, which is removed from requests before the comparison"
        route = replace(ROUTE, host="h:80")
        self.assert_findings(written(route), f"error: route 'r' ('h:80/a/'): {expected}")

    def test_route_behind_one_with_the_same_host_and_prefix(self) -> None:
        expected = "never matches; route 'r' has the same host and prefix"
        second = replace(ROUTE, name="q")
        self.assert_findings(written(ROUTE, second), f"error: route 'q' ('h/a/'): {expected}")

    def test_routes_of_one_name_that_share_the_distribution_by_weight(self) -> None:
        second = replace(ROUTE, prefix="/b/", services=(WeightedService("t", 1.0),))
        expected = "warning: route 'r' ('h/b/'): 'h/a/' has the same name but other services"
        self.assert_findings(
            written(ROUTE, second, services=(Service("s"), Service("t"))), expected
        )

    def test_service_that_gets_no_requests(self) -> None:
        services = (Service("s"), Service("t"))
        expected = "warning: service 't': no route names this service"
        self.assert_findings(written(services=services), expected)

    def test_organisation_with_two_entries(self) -> None:
        entries = (ENTRY, OrganisationEntry(ORGANISATION, (b"3",)))
        expected = "warning: organisation 'o': is listed again with limits of its own"
        self.assert_findings(written(organisations=entries), expected)

    def test_organisation_that_no_request_belongs_to(self) -> None:
        entries = (OrganisationEntry(ORGANISATION),)
        expected = "warning: organisation 'o': has no API key"
        self.assert_findings(written(organisations=entries), expected)

    def test_key_that_counts_for_another_organisation(self) -> None:
        entries = (ENTRY, OrganisationEntry(Organisation("p"), (b"3", b"3", b"2")))
        expected = "warning: organisation 'p': key 3 is also key 2 of 'o', which is used"
        self.assert_findings(written(organisations=entries), expected)


class TestLimits(CheckTest):
    def test_request_that_is_abandoned_before_its_objective(self) -> None:
        route = replace(ROUTE, timeout_s=0.5)
        expected = "the timeout of 0.5 s is below the objective of 0.8 s"
        subject = written(route, objectives_s=(0.8,))
        self.assert_findings(subject, f"warning: route 'r' ('h/a/'): {expected}")
        self.assert_findings(written(route, objectives_s=(0.5,)))
        # The default objective is not written, so nothing in the document contradicts it.
        self.assert_findings(written(route))

    def test_burst_that_contradicts_the_rate(self) -> None:
        for rate, burst, text in (
            (0.0, 5.0, "the burst of 5 has no effect without a rate"),
            (9.0, 5.0, "the burst of 5 is below one second of the rate of 9 requests/s"),
        ):
            entries = organisations(requests_per_s=rate, burst=burst)
            self.assert_findings(
                written(organisations=entries), f"warning: organisation 'o': {text}"
            )

    def test_region_without_a_failure_domain(self) -> None:
        subject = written(
            replace(ROUTE, regions=frozenset({"e", "w"})),
            organisations=organisations(regions=frozenset({"e", "n"})),
        )
        self.assert_findings(
            subject,
            "warning: route 'r' ('h/a/'): no failure domain is in region 'w'",
            "warning: organisation 'o': no failure domain is in region 'n'",
            regions=frozenset({"e"}),
        )

    def test_organisation_that_routes_leave_no_region(self) -> None:
        west = frozenset({"w"})
        routes = [replace(ROUTE, name=f"r{i}", prefix=f"/{i}/", regions=west) for i in range(4)]
        exempt = replace(ROUTE, regions=west, requires_key=False)
        entries = organisations(regions=frozenset({"e"}))
        self.assert_findings(
            written(ROUTE, replace(exempt, prefix="/x/"), *routes, organisations=entries),
            "warning: organisation 'o': its regions ['e'] are not allowed by the routes"
            " 'r0', 'r1', 'r2' and 1 more",
        )

    def test_idle_timeout_that_ends_a_pending_head(self) -> None:
        limits = CallerLimits(header_timeout_s=3.0, idle_timeout_s=2.0)
        expected = "the idle timeout of 2 s is below the header timeout of 3 s"
        self.assert_findings(
            written(limits=limits), f"warning: document 'configuration': {expected}"
        )


class TestDifferences(CheckTest):
    """A difference that refuses or moves requests must not stand behind others."""

    def test_disruptive_differences_come_first(self) -> None:
        before = written(ROUTE, replace(ROUTE, name="q", prefix="/a/b/"), version=1)
        after = written(replace(ROUTE, objective_s=2.0), replace(ROUTE, name="n", prefix="/a/c/"))
        self.assert_findings(
            after,
            "info: route 'q' ('h/a/b/'): removed; its requests go to route 'r'",
            "info: route 'n' ('h/a/c/'): added; takes requests from route 'r'",
            "info: route 'r' ('h/a/'): objective in s raised from 1 to 2",
            in_force=before,
        )

    def test_changed_route(self) -> None:
        after = replace(
            ROUTE, services=(WeightedService("t", 3.0),), timeout_s=2.0, regions=frozenset("e")
        )
        self.assert_findings(
            written(after, services=(Service("t"),)),
            "info: route 'r' ('h/a/'): services changed from 's' 1 to 't' 1",
            "info: route 'r' ('h/a/'): regions changed from any to 'e'",
            "info: route 'r' ('h/a/'): timeout in s lowered from none to 2",
            "info: service 's': removed",
            "info: service 't': added",
            in_force=written(version=1),
        )

    def test_caps_and_keys_of_organisations(self) -> None:
        raised = organisations(requests_per_s=0.0, burst=0.0)
        lowered = OrganisationEntry(replace(ORGANISATION, requests_per_s=5.0), (b"2", b"3", b"4"))
        before = written(version=1, organisations=(ENTRY,))
        place = "info: organisation 'o'"
        self.assert_findings(
            written(organisations=(lowered,)),
            f"{place}: cap in requests/s lowered from 10 to 5",
            f"{place}: API keys removed: 1",
            f"{place}: API keys added: 2",
            in_force=before,
        )
        self.assert_findings(
            written(organisations=raised),
            f"{place}: burst lowered from 20 to 0",
            f"{place}: cap in requests/s raised from 10 to none",
            in_force=before,
        )

    def test_first_organisations(self) -> None:
        self.assert_findings(
            written(organisations=(ENTRY,)),
            "info: document 'configuration': requests now need an API key",
            "info: organisation 'o': added",
            "info: organisation 'o': API keys added: 2",
            in_force=written(version=1),
        )

    def test_changed_service_and_limits(self) -> None:
        self.assert_findings(
            written(
                services=(Service("s", max_connections=50),), limits=CallerLimits(body_bytes=5)
            ),
            "info: service 's': connections per target lowered from 100 to 50",
            "info: document 'configuration': maximum body in bytes lowered from 67108864 to 5",
            in_force=written(version=1),
        )
