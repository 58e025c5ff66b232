"""Snapshots that the tasks of an instance publish and request handlers read."""

from collections.abc import Mapping
from dataclasses import dataclass

from damasktide.catalog.configuration import CONFIGURATION_KEY
from damasktide.catalog.lists import Catalog
from damasktide.discovery.topology import Topology
from damasktide.forwarding.execution import ExecutionView
from damasktide.lifecycle.state import LifecycleSnapshot
from damasktide.limits.slot_share import SlotShare
from damasktide.membership.instances import Instance
from damasktide.ownership.roles import READERS_PER_DOMAIN, rendezvous
from damasktide.runtime.published import Published


@dataclass(frozen=True, slots=True)
class Snapshots:
    """All snapshots of an instance, except those of a single service.

    Attributes
    ----------
    catalog
        The accepted catalog, or None before the first one.
    topology
        Latest topology, or None before the first one.
    lifecycle
        Lifecycle state of the instance.
    view
        Input for the selection of an executor.
    shares
        This instance's share of the slots of each backend server.
    """

    catalog: Published[Catalog | None]
    topology: Published[Topology | None]
    lifecycle: Published[LifecycleSnapshot]
    view: Published[ExecutionView]
    shares: Published[Mapping[str, SlotShare]]

    @classmethod
    def of(cls, own: Instance) -> "Snapshots":
        """Return the initial snapshots of instance ``own``."""
        return cls(
            catalog=Published(None),
            topology=Published(None),
            lifecycle=Published(LifecycleSnapshot()),
            view=Published(ExecutionView(own)),
            shares=Published({}),
        )

    def instance_by_id(self) -> dict[str, Instance]:
        """Return the known instances by id."""
        topology = self.topology.value
        return dict(topology.membership.instance_by_id) if topology else {}

    def is_out_of_service(self) -> bool:
        """Return whether operators have taken this instance or its domain out of service."""
        topology = self.topology.value
        return topology is not None and topology.is_out_of_service(self.view.value.own)

    def is_reader(self) -> bool:
        """Return whether this instance reads the configuration for its failure domain."""
        view = self.view.value
        ids = [
            instance.instance_id for instance in view.alive if instance.domain == view.own.domain
        ]
        readers = rendezvous(CONFIGURATION_KEY, ids)[:READERS_PER_DOMAIN]
        return not ids or view.own.instance_id in readers

    def has_share(self) -> bool:
        """Return whether this instance's share includes a slot of any backend server."""
        target_by_id = self.view.value.target_by_id
        return any(
            share.of(target_by_id[server_id].slots) > 0
            for server_id, share in self.shares.value.items()
            if server_id in target_by_id
        )
