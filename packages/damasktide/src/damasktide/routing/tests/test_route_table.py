"""Lookup of routes and distribution of their traffic among services."""

import unittest
from collections import Counter

from damasktide.organisations.organisation import Organisation
from damasktide.routing.configuration import Route, RouteKind, WeightedService
from damasktide.routing.route_table import RouteTable
from damasktide.routing.splitter import TrafficSplitter


def route(prefix: str, host: str = "h.example", priority: int = 0, **weights: float) -> Route:
    services = tuple(WeightedService(name, weight) for name, weight in weights.items())
    return Route(
        f"r{prefix}",
        host,
        prefix,
        RouteKind.IDEMPOTENT,
        services or (WeightedService("s", 1.0),),
        priority=priority,
    )


class TestRouteTable(unittest.TestCase):
    def test_longest_prefix_is_used(self) -> None:
        table = RouteTable((route("/"), route("/a/"), route("/a/b/")))
        found = [table.find("h.example", path) for path in ("/a/b/c", "/a/x", "/x", "/a/b/")]
        self.assertEqual([item.prefix for item in found if item], ["/a/b/", "/a/", "/", "/a/b/"])

    def test_prefix_ends_at_a_slash(self) -> None:
        self.assertIsNone(RouteTable((route("/a/"),)).find("h.example", "/ab"))

    def test_query_is_ignored(self) -> None:
        self.assertIsNone(RouteTable((route("/a/"),)).find("h.example", "/x?/a/"))

    def test_port_and_case_of_the_host_are_ignored(self) -> None:
        self.assertIsNotNone(RouteTable((route("/"),)).find("H.Example:8080", "/"))

    def test_other_host_has_no_route(self) -> None:
        self.assertIsNone(RouteTable((route("/"),)).find("other.example", "/"))

    def test_rank_of_a_priority_within_its_service(self) -> None:
        urgent, normal = route("/u/", priority=1), route("/v/", priority=5)
        table = RouteTable((normal, urgent))
        self.assertEqual((table.rank(urgent, "s"), table.rank(normal, "s")), (0, 1))

    def test_priority_of_the_organisation_replaces_that_of_the_route(self) -> None:
        normal = route("/v/", priority=5)
        large, small = Organisation("large", priority=1), Organisation("small")
        table = RouteTable((normal,), (large, small))
        ranks = [table.rank(normal, "s", caller) for caller in (large, small, None)]
        self.assertEqual(ranks, [0, 1, 1])


class TestTrafficSplitter(unittest.TestCase):
    def test_shares_follow_the_weights_over_short_spans(self) -> None:
        splitter = TrafficSplitter()
        split = route("/", new=10.0, old=90.0)
        counts = Counter(splitter.choose(split) for _ in range(100))
        self.assertEqual(counts, {"old": 90, "new": 10})

    def test_state_is_reset_when_the_services_change(self) -> None:
        splitter = TrafficSplitter()
        splitter.choose(route("/", new=10.0, old=90.0))
        self.assertEqual(splitter.choose(route("/", other=1.0)), "other")
