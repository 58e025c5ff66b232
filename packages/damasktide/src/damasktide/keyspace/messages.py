"""Orders to targets and to the store, and how they ended."""

from dataclasses import dataclass
from enum import Enum

from damasktide.keyspace.key_map import Incarnation, KeyMap
from damasktide.targets.target import TargetEntry


class CommandResult(Enum):
    """How an order to a target ended."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    REFUSED_CONNECTION = "refused_connection"
    ANOTHER_SERVER = "another_server"
    NOT_SENT = "not_sent"
    UNREACHABLE = "unreachable"
    FAILED = "failed"

    @property
    def may_have_arrived(self) -> bool:
        """Whether the target may have received the order."""
        return self in (CommandResult.ACCEPTED, CommandResult.FENCED, CommandResult.FAILED)

    @property
    def is_answered(self) -> bool:
        """Whether the target itself has answered."""
        return self in (CommandResult.ACCEPTED, CommandResult.FENCED)

    @property
    def shows_end(self) -> bool:
        """Whether the process to which the order went has ended.

        A refused connection does not show it: a target that leaves stops listening while it
        still finishes what it has begun.
        """
        return self is CommandResult.ANOTHER_SERVER

    @property
    def shows_leaving(self) -> bool:
        """Whether the target takes no more orders, so its keys are to be moved at once."""
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
        Times on the lease clock: when it was decided, and after which it must not be sent.
    handover
        What the last holder gave back, or None.
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
    """Takes keys back from a target; answered when the work on them has ended.

    Attributes
    ----------
    entry
        Where the order goes: the life that is listed under the holder's id, if there is one.
    holder
        Life that held the keys.
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
    """A grant was answered, or its connection is closed.

    Attributes
    ----------
    grant
        The order.
    result
        How it ended.
    ended_at
        Time after which the call cannot arrive any more.
    """

    grant: Grant
    result: CommandResult
    ended_at: float


@dataclass(frozen=True, slots=True)
class ReleaseEnded:
    """A release was answered, or its connection is closed.

    Attributes
    ----------
    release
        The order.
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
    """Writes a map under the condition that map and leader are unchanged.

    Attributes
    ----------
    key_map
        The new map; its version is that of the row it replaces.
    leader_version
        Version of the leader's row.
    """

    key_map: KeyMap
    leader_version: int


@dataclass(frozen=True, slots=True)
class WriteLeader:
    """Writes the leader's row under the condition that it is unchanged.

    Attributes
    ----------
    version
        Version of the row it replaces.
    resigns
        Whether the row is to name no leader.
    """

    version: int
    resigns: bool = False


class WriteResult(Enum):
    """How a write to the store ended."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class MapWritten:
    """How a :class:`WriteMap` ended; the version is that of the new row."""

    write: WriteMap
    result: WriteResult
    version: int = 0


@dataclass(frozen=True, slots=True)
class LeaderWritten:
    """How a :class:`WriteLeader` ended, with the time at which it was asked for."""

    write: WriteLeader
    result: WriteResult
    requested_at: float
    version: int = 0


@dataclass(frozen=True, slots=True)
class RegisterInstance:
    """Writes the row of this instance, or drops it when the instance has stopped."""

    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class WriteLinkKey:
    """Writes the key of the links between instances, unless there is one."""


@dataclass(frozen=True, slots=True)
class ReadMaps:
    """Reads all maps, because an earlier leader may have written them a moment ago."""


Command = Grant | Release | WriteMap | WriteLeader | ReadMaps
