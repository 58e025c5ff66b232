"""Encodes and decodes the ownership messages between instances."""

from pathlib import Path

import capnp

from damasktide.ownership.effects import ConfirmReply
from damasktide.ownership.shard_map import ShardMap
from damasktide.ownership.shard_map_codec import decode_map, encode_map

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))

_NO_READ_AGE_S = -1.0


def encode_service(service: str) -> bytes:
    """Encode a request that names only the service."""
    return bytes(_SCHEMA.ConfirmRequest.new_message(service=service).to_bytes_packed())


def decode_service(data: bytes) -> str:
    """Return the service of a request that names only the service."""
    return str(_SCHEMA.ConfirmRequest.from_bytes_packed(data).service)


def encode_confirm_reply(reply: ConfirmReply) -> bytes:
    """Encode a confirmer's reply."""
    message = _SCHEMA.ConfirmReply.new_message(
        instanceId=reply.instance_id,
        version=reply.version,
        newsAgeS=_NO_READ_AGE_S if reply.map_row_read_age_s is None else reply.map_row_read_age_s,
        reached=[
            {"serverId": server_id, "ageS": age} for server_id, age in reply.reached_age_by_server
        ],
    )
    return bytes(message.to_bytes_packed())


def decode_confirm_reply(data: bytes) -> ConfirmReply:
    """Return a confirmer's reply."""
    message = _SCHEMA.ConfirmReply.from_bytes_packed(data)
    return ConfirmReply(
        instance_id=str(message.instanceId),
        version=int(message.version),
        map_row_read_age_s=None if message.newsAgeS < 0 else float(message.newsAgeS),
        reached_age_by_server=tuple(
            (str(entry.serverId), float(entry.ageS)) for entry in message.reached
        ),
    )


def encode_adopt_request(shard_map: ShardMap) -> bytes:
    """Encode a request to adopt a map."""
    message = _SCHEMA.AdoptRequest.new_message(
        service=shard_map.service, map=encode_map(shard_map)
    )
    return bytes(message.to_bytes_packed())


def decode_adopt_request(data: bytes) -> ShardMap:
    """Return the map of a request to adopt it."""
    return decode_map(str(_SCHEMA.AdoptRequest.from_bytes_packed(data).map))


def encode_adopt_reply(instance_id: str, version: int) -> bytes:
    """Encode an acknowledgement of ``version``."""
    message = _SCHEMA.AdoptReply.new_message(instanceId=instance_id, version=version)
    return bytes(message.to_bytes_packed())


def decode_adopt_reply(data: bytes) -> tuple[str, int]:
    """Return the instance id and the version of an acknowledgement."""
    message = _SCHEMA.AdoptReply.from_bytes_packed(data)
    return str(message.instanceId), int(message.version)
