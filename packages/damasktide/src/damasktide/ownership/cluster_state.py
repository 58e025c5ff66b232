"""State of the cluster that other tasks publish for the ownership decisions."""

from dataclasses import dataclass, field

from damasktide.balancing.targets import Target
from damasktide.membership.instances import Instance


@dataclass(frozen=True, slots=True)
class ClusterState:
    """State of the cluster, as last published by other tasks.

    Attributes
    ----------
    alive
        Instances believed to be alive, this one included.
    targets
        Backend servers of the service on the live list.
    domains_out
        Failure domains that operators have taken out of service.
    """

    alive: tuple[Instance, ...] = ()
    targets: tuple[Target, ...] = ()
    domains_out: frozenset[str] = field(default_factory=frozenset)
