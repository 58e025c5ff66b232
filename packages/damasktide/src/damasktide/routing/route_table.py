"""Lookup of a request's route."""

from collections.abc import Iterable

from damasktide.organisations.organisation import Organisation
from damasktide.routing.configuration import Route


class RouteTable:
    """Routes by host, longest prefix first; immutable after construction.

    Prefixes end with a slash, so a path is shortened slash by slash and each result is looked up.
    The cost does not depend on the number of routes.

    Parameters
    ----------
    routes
        All routes. Of several routes with the same host and prefix, the first one is used.
    organisations
        Organisations, whose priorities are ranked together with those of the routes.
    """

    def __init__(
        self, routes: Iterable[Route] = (), organisations: Iterable[Organisation] = ()
    ) -> None:
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        self._priorities_by_service: dict[str, list[int]] = {}
        organisation_priorities = {
            organisation.priority
            for organisation in organisations
            if organisation.priority is not None
        }
        for route in routes:
            self._add_priorities(route, {route.priority, *organisation_priorities})
            route_by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            route_by_prefix.setdefault(route.prefix, route)

    def rank(self, route: Route, service: str, organisation: Organisation | None = None) -> int:
        """Return the rank of a request's priority within a service; 0 is the most urgent.

        The priority is that of the organisation, if it has one, or else that of the route.
        """
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return self._priorities_by_service[service].index(priority)

    def _add_priorities(self, route: Route, priorities: set[int]) -> None:
        for weighted in route.services:
            known = self._priorities_by_service.get(weighted.service, ())
            self._priorities_by_service[weighted.service] = sorted(priorities.union(known))

    def find(self, host: str, request_target: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Parameters
        ----------
        host
            Value of the Host field; its port and letter case are ignored.
        request_target
            Path of the request and its query, which is ignored.
        """
        route_by_prefix = self._route_by_prefix_by_host.get(_host_name(host))
        if route_by_prefix is None:
            return None
        path = request_target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _host_name(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return (name if separator and port.isdigit() else host).lower()
