"""Encoding of call summaries as fixed-size records."""

from collections.abc import Iterator, Sequence
from struct import Struct, error

from damasktide.capacity.messages import CallSummary, Record, Scope, SummaryReply, SummaryRequest

# Limit on the records of a message, which then has at most 12 KB.
MAX_RECORDS = 1024

# Scope, known epoch, known version.
_REQUEST = Struct("<BII")
# Epoch, version.
_REPLY = Struct("<II")
# Incarnation hash; mean and weight at low occupancy, and at high occupancy.
_RECORD = Struct("<IhHhH")
_MEAN_UNIT = 1.0 / 1000.0
_WEIGHT_UNIT = 1.0 / 64.0
_MAX_INT16 = 32_767
_MAX_UINT16 = 65_535


class MalformedSummariesError(ValueError):
    """A message that cannot be decoded."""


def encode_request(request: SummaryRequest) -> bytes:
    """Encode a request."""
    head = _REQUEST.pack(request.scope, request.known_epoch, request.known_version)
    return head + _encode_records(request.records)


def decode_request(data: bytes) -> SummaryRequest:
    """Decode a request.

    Raises
    ------
    MalformedSummariesError
        If the message cannot be decoded.
    """
    try:
        scope, epoch, version = _REQUEST.unpack_from(data)
        return SummaryRequest(
            Scope(scope), epoch, version, tuple(_decode_records(data[_REQUEST.size :]))
        )
    except (error, ValueError) as cause:
        raise MalformedSummariesError(str(cause)) from cause


def encode_reply(reply: SummaryReply) -> bytes:
    """Encode a reply."""
    return _REPLY.pack(reply.epoch, reply.version) + _encode_records(reply.records)


def decode_reply(data: bytes) -> SummaryReply:
    """Decode a reply.

    Raises
    ------
    MalformedSummariesError
        If the message cannot be decoded.
    """
    try:
        epoch, version = _REPLY.unpack_from(data)
        return SummaryReply(epoch, version, tuple(_decode_records(data[_REPLY.size :])))
    except error as cause:
        raise MalformedSummariesError(str(cause)) from cause


def _encode_records(records: Sequence[Record]) -> bytes:
    return b"".join(
        _RECORD.pack(
            incarnation,
            *_encode_mean(summary.low_weight, summary.low_sum),
            *_encode_mean(summary.high_weight, summary.high_sum),
        )
        for incarnation, summary in records[:MAX_RECORDS]
    )


def _encode_mean(weight: float, total: float) -> tuple[int, int]:
    units = min(_MAX_UINT16, max(0, round(weight / _WEIGHT_UNIT)))
    if not units:
        return 0, 0
    return max(-_MAX_INT16, min(_MAX_INT16, round(total / weight / _MEAN_UNIT))), units


def _decode_records(data: bytes) -> Iterator[Record]:
    if len(data) > MAX_RECORDS * _RECORD.size:
        raise MalformedSummariesError(f"{len(data)} bytes are more than the limit")
    for incarnation, low_mean, low, high_mean, high in _RECORD.iter_unpack(data):
        low_weight, high_weight = low * _WEIGHT_UNIT, high * _WEIGHT_UNIT
        yield (
            incarnation,
            CallSummary(
                low_weight,
                low_mean * _MEAN_UNIT * low_weight,
                high_weight,
                high_mean * _MEAN_UNIT * high_weight,
            ),
        )
