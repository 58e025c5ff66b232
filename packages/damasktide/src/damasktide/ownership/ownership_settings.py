"""Settings of the ownership decisions."""

from collections.abc import Mapping
from dataclasses import dataclass

from damasktide.ownership.shards import ShardSpace


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Settings of the ownership decisions of one instance for one service.

    Attributes
    ----------
    instance_id, domain, region
        Id, failure domain and region of the instance.
    service
        Name of the service.
    space
        Mapping of keys to shards.
    policy
        Isolation policy, ``yield`` or ``hold``.
    region_by_domain
        Region of each failure domain.
    max_deadline_s
        Longest request deadline in seconds if the service's servers do not check grants, else
        None.
    """

    instance_id: str
    domain: str
    region: str
    service: str
    space: ShardSpace
    policy: str
    region_by_domain: Mapping[str, str]
    max_deadline_s: float | None = None
