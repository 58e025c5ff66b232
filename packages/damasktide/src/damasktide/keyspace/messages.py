"""Commands to targets and to the store, and their outcomes."""

from dataclasses import dataclass
from enum import Enum

from damasktide.keyspace.key_map import Incarnation, KeyMap
from damasktide.targets.target import TargetEntry


class CommandResult(Enum):
    """How a command to a target ended.

    Attributes
    ----------
    ACCEPTED
        The target has executed it.
    FENCED
        The target has refused it, because it received a higher fencing token for one of the keys.
    REFUSED_CONNECTION
        The target's address refuses connections.
    ANOTHER_SERVER
        Another process responded at the target's address.
    NOT_SENT
        The sender discarded it, because it was too old or an earlier grant had failed.
    UNREACHABLE
        It could not be sent, because no connection was available.
    FAILED
        It may have been executed: the response is missing or reports an error.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    REFUSED_CONNECTION = "refused_connection"
    ANOTHER_SERVER = "another_server"
    NOT_SENT = "not_sent"
    UNREACHABLE = "unreachable"
    FAILED = "failed"

    @property
    def may_have_arrived(self) -> bool:
        """Whether the target may have received the command."""
        return self in (CommandResult.ACCEPTED, CommandResult.FENCED, CommandResult.FAILED)

    @property
    def is_answered(self) -> bool:
        """Whether the target itself has responded."""
        return self in (CommandResult.ACCEPTED, CommandResult.FENCED)

    @property
    def has_process_ended(self) -> bool:
        """Whether the process to which the command was addressed has ended.

        A refused connection does not prove it: a target that leaves stops listening while it
        still finishes its work.
        """
        return self is CommandResult.ANOTHER_SERVER

    @property
    def is_target_leaving(self) -> bool:
        """Whether the target accepts no more commands, so that its keys must move at once."""
        return self in (CommandResult.REFUSED_CONNECTION, CommandResult.ANOTHER_SERVER)


@dataclass(frozen=True, slots=True)
class Grant:
    """Grants keys to a target, or renews a grant.

    Attributes
    ----------
    entry
        The target.
    first, last
        First and last key.
    fence
        Fencing token.
    hold_s
        Time for which the grant holds, from the arrival of the call.
    issued_at, not_after
        Times on the lease clock at which the grant was decided, and after which it must not be
        sent.
    handover
        Handover that the previous holder returned with its release, or None.
    """

    entry: TargetEntry
    first: int
    last: int
    fence: int
    hold_s: float
    issued_at: float
    not_after: float
    handover: str | None = None


@dataclass(frozen=True, slots=True)
class Release:
    """Takes keys back from a target, which responds when the work on them has ended.

    Attributes
    ----------
    entry
        Where the command goes: the incarnation listed under the holder's id, if there is one.
    holder
        Incarnation that held the keys.
    first, last
        First and last key.
    fence
        Fencing token of the next holder.
    """

    entry: TargetEntry
    holder: Incarnation
    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class GrantEnded:
    """A grant was answered, has failed, or was not sent.

    Attributes
    ----------
    grant
        The command.
    result
        How it ended.
    ended_at
        Time on the lease clock at which it ended.
    """

    grant: Grant
    result: CommandResult
    ended_at: float


@dataclass(frozen=True, slots=True)
class ReleaseEnded:
    """A release was answered, or has failed.

    Attributes
    ----------
    release
        The command.
    result
        How it ended.
    handover
        What the next holder needs to serve the keys at full speed, or None.
    """

    release: Release
    result: CommandResult
    handover: str | None = None


@dataclass(frozen=True, slots=True)
class WriteMap:
    """Writes a map on condition that the map and the leader are unchanged.

    Attributes
    ----------
    key_map
        The new map; its version is that of the row it replaces.
    leader_version
        Version of the leader's row; None if an instance that does not lead restores a map that a
        leader has written before.
    """

    key_map: KeyMap
    leader_version: int | None


@dataclass(frozen=True, slots=True)
class WriteLeader:
    """Writes the leader's row on condition that it is unchanged.

    Attributes
    ----------
    version
        Version of the row it replaces.
    earlier_renewals_s
        Seconds for which earlier leaders may renew grants.
    resigns
        Whether the new row names no leader.
    era
        Era of the store, as the writer knows it.
    lost_renewals_s
        Seconds for which leaders may renew grants by maps that the store may have lost.
    """

    version: int
    earlier_renewals_s: float = 0.0
    resigns: bool = False
    era: int = 0
    lost_renewals_s: float = 0.0


class WriteResult(Enum):
    """How a write to the store ended."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class MapWritten:
    """Outcome of a :class:`WriteMap`; ``version`` is that of the new row."""

    write: WriteMap
    result: WriteResult
    version: int = 0


@dataclass(frozen=True, slots=True)
class LeaderWritten:
    """Outcome of a :class:`WriteLeader`; ``requested_at`` is its start on the lease clock."""

    write: WriteLeader
    result: WriteResult
    requested_at: float
    version: int = 0


@dataclass(frozen=True, slots=True)
class RegisterInstance:
    """Writes the row of this instance, or deletes it when the instance leaves.

    Attributes
    ----------
    is_leaving
        Whether to delete the row.
    provides_link_key
        Whether to write the shared key of the links with the row, unless there is one.
    """

    is_leaving: bool = False
    provides_link_key: bool = False


@dataclass(frozen=True, slots=True)
class WriteLinkKey:
    """Writes the shared key of the links between instances, unless there is another one.

    Attributes
    ----------
    key
        The key, or None for a new one.
    version
        Version of the row that it replaces; 0 if there is none.
    """

    key: bytes | None = None
    version: int = 0


@dataclass(frozen=True, slots=True)
class ReadMaps:
    """Reads all maps again; an earlier leader may have written them just before the takeover."""


Command = Grant | Release | WriteMap | WriteLeader | ReadMaps
