"""Settings of the ownership decisions."""

from collections.abc import Mapping
from dataclasses import dataclass

from damasktide.ownership.shards import ShardSpace


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """What the decisions need to know of the instance and the service.

    Attributes
    ----------
    instance_id, domain, region
        The instance and where it stands.
    service
        Name of the service.
    space
        How keys map to shards.
    policy
        Isolation policy, ``yield`` or ``hold``.
    region_by_domain
        All failure domains and their regions.
    max_deadline_s
        Longest request deadline where the servers do not check grants, else None.
    """

    instance_id: str
    domain: str
    region: str
    service: str
    space: ShardSpace
    policy: str
    region_by_domain: Mapping[str, str]
    max_deadline_s: float | None = None
