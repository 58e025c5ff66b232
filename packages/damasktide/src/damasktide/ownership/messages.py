"""Messages to and from the ownership task."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.effects import ConfirmReply, Effect, ServerReply
from damasktide.ownership.shard_map import OwnerServer, PendingMove, ShardMap


@dataclass(frozen=True, slots=True)
class OwnerSnapshot:
    """The adopted map, prepared for the lookups of request handlers.

    Attributes
    ----------
    shard_map
        The map, or None before the first one.
    owner_by_shard
        Owner of each shard, or None while it has none or its move is pending.
    renewal_lease_until
        Monotonic time in seconds at which this instance's renewal lease for its own failure
        domain expires.
    """

    shard_map: ShardMap | None = None
    owner_by_shard: tuple[OwnerServer | None, ...] = ()
    renewal_lease_until: float = float("-inf")


@dataclass(frozen=True, slots=True)
class ClusterStateChanged:
    """The live instances, the targets or the domains out of service have changed."""

    cluster_state: ClusterState


@dataclass(frozen=True, slots=True)
class ConfirmRequested:
    """A peer asks for the adopted version; the reply is a :class:`ConfirmReply`."""


@dataclass(frozen=True, slots=True)
class AdoptRequested:
    """Asks this instance to adopt a map; the reply is the version adopted afterwards."""

    shard_map: ShardMap


@dataclass(frozen=True, slots=True)
class ExplainRequested:
    """Asks who owns a shard and what its move waits for; the reply is :class:`Explanation`."""

    shard: int


@dataclass(frozen=True, slots=True)
class Explanation:
    """Owner and pending move of a shard.

    Attributes
    ----------
    version
        Adopted map version.
    owner
        Owner of the shard, or None while it has none or its move is pending.
    pending
        Pending move of the shard, or None.
    waits_s
        Seconds until the pending move completes at the latest, or None.
    right_s
        Seconds until this instance's renewal lease for its own failure domain expires; negative
        if it has expired.
    waits_for
        Confirmers whose acknowledgement is missing.
    """

    version: int
    owner: OwnerServer | None
    pending: PendingMove | None
    waits_s: float | None
    right_s: float
    waits_for: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MapRowRead:
    """Result of reading the map row.

    ``has_result`` is False if the read failed; ``shard_map`` is None if there is no row.
    """

    effect: Effect
    has_result: bool
    shard_map: ShardMap | None = None
    requested_at: float = 0.0


@dataclass(frozen=True, slots=True)
class MapWritten:
    """Result of writing the map row.

    ``shard_map`` is the map in the row after the write, which another instance may have written,
    or None if it is not known.
    """

    effect: Effect
    shard_map: ShardMap | None


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Result of a confirm request to a peer; ``reply`` is None if it did not reply."""

    effect: Effect
    reply: ConfirmReply | None
    requested_at: float


@dataclass(frozen=True, slots=True)
class Adopted:
    """Result of an adopt request to a peer; ``version`` is None if it did not reply."""

    effect: Effect
    instance_id: str
    version: int | None


@dataclass(frozen=True, slots=True)
class ServerReplied:
    """Result of an exchange with a backend server; ``reply`` is None without a response."""

    effect: Effect
    server_id: str
    reply: ServerReply | None


@dataclass(frozen=True, slots=True)
class EffectFailed:
    """An effect raised an exception; its result is unknown."""

    effect: Effect
    reason: str


@dataclass(frozen=True, slots=True)
class OwnershipStatus:
    """Status of the ownership of one service, for operators.

    Attributes
    ----------
    version
        Adopted map version, 0 before the first.
    shards_by_server
        Number of shards that each server may be granted: owned and not pending.
    pending
        Number of pending moves.
    right_s
        Seconds until this instance's renewal lease for its own failure domain expires; negative
        if it has expired.
    """

    version: int
    shards_by_server: Mapping[str, int] = field(default_factory=dict)
    pending: int = 0
    right_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """Asks for the :class:`OwnershipStatus`."""
