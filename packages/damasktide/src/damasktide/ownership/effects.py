"""Effects that the ownership decisions request, and the replies to them."""

from dataclasses import dataclass

from damasktide.ownership.shard_map import OwnerServer, ShardMap


@dataclass(frozen=True, slots=True)
class ReadMap:
    """Read the map row from the store."""


@dataclass(frozen=True, slots=True)
class WriteMap:
    """Write the map row if its version is still ``based_on``."""

    shard_map: ShardMap
    based_on: int


@dataclass(frozen=True, slots=True)
class AskConfirm:
    """Ask an instance which map version it has adopted."""

    instance_id: str


@dataclass(frozen=True, slots=True)
class AskAdopt:
    """Ask an instance to adopt a map and to acknowledge it."""

    instance_id: str
    shard_map: ShardMap


@dataclass(frozen=True, slots=True)
class QueryServer:
    """Ask a backend server for its term and clock reading."""

    server: OwnerServer


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Grant a backend server all the shards that it may own.

    Attributes
    ----------
    server
        The backend server.
    version
        Map version of the grant.
    shards
        Shards that the server may own; the grant revokes all others.
    term
        The server's term, from its latest response.
    basis_ms
        Reading of the server's clock, in milliseconds, from which the grant's TTL counts.
    """

    server: OwnerServer
    version: int
    shards: tuple[int, ...]
    term: str
    basis_ms: int


Effect = ReadMap | WriteMap | AskConfirm | AskAdopt | QueryServer | SendGrant


@dataclass(frozen=True, slots=True)
class ConfirmReply:
    """An instance's reply to :class:`AskConfirm`.

    Attributes
    ----------
    instance_id
        Id of the instance that replies.
    version
        Map version that it has adopted, 0 before the first.
    map_row_read_age_s
        Seconds since the last read of the map row that showed that version, or None if there
        was none within ``MAX_STORELESS_RENEWAL_S``.
    reached_age_by_server
        Seconds since its last successful exchange with each backend server that it renews.
    """

    instance_id: str
    version: int
    map_row_read_age_s: float | None
    reached_age_by_server: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class ServerReply:
    """A backend server's response to a query or a grant.

    Attributes
    ----------
    accepted
        Whether the grant was accepted; a query is always accepted.
    boot_id
        Id of the server's run; it changes with each restart.
    term
        The server's current term.
    now_ms
        Reading of the server's clock in milliseconds.
    version
        Highest map version of the grants that the server has accepted since its start.
    draining
        Number of running requests for shards that the server no longer owns.
    """

    accepted: bool
    boot_id: str
    term: str
    now_ms: int
    version: int
    draining: int
