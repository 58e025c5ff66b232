"""Encodes shard maps as JSON text, for the map row and for messages between instances."""

import base64
import json
from array import array
from typing import Any

from damasktide.ownership.shard_map import (
    ConfirmerSet,
    MoveCause,
    OwnerServer,
    PendingMove,
    ShardMap,
)


def encode_map(shard_map: ShardMap) -> str:
    """Return the map as JSON text; each shard's owner takes 2 bytes before base64."""
    return json.dumps(
        {
            "service": shard_map.service,
            "version": shard_map.version,
            "servers": [
                [s.server_id, s.domain, s.region, s.host, s.port] for s in shard_map.servers
            ],
            "owners": base64.b64encode(array("h", shard_map.owners).tobytes()).decode(),
            "pending": [
                [m.shard, m.old_owner, m.new_owner, m.cause.value, m.since_version]
                for m in shard_map.pending
            ],
            "confirmer_sets": [
                [s.since_version, dict(s.ids_by_domain), dict(s.region_by_domain)]
                for s in shard_map.confirmer_sets
            ],
        },
        separators=(",", ":"),
    )


def decode_map(text: str) -> ShardMap:
    """Return the map from its JSON text.

    Raises
    ------
    ValueError, KeyError, TypeError
        If the text was not written by :func:`encode_map`.
    """
    raw: dict[str, Any] = json.loads(text)
    owners = array("h")
    owners.frombytes(base64.b64decode(raw["owners"]))
    return ShardMap(
        service=raw["service"],
        version=raw["version"],
        servers=tuple(OwnerServer(*fields) for fields in raw["servers"]),
        owners=tuple(owners),
        pending=tuple(
            PendingMove(shard, old, new, MoveCause(cause), since)
            for shard, old, new, cause, since in raw["pending"]
        ),
        confirmer_sets=tuple(
            ConfirmerSet(since, {name: tuple(ids) for name, ids in by_domain.items()}, regions)
            for since, by_domain, regions in raw["confirmer_sets"]
        ),
    )
