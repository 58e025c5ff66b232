"""The shard map of a service: owners, pending moves and confirmers under one version."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from functools import cached_property
from types import MappingProxyType

NO_OWNER = -1


class MoveCause(Enum):
    """Why a shard moves."""

    LOST = "lost"
    LEAVING = "leaving"
    DOMAIN_OUT = "domain_out"
    JOIN = "join"
    BALANCE = "balance"


@dataclass(frozen=True, slots=True)
class OwnerServer:
    """A backend server that the map names.

    Attributes
    ----------
    server_id
        Id of the backend server.
    domain, region
        Failure domain and region of the server.
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
    """A move that is in the map row but whose new owner may not be granted the shard yet.

    Attributes
    ----------
    shard
        Number of the shard.
    old_owner
        Id of the server whose ownership has to end first.
    new_owner
        Id of the server that gets the shard.
    cause
        Why the shard moves.
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

    The witness of a failure domain is another domain of the same region. Only confirmers of these
    two domains count towards a quorum for the failure domain; see
    :mod:`damasktide.ownership.quorums`.

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
        """Return the witness domain of ``domain``, or None if its region has no other domain.

        The witness is the next failure domain of the region by name; the last one is followed by
        the first.
        """
        region = self.region_by_domain.get(domain)
        names = sorted(name for name, other in self.region_by_domain.items() if other == region)
        if domain not in names or len(names) < 2:
            return None
        return names[(names.index(domain) + 1) % len(names)]

    def own_ids(self, domain: str) -> frozenset[str]:
        """Return the confirmers in ``domain``."""
        return frozenset(self.ids_by_domain.get(domain, ()))

    def witness_ids(self, domain: str) -> frozenset[str]:
        """Return the confirmers of the witness domain of ``domain``."""
        witness = self.witness_of(domain)
        return self.own_ids(witness) if witness is not None else frozenset()

    def all_ids(self) -> frozenset[str]:
        """Return the confirmers of all failure domains."""
        return frozenset(one for ids in self.ids_by_domain.values() for one in ids)


@dataclass(frozen=True)
class ShardMap:
    """Owner of each shard of a service.

    Attributes
    ----------
    service
        Name of the service.
    version
        Version of the map row; a server that has accepted it refuses grants of older versions.
    servers
        Backend servers that ``owners`` and ``pending`` refer to.
    owners
        Index of each shard's owner in ``servers``, or ``NO_OWNER``.
    pending
        Moves whose old owner may still hold a grant.
    confirmer_sets
        Confirmer sets that may be in use, oldest first; the last one is current.
    """

    service: str
    version: int
    servers: tuple[OwnerServer, ...]
    owners: tuple[int, ...]
    pending: tuple[PendingMove, ...] = ()
    confirmer_sets: tuple[ConfirmerSet, ...] = ()

    @property
    def confirmers(self) -> ConfirmerSet:
        """The current confirmer set."""
        return self.confirmer_sets[-1] if self.confirmer_sets else ConfirmerSet(0, {}, {})

    def server_by_id(self) -> Mapping[str, OwnerServer]:
        """Return the servers of the map by id."""
        return self._server_by_id

    def pending_by_shard(self) -> Mapping[int, PendingMove]:
        """Return the pending moves by shard."""
        return self._pending_by_shard

    def granted_shards_by_server(self) -> Mapping[str, tuple[int, ...]]:
        """Return the shards that each server may be granted: owned and not pending."""
        return self._granted_shards_by_server

    # Cached, because a map is immutable and the decisions look these up at each tick.

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
    """Return the next version of the map, with ``moves`` marked as pending.

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
    A shard without an owner is given to its new owner without a pending move. If a move of the
    shard is already pending, its new owner is replaced and its old owner stays; if the new owner
    is the old owner, the pending move is cancelled.
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
    """Return the next version of the map, in which the moves of ``shards`` are complete."""
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
    """Return the next version of the map, with a new current confirmer set; older sets stay."""
    version = shard_map.version + 1
    current = ConfirmerSet(version, dict(ids_by_domain), dict(region_by_domain))
    return replace(shard_map, version=version, confirmer_sets=(*shard_map.confirmer_sets, current))


def with_settled_confirmers(shard_map: ShardMap) -> ShardMap:
    """Return the next version of the map, with only the current confirmer set."""
    return replace(
        shard_map,
        version=shard_map.version + 1,
        confirmer_sets=shard_map.confirmer_sets[-1:],
    )


def _without_unused_servers(shard_map: ShardMap) -> ShardMap:
    """Return the map without servers that own no shard and from which no shard is moving."""
    used_ids = {shard_map.servers[index].server_id for index in shard_map.owners if index >= 0}
    used_ids |= {move.old_owner for move in shard_map.pending}
    kept = tuple(server for server in shard_map.servers if server.server_id in used_ids)
    index_by_id = {server.server_id: index for index, server in enumerate(kept)}
    owners = tuple(
        NO_OWNER if index == NO_OWNER else index_by_id[shard_map.servers[index].server_id]
        for index in shard_map.owners
    )
    return replace(shard_map, servers=kept, owners=owners)
