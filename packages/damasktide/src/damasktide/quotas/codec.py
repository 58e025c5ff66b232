"""Encoding of draws and their replies as fixed-size records."""

from struct import Struct, error

from damasktide.quotas.messages import DrawItem, DrawReply, DrawRequest, DrawStatus, GrantItem

# Sequence number and epoch.
_DRAW = Struct("<IQ")
# Organisation, demand, waiting, ahead, held, returned, used, offline, standing rate, total.
_DRAW_ITEM = Struct("<QfHHHHHHHH")
# Status, epoch and number of scarce organisations, whose ids follow.
_REPLY = Struct("<BQH")
_ID = Struct("<Q")
# Organisation, granted, standing rate, total, wait.
_GRANT_ITEM = Struct("<QHHHf")
# Limit on the items of a message, which is then at most 29 KB long.
MAX_ITEMS = 1024
MAX_DEMAND_PER_S = 1e6
MAX_UINT16 = 65_535


class MalformedDrawError(ValueError):
    """A message that cannot be decoded."""


def encode_draw(request: DrawRequest) -> bytes:
    """Encode a draw."""
    items = (
        _DRAW_ITEM.pack(
            item.organisation,
            item.demand_per_s,
            _count(item.waiting),
            _count(item.ahead),
            _count(item.held),
            _count(item.returned),
            _count(item.used),
            _count(item.offline),
            _encode_fraction(item.standing),
            _encode_fraction(item.total),
        )
        for item in request.items[:MAX_ITEMS]
    )
    return _DRAW.pack(request.sequence, request.epoch) + b"".join(items)


def decode_draw(data: bytes) -> DrawRequest:
    """Decode a draw.

    Raises
    ------
    MalformedDrawError
        If the message is truncated or too long, or a number is out of range.
    """
    try:
        sequence, epoch = _DRAW.unpack_from(data)
        records = _records(_DRAW_ITEM, data[_DRAW.size :])
    except error as cause:
        raise MalformedDrawError(str(cause)) from cause
    items = tuple(
        DrawItem(record[0], _checked(record[1]), *record[2:8], *map(_decode_fraction, record[8:]))
        for record in records
    )
    return DrawRequest(sequence, epoch, items)


def encode_reply(reply: DrawReply) -> bytes:
    """Encode the reply to a draw."""
    items = (
        _GRANT_ITEM.pack(
            item.organisation,
            _count(item.granted),
            _encode_fraction(item.standing),
            _encode_fraction(item.total),
            item.wait_s,
        )
        for item in reply.items
    )
    scarce = reply.scarce[:MAX_ITEMS]
    head = _REPLY.pack(reply.status, reply.epoch, len(scarce))
    return head + b"".join((*map(_ID.pack, scarce), *items))


def decode_reply(data: bytes) -> DrawReply:
    """Decode the reply to a draw.

    Raises
    ------
    MalformedDrawError
        If the message is truncated or too long, or a number is out of range.
    """
    try:
        status, epoch, scarce_count = _REPLY.unpack_from(data)
        items_at = _REPLY.size + scarce_count * _ID.size
        scarce = tuple(item[0] for item in _records(_ID, data[_REPLY.size : items_at]))
        records = _records(_GRANT_ITEM, data[items_at:])
        if len(scarce) != scarce_count:
            raise MalformedDrawError(f"{len(scarce)} of {scarce_count} ids")
        items = tuple(
            GrantItem(
                organisation,
                granted,
                _decode_fraction(standing),
                _decode_fraction(total),
                _checked(wait_s),
            )
            for organisation, granted, standing, total, wait_s in records
        )
        return DrawReply(DrawStatus(status), epoch, items, scarce)
    except (error, ValueError) as cause:
        raise MalformedDrawError(str(cause)) from cause


def round_down(fraction: float) -> float:
    """Return the largest fraction that can be encoded and is at most ``fraction``."""
    return int(min(1.0, max(0.0, fraction)) * MAX_UINT16) / MAX_UINT16


def _records(record: Struct, data: bytes) -> list[tuple[int, ...]]:
    if len(data) > MAX_ITEMS * record.size:
        raise MalformedDrawError(f"{len(data)} bytes are too many")
    return list(record.iter_unpack(data))


def _count(value: int) -> int:
    return min(MAX_UINT16, max(0, value))


def _encode_fraction(fraction: float) -> int:
    return _count(round(fraction * MAX_UINT16))


def _decode_fraction(value: int) -> float:
    return value / MAX_UINT16


def _checked(value: float) -> float:
    if not 0.0 <= value <= MAX_DEMAND_PER_S:
        raise MalformedDrawError(f"{value} is out of range")
    return value
