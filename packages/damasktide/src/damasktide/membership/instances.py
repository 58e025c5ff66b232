"""Identity, address and state of the instances of damasktide."""

from dataclasses import dataclass
from enum import Enum


class InstanceState(Enum):
    """State of an instance as recorded by an observer."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Instance:
    """Identity and address of an instance.

    Attributes
    ----------
    instance_id
        Configured name and the incarnation, which is a random text that identifies one run of the
        process, such as ``ondo-a-1#5f3c9a10``.
    domain
        Failure domain in which it runs.
    region
        Region of that failure domain.
    host
        IP address used by its peers.
    gossip_port
        UDP port for membership.
    peer_port
        TCP port for peer links.
    """

    instance_id: str
    domain: str
    region: str
    host: str
    gossip_port: int
    peer_port: int
