"""The snapshots that tasks of an instance publish and request handlers read."""

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
        The accepted lists, or None before the first.
    topology
        What is known about machines, or None before the start.
    lifecycle
        Phase of the instance.
    view
        What the choice of an executor depends on.
    shares
        Share of the slots of each backend server.
    """

    catalog: Published[Catalog | None]
    topology: Published[Topology | None]
    lifecycle: Published[LifecycleSnapshot]
    view: Published[ExecutionView]
    shares: Published[Mapping[str, SlotShare]]

    @classmethod
    def of(cls, own: Instance) -> "Snapshots":
        """Return the snapshots before the start of instance ``own``."""
        return cls(
            catalog=Published(None),
            topology=Published(None),
            lifecycle=Published(LifecycleSnapshot()),
            view=Published(ExecutionView(own)),
            shares=Published({}),
        )

    def instance_by_id(self) -> dict[str, Instance]:
        """Return the known instances."""
        topology = self.topology.value
        return dict(topology.seen.instance_by_id) if topology else {}

    def is_out_of_service(self) -> bool:
        """Return whether operators have taken this instance or its failure domain out."""
        topology = self.topology.value
        return topology is not None and topology.is_out(self.view.value.own)

    def is_reader(self) -> bool:
        """Return whether this instance reads the configuration for its failure domain."""
        view = self.view.value
        ids = [one.instance_id for one in view.alive if one.domain == view.own.domain]
        readers = rendezvous(CONFIGURATION_KEY, ids)[:READERS_PER_DOMAIN]
        return not ids or view.own.instance_id in readers

    def has_share(self) -> bool:
        """Return whether this instance has a slot of any backend server."""
        target_by_id = self.view.value.target_by_id
        return any(
            share.of(target_by_id[server_id].slots) > 0
            for server_id, share in self.shares.value.items()
            if server_id in target_by_id
        )
