"""Messages of the ownership slice."""

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
        Monotonic time in seconds at which this instance's right for its own failure domain
        ends.
    """

    shard_map: ShardMap | None = None
    owner_by_shard: tuple[OwnerServer | None, ...] = ()
    renewal_lease_until: float = float("-inf")


@dataclass(frozen=True, slots=True)
class ClusterStateChanged:
    """Live instances, targets or domains taken out have changed."""

    cluster_state: ClusterState


@dataclass(frozen=True, slots=True)
class ConfirmRequested:
    """A peer asks which version is adopted; the reply is a :class:`ConfirmReply`."""


@dataclass(frozen=True, slots=True)
class AdoptRequested:
    """A peer asks to adopt a map; the reply is the version adopted afterwards."""

    shard_map: ShardMap


@dataclass(frozen=True, slots=True)
class ExplainRequested:
    """Asks who owns a shard and what its move waits for; the reply is an Explanation."""

    shard: int


@dataclass(frozen=True, slots=True)
class Explanation:
    """Who owns a shard, under which version, and what is pending.

    Attributes
    ----------
    version
        Adopted map version.
    owner
        Owner, or None.
    pending
        The pending move, or None.
    waits_s
        Seconds until the pending move completes at the latest.
    right_s
        Seconds for which this instance's right for its own domain lasts; negative if over.
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
class TableRead:
    """Result of reading the map row; ``shard_map`` is None if there is no row."""

    effect: Effect
    is_answered: bool
    shard_map: ShardMap | None = None
    requested_at: float = 0.0


@dataclass(frozen=True, slots=True)
class MapWritten:
    """Result of a write; ``shard_map`` is None after a conflict or an error."""

    effect: Effect
    shard_map: ShardMap | None


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Result of asking a confirmer; ``reply`` is None if it did not answer."""

    effect: Effect
    reply: ConfirmReply | None
    requested_at: float


@dataclass(frozen=True, slots=True)
class Adopted:
    """Result of asking an instance to adopt a map; ``version`` is None without an answer."""

    effect: Effect
    instance_id: str
    version: int | None


@dataclass(frozen=True, slots=True)
class ServerAnswered:
    """Result of an exchange with a backend server; ``reply`` is None without an answer."""

    effect: Effect
    server_id: str
    reply: ServerReply | None


@dataclass(frozen=True, slots=True)
class EffectFailed:
    """An effect raised; nothing is known about its result."""

    effect: Effect
    reason: str


@dataclass(frozen=True, slots=True)
class OwnershipStatus:
    """What operators see of one service.

    Attributes
    ----------
    version
        Adopted map version, 0 before the first.
    shards_by_server
        Number of shards that each server owns.
    pending
        Number of pending moves.
    right_s
        Seconds for which the right for the own domain lasts; negative if over.
    """

    version: int
    shards_by_server: Mapping[str, int] = field(default_factory=dict)
    pending: int = 0
    right_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """Asks for the :class:`OwnershipStatus`."""
