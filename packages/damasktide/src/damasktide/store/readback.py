"""State machine of a write: finds out whether it took effect, and repeats it if it did not.

Rule: read the row. If its changes include ours, the write took effect. If its version is still
the one that the write is based on, send the write. Otherwise another change was applied first.
The same rule applies before the first attempt, which makes repeating a change idempotent.
"""

from dataclasses import dataclass, replace
from enum import Enum

from returns.result import Failure, Result, Success

from damasktide.store.rows import Row, StoreError, StoreErrorKind, WriteRow

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4

WriteResult = Result[tuple[Row, ...], StoreError]


class WriteResponse(Enum):
    """Classification of the response to a write.

    ``NOT_APPLIED`` is a write that was not sent, was throttled or names an unknown table;
    ``REJECTED`` is one that the table service refused for another reason than a conflict or these.
    ``LOST`` leaves the outcome open.
    """

    ACCEPTED = "accepted"
    CONDITION_FAILED = "condition_failed"
    NOT_APPLIED = "not_applied"
    LOST = "lost"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class ReadBack:
    """Read all rows of the write after ``delay_s`` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class SendWrites:
    """Send the conditional write that creates ``rows``."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Finished:
    """Stop: the outcome is known, or the time for further attempts is over."""

    result: WriteResult


Step = ReadBack | SendWrites | Finished


@dataclass(frozen=True, slots=True)
class WriteProgress:
    """A write of one or more rows that take effect together.

    Attributes
    ----------
    writes
        The writes; all carry the same change id.
    retry_until
        Monotonic time in seconds from which on no further read-back starts.
    in_doubt
        Whether a write whose response was lost may have taken effect, in this or in an earlier
        attempt.
    read_back_count
        Number of read-backs so far, without a first read; determines the backoff.
    sent_rows
        Rows that the most recently sent write creates.
    """

    writes: tuple[WriteRow, ...]
    retry_until: float
    in_doubt: bool = False
    read_back_count: int = 0
    sent_rows: tuple[Row, ...] = ()

    @classmethod
    def begin(cls, writes: tuple[WriteRow, ...], retry_until: float) -> "WriteProgress":
        """Return the state before the first call."""
        return cls(writes, retry_until, in_doubt=any(write.repeated for write in writes))

    def on_rows(self, rows: tuple[Row, ...]) -> tuple["WriteProgress", Step]:
        """Choose the next step after a read; ``rows`` are in the order of the writes."""
        pairs = tuple(zip(self.writes, rows, strict=True))
        # The writes are atomic: if one row has the change in its history, all took effect.
        if any(_applied_version(write, row) is not None for write, row in pairs):
            return self, Finished(Success(tuple(_applied_row(*pair) for pair in pairs)))
        for write, row in pairs:
            if row.version != write.based_on:
                return self, Finished(Failure(self._conflict_error(write, row)))
        new_rows = tuple(write.applied_to(row.changes) for write, row in pairs)
        return replace(self, sent_rows=new_rows), SendWrites(new_rows)

    def on_read_failure(self, error: StoreError, now: float) -> tuple["WriteProgress", Step]:
        """Read again if a write may have taken effect; otherwise nothing was written."""
        if not self.in_doubt:
            return self, Finished(Failure(error))
        return self._read_back(error.detail, now)

    def on_response(
        self, response: WriteResponse, detail: str, now: float
    ) -> tuple["WriteProgress", Step]:
        """Choose the next step after a response to a write, or after its absence."""
        if response is WriteResponse.ACCEPTED:
            return self, Finished(Success(self.sent_rows))
        if response is WriteResponse.LOST:
            return replace(self, in_doubt=True)._read_back(detail, now)
        if response is WriteResponse.CONDITION_FAILED or self.in_doubt:
            return self._read_back(detail, now)
        rejected = response is WriteResponse.REJECTED
        kind = StoreErrorKind.REJECTED if rejected else StoreErrorKind.UNAVAILABLE
        return self, Finished(Failure(StoreError(kind, detail)))

    def _read_back(self, detail: str, now: float) -> tuple["WriteProgress", Step]:
        delay_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self.read_back_count)
        if now + delay_s >= self.retry_until:
            return self, Finished(Failure(self._timeout_error(detail)))
        return replace(self, read_back_count=self.read_back_count + 1), ReadBack(delay_s)

    def _timeout_error(self, detail: str) -> StoreError:
        kind = StoreErrorKind.UNRESOLVED if self.in_doubt else StoreErrorKind.UNAVAILABLE
        return StoreError(kind, detail)

    def _conflict_error(self, write: WriteRow, row: Row) -> StoreError:
        if self.in_doubt and not row.history_covers(write.based_on + 1):
            detail = f"row {write.key}: too many later changes to tell whether ours took effect"
            return StoreError(StoreErrorKind.UNRESOLVED, detail, row)
        detail = f"row {write.key} is at version {row.version}, not at {write.based_on}"
        return StoreError(StoreErrorKind.CONFLICT, detail, row)


def _applied_version(write: WriteRow, row: Row) -> int | None:
    versions = (c.version for c in row.changes if c.change_id == write.change_id)
    return next(versions, None)


def _applied_row(write: WriteRow, row: Row) -> Row:
    version = _applied_version(write, row) or write.based_on + 1
    changes = tuple(change for change in row.changes if change.version <= version)
    return Row(write.key, version, write.body, write.change_id, changes)
