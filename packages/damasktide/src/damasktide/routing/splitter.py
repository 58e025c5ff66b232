"""Distribution of a route's requests among its services by weight."""

from damasktide.routing.configuration import Route


class TrafficSplitter:
    """Smooth weighted round robin, which keeps the shares over short spans as well.

    Each request goes to the service that is furthest behind its share. The state is kept per
    route name and is reset when the services of a route change.
    """

    def __init__(self) -> None:
        self._credit_by_service_by_route: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the name of the service for the next request of ``route``.

        Raises
        ------
        ValueError
            If the route has no service.
        """
        if not route.services:
            raise ValueError(f"route {route.name!r} has no service")
        if len(route.services) == 1:
            return route.services[0].service
        credit_by_service = self._credits(route)
        total = sum(weighted.weight for weighted in route.services)
        for weighted in route.services:
            credit_by_service[weighted.service] += weighted.weight / total
        chosen = max(credit_by_service, key=lambda service: credit_by_service[service])
        credit_by_service[chosen] -= 1.0
        return chosen

    def _credits(self, route: Route) -> dict[str, float]:
        credit_by_service = self._credit_by_service_by_route.get(route.name)
        names = {weighted.service for weighted in route.services}
        if credit_by_service is None or set(credit_by_service) != names:
            credit_by_service = dict.fromkeys(
                (weighted.service for weighted in route.services), 0.0
            )
            self._credit_by_service_by_route[route.name] = credit_by_service
        return credit_by_service
