"""What the ownership decisions ask their task to do, and what comes back."""

from dataclasses import dataclass

from damasktide.ownership.shard_map import OwnerServer, ShardMap


@dataclass(frozen=True, slots=True)
class ReadMap:
    """Read the map row from the table."""


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
        The server.
    version
        Map version of the grant.
    shards
        Shards that the server may own; the server loses all others.
    term
        Term that the server issued.
    basis_ms
        The server's clock reading, in milliseconds, from which the grant counts.
    """

    server: OwnerServer
    version: int
    shards: tuple[int, ...]
    term: str
    basis_ms: int


Effect = ReadMap | WriteMap | AskConfirm | AskAdopt | QueryServer | SendGrant


@dataclass(frozen=True, slots=True)
class ConfirmReply:
    """What an instance knows of the map of a service.

    Attributes
    ----------
    instance_id
        Id of the instance that replies.
    version
        Version that it has adopted.
    news_age_s
        Age of its last table news of that version, or None.
    reached_age_by_server
        Seconds since its last successful exchange with each backend server that it renews.
    """

    instance_id: str
    version: int
    news_age_s: float | None
    reached_age_by_server: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class ServerReply:
    """A backend server's response to a query or a grant.

    Attributes
    ----------
    accepted
        Whether the grant was accepted; a query is always accepted.
    boot_id
        Changes when the server restarts.
    term
        The server's present term.
    now_ms
        The server's clock in milliseconds.
    version
        Highest map version that the server has seen.
    draining
        Running requests for shards that it no longer owns.
    """

    accepted: bool
    boot_id: str
    term: str
    now_ms: int
    version: int
    draining: int
