"""Tables and row keys of the key assignment in the platform's store."""

from dataclasses import dataclass

TABLE = "damasktide"
# A separate table, because the leader's row changes constantly and few instances follow it
# closely.
LEADER_TABLE = "damasktide-leader"
LEADER_KEY = "leader"
MAP_PREFIX = "map/"
INSTANCE_PREFIX = "instance/"
# Row with the shared key that authenticates messages between instances.
LINK_KEY = "link-key"


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """Registration of a running instance.

    Attributes
    ----------
    name
        Name of its machine.
    boot
        Id of this run of its process.
    domain
        Its failure domain.
    address
        Host and port for calls of other instances, or None.
    link_mbps
        Bandwidth of its link in Mbit/s.
    store_round_trip_s
        Round trip between its machine and the store in seconds, or None if it was not measured.
    """

    name: str
    boot: str
    domain: str
    address: tuple[str, int] | None = None
    link_mbps: float = 0.0
    store_round_trip_s: float | None = None


def map_key(service: str) -> str:
    """Return the key of the row of a service's map."""
    return f"{MAP_PREFIX}{service}"


def instance_key(name: str) -> str:
    """Return the key of the row of an instance."""
    return f"{INSTANCE_PREFIX}{name}"
