"""Reports of the demand on keys and of the speed of targets."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from zlib import crc32

# Number of adjacent keys whose demand is counted together. Busy keys lie side by side, so a bucket
# has to be small for the load to be divisible between targets.
BUCKET_KEYS = 16

# Hash of a service's name, and the first key of a bucket divided by BUCKET_KEYS.
BucketId = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Speed:
    """How long calls of a target take compared with the typical call.

    Attributes
    ----------
    duration_ratio
        Mean duration relative to the typical one; above 1 for a slow target.
    weight
        Number of calls that the mean is based on, up to a limit.
    """

    duration_ratio: float
    weight: float


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Demand and speeds as seen by one or several instances.

    Attributes
    ----------
    load_by_bucket
        Load of each bucket with requests: the seconds of work per second that its requests need
        at a target of normal speed, which is the number of slots that they occupy.
    speed_by_incarnation
        Speed of the targets of keyed services, by :func:`incarnation hash
        <damasktide.loads.messages.incarnation_hash>`.
    """

    load_by_bucket: Mapping[BucketId, float] = field(default_factory=dict)
    speed_by_incarnation: Mapping[int, Speed] = field(default_factory=dict)

    def loads_of(self, service: str) -> Mapping[int, float]:
        """Return the load of each bucket of a service, by the number of the bucket."""
        hashed = service_hash(service)
        return {
            bucket: load
            for (service_id, bucket), load in self.load_by_bucket.items()
            if service_id == hashed
        }


def merge_reports(reports: Iterator[DemandReport]) -> DemandReport:
    """Return the sum of the loads and the mean of the speeds of several reports."""
    load_by_bucket: dict[BucketId, float] = {}
    speed_by_incarnation: dict[int, Speed] = {}
    for report in reports:
        for bucket, load in report.load_by_bucket.items():
            load_by_bucket[bucket] = load_by_bucket.get(bucket, 0.0) + load
        for incarnation, speed in report.speed_by_incarnation.items():
            known = speed_by_incarnation.get(incarnation)
            speed_by_incarnation[incarnation] = speed if known is None else _mean(known, speed)
    return DemandReport(load_by_bucket, speed_by_incarnation)


def service_hash(service: str) -> int:
    """Return the hash that identifies a service in messages."""
    return crc32(service.encode())


def _mean(first: Speed, second: Speed) -> Speed:
    weight = first.weight + second.weight
    ratio = first.duration_ratio * first.weight + second.duration_ratio * second.weight
    return Speed(ratio / weight, weight)
