"""Queries of operators: the status of the instance and the explanation of a key."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from damasktide.assembly.services import ServiceTasks
from damasktide.catalog.catalog_task import CatalogTask, DescribeCatalog
from damasktide.discovery.topology import Topology
from damasktide.ownership.messages import ExplainRequested, Explanation, StatusRequested
from damasktide.runtime.published import Published


@dataclass(frozen=True, slots=True)
class OperatorQueries:
    """Handlers of the queries of operators.

    Attributes
    ----------
    instance_id
        This instance.
    tasks_by_service
        Tasks of each service.
    catalog
        Task that owns the configuration.
    topology
        Latest topology, or None before the first one.
    """

    instance_id: str
    tasks_by_service: Mapping[str, ServiceTasks]
    catalog: CatalogTask
    topology: Published[Topology | None]

    def by_name(self) -> Mapping[str, Callable[..., Any]]:
        """Return the queries by the names under which the front end serves them."""
        return {"explain": self.explain, "status": self.status}

    def explain(self, service: str, key: str) -> dict[str, Any]:
        """Return the owner of a key, the map version, and what a move of the key waits for.

        Raises
        ------
        KeyError
            If there is no such service.
        """
        tasks = self.tasks_by_service[service]
        shard = tasks.route.space.shard_of(key)
        explanation: Explanation = tasks.ownership.ask(ExplainRequested(shard))
        return {
            "instance": self.instance_id,
            "service": service,
            "key": key,
            "shard": shard,
            "explanation": explanation,
        }

    def status(self) -> dict[str, Any]:
        """Return the state of this instance."""
        topology = self.topology.value
        states = topology.membership.state_by_id if topology else {}
        return {
            "instance": self.instance_id,
            "configuration": self.catalog.ask(DescribeCatalog()),
            "instances": {name: state.value for name, state in states.items()},
            "out_of_service": topology.out_of_service if topology else None,
            "ownership": {
                name: tasks.ownership.ask(StatusRequested())
                for name, tasks in self.tasks_by_service.items()
            },
        }
