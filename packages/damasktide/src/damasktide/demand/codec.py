"""Encoding of demand reports as fixed-size records."""

from struct import Struct, error

from damasktide.demand.messages import BucketId, DemandReport, Speed

# Numbers of load and speed records.
_HEADER = Struct("<HH")
# Service hash, bucket, load.
_LOAD = Struct("<IHf")
# Incarnation hash, duration ratio, weight.
_SPEED = Struct("<Iff")
# Limit on the records of each kind; the heaviest loads are kept. A report then has at most 22 KB.
MAX_RECORDS = 1024
MAX_LOAD = 1e6


class MalformedReportError(ValueError):
    """A message that cannot be decoded."""


def encode_report(report: DemandReport) -> bytes:
    """Encode a demand report; only the heaviest loads are kept if there are too many."""
    loads = sorted(report.load_by_bucket.items(), key=lambda item: -item[1])[:MAX_RECORDS]
    speeds = list(report.speed_by_incarnation.items())[:MAX_RECORDS]
    return b"".join(
        (
            _HEADER.pack(len(loads), len(speeds)),
            *(_LOAD.pack(*bucket, load) for bucket, load in loads),
            *(
                _SPEED.pack(incarnation, speed.duration_ratio, speed.weight)
                for incarnation, speed in speeds
            ),
        )
    )


def decode_report(data: bytes) -> DemandReport:
    """Decode a demand report.

    Raises
    ------
    MalformedReportError
        If the message is truncated or a number is out of range.
    """
    try:
        load_count, speed_count = _HEADER.unpack_from(data)
        loads_end = _HEADER.size + load_count * _LOAD.size
        if len(data) != loads_end + speed_count * _SPEED.size:
            raise MalformedReportError(f"{len(data)} bytes do not match the numbers of records")
        load_by_bucket: dict[BucketId, float] = {
            (service, bucket): _checked(load)
            for service, bucket, load in _LOAD.iter_unpack(data[_HEADER.size : loads_end])
        }
        speed_by_incarnation = {
            incarnation: Speed(_checked(ratio), _checked(weight))
            for incarnation, ratio, weight in _SPEED.iter_unpack(data[loads_end:])
            if ratio > 0.0 and weight > 0.0
        }
    except error as cause:
        raise MalformedReportError(str(cause)) from cause
    return DemandReport(load_by_bucket, speed_by_incarnation)


def _checked(value: float) -> float:
    if not 0.0 <= value <= MAX_LOAD:
        raise MalformedReportError(f"{value} is out of range")
    return value
