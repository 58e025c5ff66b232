"""Records of finished requests and their compact form in memory."""

import struct
from dataclasses import dataclass
from enum import IntEnum

MAX_STORED_BODY_BYTES = 128
# One byte of a record names the content type.
_MAX_CONTENT_TYPES = 255
_MAX_CONTENT_TYPE_LENGTH = 128
_HEADER = struct.Struct("<IBHB")


@dataclass(frozen=True, slots=True)
class Completed:
    """The backend server answered with a whole response.

    Attributes
    ----------
    status
        HTTP status.
    content_type
        Value of ``Content-Type``; empty if there was none.
    body
        Body of the response, or None if it is not at hand.
    """

    status: int
    content_type: str = ""
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run."""


RequestOutcome = Completed | NotRun | Unknown


class _Kind(IntEnum):
    NOT_RUN = 0
    UNKNOWN = 1
    COMPLETED = 2
    STORED = 3


class RecordCodec:
    """Packs an outcome and its expiry into one ``bytes`` object.

    A record as an object with attributes takes about three times the memory, and a node keeps
    tens of thousands of them. Content types are kept once in a bounded table.
    """

    def __init__(self) -> None:
        self._content_types: list[str] = []

    def pack(self, outcome: RequestOutcome, expiry: float) -> bytes:
        """Return the record; ``expiry`` is in seconds and is rounded up to 0.1 s."""
        ticks = int(expiry * 10) + 1
        if isinstance(outcome, NotRun):
            return _HEADER.pack(ticks, _Kind.NOT_RUN, 0, 0)
        if isinstance(outcome, Unknown):
            return _HEADER.pack(ticks, _Kind.UNKNOWN, 0, 0)
        index = self._content_type_index(outcome.content_type)
        if outcome.body is None or len(outcome.body) > MAX_STORED_BODY_BYTES or index is None:
            return _HEADER.pack(ticks, _Kind.COMPLETED, outcome.status, 0)
        return _HEADER.pack(ticks, _Kind.STORED, outcome.status, index) + outcome.body

    def unpack(self, record: bytes) -> RequestOutcome:
        """Return the outcome of a record."""
        _, kind, status, index = _HEADER.unpack_from(record)
        if kind == _Kind.NOT_RUN:
            return NotRun()
        if kind == _Kind.UNKNOWN:
            return Unknown()
        if kind == _Kind.COMPLETED:
            return Completed(status)
        return Completed(status, self._content_types[index], record[_HEADER.size :])

    @staticmethod
    def expiry(record: bytes) -> float:
        """Return the time in seconds at which the record may be forgotten."""
        ticks: int = _HEADER.unpack_from(record)[0]
        return ticks / 10

    def _content_type_index(self, content_type: str) -> int | None:
        if content_type in self._content_types:
            return self._content_types.index(content_type)
        is_full = len(self._content_types) >= _MAX_CONTENT_TYPES
        if is_full or len(content_type) > _MAX_CONTENT_TYPE_LENGTH:
            return None
        self._content_types.append(content_type)
        return len(self._content_types) - 1
