"""Outcomes of finished requests and their compact encoding in memory."""

import struct
from dataclasses import dataclass
from enum import IntEnum

MAX_STORED_BODY_BYTES = 128
# A record stores the index of the content type in one byte.
_MAX_CONTENT_TYPES = 255
_MAX_CONTENT_TYPE_CHARS = 128
# Expiry in ticks of 0.1 s, kind of the outcome, HTTP status, index of the content type.
_HEADER = struct.Struct("<IBHB")


@dataclass(frozen=True, slots=True)
class Completed:
    """The backend server returned a complete response.

    Attributes
    ----------
    status
        HTTP status.
    content_type
        Value of ``Content-Type``; empty if there was none.
    body
        Body of the response, or None if it was not stored.
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
    COMPLETED_WITH_BODY = 3


class RecordCodec:
    """Packs an outcome and its expiry into one ``bytes`` object.

    An object with attributes would take about three times the memory, and an instance keeps
    tens of thousands of records. Content types are stored once each, in a bounded table.
    """

    def __init__(self) -> None:
        self._content_types: list[str] = []

    def pack(self, outcome: RequestOutcome, expiry: float) -> bytes:
        """Return the record; ``expiry`` is a time in seconds, rounded up to the next 0.1 s."""
        ticks = int(expiry * 10) + 1
        if isinstance(outcome, NotRun):
            return _HEADER.pack(ticks, _Kind.NOT_RUN, 0, 0)
        if isinstance(outcome, Unknown):
            return _HEADER.pack(ticks, _Kind.UNKNOWN, 0, 0)
        index = self._content_type_index(outcome.content_type)
        if outcome.body is None or len(outcome.body) > MAX_STORED_BODY_BYTES or index is None:
            return _HEADER.pack(ticks, _Kind.COMPLETED, outcome.status, 0)
        return _HEADER.pack(ticks, _Kind.COMPLETED_WITH_BODY, outcome.status, index) + outcome.body

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
        """Return the time in seconds at which the record may be deleted."""
        ticks: int = _HEADER.unpack_from(record)[0]
        return ticks / 10

    def _content_type_index(self, content_type: str) -> int | None:
        if content_type in self._content_types:
            return self._content_types.index(content_type)
        is_full = len(self._content_types) >= _MAX_CONTENT_TYPES
        if is_full or len(content_type) > _MAX_CONTENT_TYPE_CHARS:
            return None
        self._content_types.append(content_type)
        return len(self._content_types) - 1
