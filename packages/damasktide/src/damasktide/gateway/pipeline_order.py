"""Order, bounds and end of the pipelined requests of one connection."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

# Reserved for the response of each request that is started behind another one. Responses up to
# this size are always buffered, so a request that has been started never waits for memory.
RESPONSE_RESERVE_BYTES = 32 * 1024
MAX_REQUESTS = 8
MAX_BUFFERED_BYTES = 256 * 1024
# Memory of the machine if the settings do not state it; the smallest known machines have 200 MB.
DEFAULT_MEMORY_MB = 200.0
# Part of the machine's memory that pipelined requests may use.
MEMORY_SHARE = 1 / 16


class Verdict(Enum):
    """Whether another request may be started, or which bound prevents it."""

    START = "start"
    ENDED = "ended"
    REQUESTS = "requests"
    CONNECTION_BYTES = "connection_bytes"
    INSTANCE_BYTES = "instance_bytes"


class BufferBudget:
    """Memory for the pipelined requests of all connections of an instance.

    Parameters
    ----------
    max_bytes
        Number of bytes at which no further request is started.

    Attributes
    ----------
    used_bytes
        Bytes that are reserved or held.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.used_bytes = 0

    @classmethod
    def for_machine(cls, memory_mb: float) -> "BufferBudget":
        """Return the budget of a machine; 0 MB means that its memory is not known."""
        return cls(int((memory_mb or DEFAULT_MEMORY_MB) * 1_000_000 * MEMORY_SHARE))

    def has_room(self, size: int) -> bool:
        """Return whether ``size`` more bytes are within the budget."""
        return self.used_bytes + size <= self._max_bytes


@dataclass(slots=True)
class _Entry:
    number: int
    body_bytes: int
    response_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        return self.body_bytes + max(RESPONSE_RESERVE_BYTES, self.response_bytes)


class PipelineOrder:
    """Decides which requests of a connection may start, which one may write, and when it ends.

    All requests in it are idempotent and complete. Any other request is served when none is left,
    and nothing is read behind it until its response has been sent.

    Parameters
    ----------
    budget
        Memory of the instance.

    Attributes
    ----------
    has_ended
        Whether no further response may be written after the current one.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._entries: deque[_Entry] = deque()
        self._has_predecessor = False
        self._accepts_more = True
        self._next_number = 0
        self.has_ended = False

    @property
    def is_empty(self) -> bool:
        """Whether no request behind the first one is in flight."""
        return not self._entries

    @property
    def held_bytes(self) -> int:
        """Bytes that the requests of this connection reserve or hold."""
        return sum(entry.held_bytes for entry in self._entries)

    def set_predecessor(self, is_in_flight: bool) -> None:
        """Set whether the connection's greenlet serves a request before all others."""
        self._has_predecessor = is_in_flight

    def verdict(self, is_stopping: bool) -> Verdict:
        """Return whether another request may be read and started."""
        if self.has_ended or not self._accepts_more or is_stopping:
            return Verdict.ENDED
        if len(self._entries) + self._has_predecessor >= MAX_REQUESTS:
            return Verdict.REQUESTS
        if self.held_bytes + RESPONSE_RESERVE_BYTES > MAX_BUFFERED_BYTES:
            return Verdict.CONNECTION_BYTES
        if not self._budget.has_room(RESPONSE_RESERVE_BYTES):
            return Verdict.INSTANCE_BYTES
        return Verdict.START

    def start(self, body_bytes: int, keeps_alive: bool) -> int:
        """Add a request at the end and return its number.

        Nothing is started behind a request that announces the end of the connection.
        """
        entry = _Entry(self._next_number, body_bytes)
        self._next_number += 1
        self._accepts_more = keeps_alive
        self._entries.append(entry)
        self._budget.used_bytes += entry.held_bytes
        return entry.number

    def may_write(self, number: int) -> bool:
        """Return whether all responses before that of ``number`` have been written."""
        is_first = bool(self._entries) and self._entries[0].number == number
        return is_first and not self._has_predecessor and not self.has_ended

    def is_last(self, number: int) -> bool:
        """Return whether no request behind ``number`` has been started."""
        return bool(self._entries) and self._entries[-1].number == number

    def hold(self, number: int, size: int) -> bool:
        """Count ``size`` bytes of a response that cannot be written yet.

        Returns False if they exceed a bound, so that no more of the response may be read.
        """
        entry = self._find(number)
        if entry is None:
            return False
        before_bytes = entry.held_bytes
        entry.response_bytes += size
        self._budget.used_bytes += entry.held_bytes - before_bytes
        if entry.response_bytes <= RESPONSE_RESERVE_BYTES:
            return True
        return self.held_bytes <= MAX_BUFFERED_BYTES and self._budget.has_room(0)

    def release(self, number: int) -> None:
        """Stop counting the bytes of the response of ``number`` that were held."""
        entry = self._find(number)
        if entry is not None:
            self._budget.used_bytes -= entry.held_bytes
            entry.response_bytes = 0
            self._budget.used_bytes += entry.held_bytes

    def finish(self, number: int, keeps_alive: bool) -> None:
        """Remove a request; if ``keeps_alive`` is false, no later response may be written."""
        entry = self._find(number)
        if entry is not None:
            self._budget.used_bytes -= entry.held_bytes
            self._entries.remove(entry)
        if not keeps_alive:
            self.has_ended = True

    def _find(self, number: int) -> _Entry | None:
        return next((entry for entry in self._entries if entry.number == number), None)
