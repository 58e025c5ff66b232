"""Client of the table service."""

import time

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from damasktide.runtime.clock import Clock, MonotonicClock
from damasktide.store import table_codec
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.readback import (
    Finished,
    ReadBack,
    SendWrites,
    Step,
    WriteProgress,
    WriteReply,
    WriteResult,
)
from damasktide.store.rows import (
    AppliedChange,
    Row,
    RowRead,
    StoreError,
    StoreErrorKind,
    VersionRead,
    WriteRow,
)
from damasktide.store.transport import HttpTransport

# With the last call's timeout of 1 s this ends within the 5 s for which an asker waits.
WRITE_BUDGET_S = 3.5


class TableClient:
    """Reads rows consistently and writes them conditionally on their version.

    Parameters
    ----------
    endpoints
        Where the store is reached.
    clock
        Source of the times in seconds.
    """

    def __init__(self, endpoints: StoreEndpoints, clock: Clock | None = None) -> None:
        self._table = endpoints.table
        self._transport = HttpTransport(endpoints.table_url, endpoints.timeout_s)
        self._clock = clock or MonotonicClock()
        self._history_by_key: dict[str, tuple[int, tuple[AppliedChange, ...]]] = {}

    def read(self, key: str) -> Result[RowRead, StoreError]:
        """Read a row; an absent one has version 0."""
        requested_at = self._clock.now()
        called = self._get(key, table_codec.encode_get(self._table, key))
        if not is_successful(called):
            return Failure(called.failure())
        try:
            row = table_codec.decode_row(key, called.unwrap())
        except ValueError as error:
            return Failure(StoreError(StoreErrorKind.CORRUPT, str(error)))
        self._keep_history(row)
        return Success(RowRead(row, requested_at))

    def read_version(self, key: str) -> Result[VersionRead, StoreError]:
        """Read the version of a row alone; an absent one has version 0."""
        requested_at = self._clock.now()
        called = self._get(key, table_codec.encode_get_version(self._table, key))
        if not is_successful(called):
            return Failure(called.failure())
        try:
            version = table_codec.decode_version(key, called.unwrap())
        except ValueError as error:
            return Failure(StoreError(StoreErrorKind.CORRUPT, str(error)))
        return Success(VersionRead(version, requested_at))

    def write(
        self, key: str, body: str, based_on: int, change_id: str, repeated: bool = False
    ) -> Result[Row, StoreError]:
        """Write a row if its version is ``based_on``; return the row that the write created.

        A repeat with the same ``change_id`` and ``based_on`` never takes effect twice;
        ``repeated`` says that an earlier attempt may have taken effect.
        """
        write = WriteRow(key, body, based_on, change_id, repeated)
        written = self.write_rows((write,))
        return written.map(lambda rows: rows[0])

    def write_rows(self, writes: tuple[WriteRow, ...]) -> WriteResult:
        """Write several rows together or not at all.

        Raises
        ------
        ValueError
            If there is no write, or if the writes carry different change ids.
        """
        if len({write.change_id for write in writes}) != 1:
            raise ValueError("the writes of one call carry one change id")
        progress = WriteProgress.begin(writes, self._clock.now() + WRITE_BUDGET_S)
        progress, step = self._first_step(progress)
        while not isinstance(step, Finished):
            progress, step = self._take(progress, step)
        for row in step.result.value_or(()):
            self._keep_history(row)
        return step.result

    def close(self) -> None:
        """Close all connections."""
        self._transport.close()

    def _first_step(self, progress: WriteProgress) -> tuple[WriteProgress, Step]:
        """Skip the first read if the changes of each row at its version are known."""
        rows = []
        for write in progress.writes:
            version, changes = self._history_by_key.get(write.key, (-1, ()))
            if version != write.based_on:
                return progress, ReadBack(0.0)
            rows.append(Row(write.key, version, "", "", changes))
        return progress.on_rows(tuple(rows))

    def _take(
        self, progress: WriteProgress, step: ReadBack | SendWrites
    ) -> tuple[WriteProgress, Step]:
        if isinstance(step, SendWrites):
            reply, detail = self._send(step.rows)
            return progress.on_reply(reply, detail, self._clock.now())
        time.sleep(step.delay_s)
        rows = []
        for write in progress.writes:
            read = self.read(write.key)
            if not is_successful(read):
                return progress.on_read_failure(read.failure(), self._clock.now())
            rows.append(read.unwrap().row)
        return progress.on_rows(tuple(rows))

    def _send(self, rows: tuple[Row, ...]) -> tuple[WriteReply, str]:
        if len(rows) == 1:
            operation = "PutItem"
            request = table_codec.encode_put(self._table, rows[0])
        else:
            operation = "TransactWriteItems"
            request = table_codec.encode_transaction(self._table, rows, rows[0].change_id)
        called = self._transport.call("POST", "/", request, table_codec.headers(operation))
        if is_successful(called):
            return table_codec.decode_write(called.unwrap())
        error = called.failure()
        return (WriteReply.LOST if error.sent else WriteReply.NOT_APPLIED), error.detail

    def _get(self, key: str, request: bytes) -> Result[bytes, StoreError]:
        called = self._transport.call("POST", "/", request, table_codec.headers("GetItem"))
        if not is_successful(called):
            return Failure(StoreError(StoreErrorKind.UNAVAILABLE, called.failure().detail))
        reply = called.unwrap()
        if reply.status != 200:
            detail = f"read of {key}: {reply.status} {table_codec.error_type(reply)}"
            return Failure(StoreError(StoreErrorKind.UNAVAILABLE, detail))
        return Success(reply.body)

    def _keep_history(self, row: Row) -> None:
        self._history_by_key[row.key] = (row.version, row.changes)
