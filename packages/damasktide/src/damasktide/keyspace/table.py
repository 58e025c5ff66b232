"""The table of this slice in the platform's store."""

from dataclasses import dataclass

TABLE = "damasktide"
# Apart, because its row changes all the time and few instances follow it closely.
LEADER_TABLE = "damasktide-leader"
LEADER_KEY = "leader"
MAP_PREFIX = "map/"
INSTANCE_PREFIX = "instance/"


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """A running process of the system.

    Attributes
    ----------
    name
        Name of its machine.
    boot
        Id of the process.
    domain
        Its failure domain.
    """

    name: str
    boot: str
    domain: str


def map_key(service: str) -> str:
    """Return the key of the row of a service's map."""
    return f"{MAP_PREFIX}{service}"


def instance_key(name: str) -> str:
    """Return the key of the row of an instance."""
    return f"{INSTANCE_PREFIX}{name}"
