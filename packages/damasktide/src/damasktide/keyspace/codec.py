"""JSON encoding of the rows in the ``damasktide`` tables."""

import json
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from damasktide.keyspace.key_map import KEY_COUNT, Incarnation, KeyMap, KeyRange
from damasktide.keyspace.leadership import LeaderRecord
from damasktide.keyspace.table import InstanceRecord
from damasktide.runtime.decoding import json_decoder

# A map of one range for each of 65,536 keys has about 4 MB.
MAX_ROW_BYTES = 8 * 1024 * 1024
_decode_object = json_decoder(dict[str, Any], MAX_ROW_BYTES)


class MalformedRowError(ValueError):
    """A row that cannot be decoded."""


def encode_map(key_map: KeyMap) -> bytes:
    """Encode a map as the value of its row."""
    ranges = [
        [
            key_range.first,
            key_range.last,
            *key_range.holder,
            key_range.fence,
            *(key_range.previous or ()),
        ]
        for key_range in key_map.ranges
    ]
    document = {"last_fence": key_map.last_fence, "ranges": ranges} | _era_field(key_map.era)
    return json.dumps(document).encode()


def decode_map(service: str, version: int, value: bytes) -> KeyMap:
    """Decode the map of ``service`` from the value of its row.

    Raises
    ------
    MalformedRowError
        If the row cannot be decoded.
    """
    with _decoding(f"map of {service}"):
        document = _decode_object(value)
        ranges = tuple(_ordered(_decode_range(fields) for fields in document["ranges"]))
        era = _decode_era(document)
        return KeyMap(service, version, int(document["last_fence"]), ranges, era)


def encode_leader(record: LeaderRecord) -> bytes:
    """Encode the leader as the value of its row."""
    document = {
        "instance": record.instance,
        "boot": record.boot,
        "earlier_renewals_s": record.earlier_renewals_s,
    } | _era_field(record.era)
    if record.lost_renewals_s:
        document["lost_renewals_s"] = record.lost_renewals_s
    return json.dumps(document).encode()


def decode_leader(version: int, value: bytes) -> LeaderRecord:
    """Decode the leader from the value of its row.

    Raises
    ------
    MalformedRowError
        If the row cannot be decoded.
    """
    with _decoding("leader"):
        document = _decode_object(value)
        return LeaderRecord(
            str(document["instance"]),
            str(document["boot"]),
            version,
            # Absent in the rows of earlier versions of this program.
            float(document.get("earlier_renewals_s") or 0.0),
            _decode_era(document),
            float(document.get("lost_renewals_s") or 0.0),
        )


def encode_instance(record: InstanceRecord) -> bytes:
    """Encode the registration of an instance as the value of its row."""
    document = {
        "boot": record.boot,
        "domain": record.domain,
        "address": record.address,
        "link_mbps": record.link_mbps,
        "store_round_trip_s": record.store_round_trip_s,
    }
    return json.dumps(document).encode()


def decode_instance(name: str, value: bytes) -> InstanceRecord:
    """Decode the instance ``name`` from the value of its row.

    Raises
    ------
    MalformedRowError
        If the row cannot be decoded.
    """
    with _decoding(f"instance {name}"):
        document = _decode_object(value)
        address = document.get("address")
        return InstanceRecord(
            name,
            str(document["boot"]),
            str(document["domain"]),
            (str(address[0]), int(address[1])) if address else None,
            float(document.get("link_mbps") or 0.0),
            _optional_float(document.get("store_round_trip_s")),
        )


@contextmanager
def _decoding(description: str) -> Iterator[None]:
    """Raise decoding errors as :class:`MalformedRowError` with a description of the row."""
    try:
        yield
    except (ValueError, KeyError, TypeError, AttributeError, IndexError, OverflowError) as error:
        raise MalformedRowError(f"{description}: {error}") from error


def _decode_range(fields: list[Any]) -> KeyRange:
    first, last, holder, started, fence, *previous = fields
    return KeyRange(
        int(first),
        int(last),
        _decode_incarnation(holder, started),
        int(fence),
        _decode_previous(previous),
    )


def _era_field(era: int) -> dict[str, Any]:
    return {"era": era} if era else {}


def _decode_era(document: dict[str, Any]) -> int:
    # Absent in rows of a store without eras, and in those of earlier versions of this program.
    return int(document.get("era") or 0)


def _optional_float(value: Any) -> float | None:
    return float(value) if value is not None else None


def _ordered(ranges: Iterable[KeyRange]) -> Iterator[KeyRange]:
    """Yield ``ranges``; raise ValueError if they overlap or contain keys that do not exist."""
    next_key = 0
    for key_range in ranges:
        if not next_key <= key_range.first <= key_range.last < KEY_COUNT:
            raise ValueError(f"range {key_range.first} to {key_range.last} is out of order")
        next_key = key_range.last + 1
        yield key_range


def _decode_previous(fields: list[Any]) -> Incarnation | None:
    return _decode_incarnation(*fields) if fields else None


def _decode_incarnation(target_id: str, started_at_ms: int) -> Incarnation:
    return str(target_id), int(started_at_ms)
