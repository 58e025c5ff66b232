"""The shard map of a service: owners, pending moves and confirmers under one version."""

import base64
import json
from array import array
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import cached_property
from types import MappingProxyType
from typing import Any

NO_OWNER = -1


class MoveCause(Enum):
    """Why a shard moves."""

    LOST = "lost"
    LEAVING = "leaving"
    DOMAIN_OUT = "domain_out"
    JOIN = "join"
    BALANCE = "balance"
    HOT_KEY = "hot_key"


@dataclass(frozen=True, slots=True)
class OwnerServer:
    """A backend server that the map names.

    Attributes
    ----------
    server_id
        Id of the backend server.
    domain, region
        Where it stands.
    host, port
        TCP address.
    """

    server_id: str
    domain: str
    region: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class PendingMove:
    """A move that is durable but whose new owner may not be granted the shard yet.

    Attributes
    ----------
    shard
        The shard.
    old_owner
        Id of the server whose ownership has to end first.
    new_owner
        Id of the server that gets the shard.
    cause
        Why it moves.
    since_version
        Map version that made the move pending.
    """

    shard: int
    old_owner: str
    new_owner: str
    cause: MoveCause
    since_version: int


@dataclass(frozen=True, slots=True)
class ConfirmerSet:
    """The instances that may confirm a map version.

    Attributes
    ----------
    since_version
        First map version with this set.
    ids_by_domain
        Ids of the confirmers of each failure domain.
    region_by_domain
        Region of each failure domain.
    """

    since_version: int
    ids_by_domain: Mapping[str, tuple[str, ...]]
    region_by_domain: Mapping[str, str]

    def witness_of(self, domain: str) -> str | None:
        """Return the next failure domain of the same region by name, or None."""
        region = self.region_by_domain.get(domain)
        names = sorted(name for name, at in self.region_by_domain.items() if at == region)
        if domain not in names or len(names) < 2:
            return None
        return names[(names.index(domain) + 1) % len(names)]

    def own_ids(self, domain: str) -> frozenset[str]:
        """Return the confirmers that stand in ``domain``."""
        return frozenset(self.ids_by_domain.get(domain, ()))

    def witness_ids(self, domain: str) -> frozenset[str]:
        """Return the confirmers of the witness domain of ``domain``."""
        witness = self.witness_of(domain)
        return self.own_ids(witness) if witness is not None else frozenset()

    def all_ids(self) -> frozenset[str]:
        """Return the confirmers of all failure domains."""
        return frozenset(name for ids in self.ids_by_domain.values() for name in ids)


@dataclass(frozen=True)
class ShardMap:
    """Who owns which shard.

    Attributes
    ----------
    service
        Name of the service.
    version
        Version of the row; fences older grants.
    servers
        Backend servers that ``owners`` refers to.
    owners
        For each shard the index of its owner in ``servers``, or ``NO_OWNER``.
    pending
        Moves whose old owner may still hold a grant.
    confirmer_sets
        Sets that may be in use, oldest first; the last one is current.
    hot_owner_by_key_hash
        Id of the owner of each key that is placed apart from its shard.
    """

    service: str
    version: int
    servers: tuple[OwnerServer, ...]
    owners: tuple[int, ...]
    pending: tuple[PendingMove, ...] = ()
    confirmer_sets: tuple[ConfirmerSet, ...] = ()
    hot_owner_by_key_hash: Mapping[int, str] = field(default_factory=dict)

    @property
    def confirmers(self) -> ConfirmerSet:
        """The current confirmer set."""
        return self.confirmer_sets[-1] if self.confirmer_sets else ConfirmerSet(0, {}, {})

    def server_by_id(self) -> Mapping[str, OwnerServer]:
        """Return the named servers by id."""
        return self._server_by_id

    def pending_by_shard(self) -> Mapping[int, PendingMove]:
        """Return the pending moves by shard."""
        return self._pending_by_shard

    def granted_shards_by_server(self) -> Mapping[str, tuple[int, ...]]:
        """Return the shards that each server may be granted: owned and not pending."""
        return self._granted_shards_by_server

    # A map does not change, and the decisions look these up at each tick.

    @cached_property
    def _server_by_id(self) -> Mapping[str, OwnerServer]:
        return MappingProxyType({server.server_id: server for server in self.servers})

    @cached_property
    def _pending_by_shard(self) -> Mapping[int, PendingMove]:
        return MappingProxyType({move.shard: move for move in self.pending})

    @cached_property
    def _granted_shards_by_server(self) -> Mapping[str, tuple[int, ...]]:
        shards_by_server: dict[str, list[int]] = {server.server_id: [] for server in self.servers}
        for shard, index in enumerate(self.owners):
            if index != NO_OWNER and shard not in self._pending_by_shard:
                shards_by_server[self.servers[index].server_id].append(shard)
        return MappingProxyType(
            {server_id: tuple(shards) for server_id, shards in shards_by_server.items()}
        )

    def owner_of(self, shard: int) -> OwnerServer | None:
        """Return the owner of ``shard``, or None while it has none or its move is pending."""
        index = self.owners[shard]
        if index == NO_OWNER or shard in self._pending_by_shard:
            return None
        return self.servers[index]


def with_moves(
    shard_map: ShardMap,
    moves: Iterable[tuple[int, str, MoveCause]],
    servers: Iterable[OwnerServer],
) -> ShardMap:
    """Return the next version with ``moves`` marked pending.

    Parameters
    ----------
    shard_map
        The current map.
    moves
        Shard, id of the new owner and cause of each move.
    servers
        Backend servers that may become owners.

    Notes
    -----
    A shard that never had an owner is given to its new owner without a pending move. The new
    owner of a move that is already pending is replaced; its old owner stays.
    """
    version = shard_map.version + 1
    server_by_id = dict(shard_map.server_by_id()) | {
        server.server_id: server for server in servers
    }
    ordered = tuple(server_by_id[server_id] for server_id in sorted(server_by_id))
    index_by_id = {server.server_id: index for index, server in enumerate(ordered)}
    owners = [
        NO_OWNER if index == NO_OWNER else index_by_id[shard_map.servers[index].server_id]
        for index in shard_map.owners
    ]
    pending = dict(shard_map.pending_by_shard())
    for shard, new_owner, cause in moves:
        old_index = shard_map.owners[shard]
        if shard in pending and pending[shard].old_owner == new_owner:
            del pending[shard]
        elif shard in pending:
            pending[shard] = replace(pending[shard], new_owner=new_owner, cause=cause)
        elif old_index != NO_OWNER:
            old_owner = shard_map.servers[old_index].server_id
            pending[shard] = PendingMove(shard, old_owner, new_owner, cause, version)
        owners[shard] = index_by_id[new_owner]
    return _without_unused_servers(
        replace(
            shard_map,
            version=version,
            servers=ordered,
            owners=tuple(owners),
            pending=tuple(pending[shard] for shard in sorted(pending)),
        )
    )


def without_pending(shard_map: ShardMap, shards: Iterable[int]) -> ShardMap:
    """Return the next version in which the moves of ``shards`` are complete."""
    completed = frozenset(shards)
    remaining = tuple(move for move in shard_map.pending if move.shard not in completed)
    return _without_unused_servers(
        replace(shard_map, version=shard_map.version + 1, pending=remaining)
    )


def with_confirmers(
    shard_map: ShardMap,
    ids_by_domain: Mapping[str, tuple[str, ...]],
    region_by_domain: Mapping[str, str],
) -> ShardMap:
    """Return the next version with another current confirmer set; older sets stay."""
    version = shard_map.version + 1
    current = ConfirmerSet(version, dict(ids_by_domain), dict(region_by_domain))
    return replace(shard_map, version=version, confirmer_sets=(*shard_map.confirmer_sets, current))


def with_settled_confirmers(shard_map: ShardMap) -> ShardMap:
    """Return the next version that keeps only the current confirmer set."""
    return replace(
        shard_map,
        version=shard_map.version + 1,
        confirmer_sets=shard_map.confirmer_sets[-1:],
    )


def _without_unused_servers(shard_map: ShardMap) -> ShardMap:
    """Drop servers that own nothing and from which nothing moves."""
    used_ids = {shard_map.servers[index].server_id for index in shard_map.owners if index >= 0}
    used_ids |= {move.old_owner for move in shard_map.pending}
    kept = tuple(server for server in shard_map.servers if server.server_id in used_ids)
    index_by_id = {server.server_id: index for index, server in enumerate(kept)}
    owners = tuple(
        NO_OWNER if index == NO_OWNER else index_by_id[shard_map.servers[index].server_id]
        for index in shard_map.owners
    )
    return replace(shard_map, servers=kept, owners=owners)


def encode_map(shard_map: ShardMap) -> str:
    """Return the map as the JSON text of its table row; 2 bytes a shard before base64."""
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
            "hot_keys": [
                [key, server_id] for key, server_id in shard_map.hot_owner_by_key_hash.items()
            ],
        },
        separators=(",", ":"),
    )


def decode_map(text: str) -> ShardMap:
    """Return the map of a table row.

    Raises
    ------
    ValueError, KeyError, TypeError
        If the text is not a row written by :func:`encode_map`.
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
        hot_owner_by_key_hash=dict(raw["hot_keys"]),
    )
