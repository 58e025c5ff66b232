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
    WriteResponse,
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

# Together with the timeout of the last call (1 s) this stays below the 5 s that
# :meth:`damasktide.runtime.task.Task.ask` waits by default.
WRITE_BUDGET_S = 3.5


class TableClient:
    """Reads rows consistently and writes them conditionally on their version.

    Parameters
    ----------
    endpoints
        Addresses of the store.
    clock
        Clock for ``requested_at`` and for the duration of writes; the system's monotonic clock
        if None.
    """

    def __init__(self, endpoints: StoreEndpoints, clock: Clock | None = None) -> None:
        self._table = endpoints.table
        self._transport = HttpTransport(endpoints.table_url, endpoints.timeout_s)
        self._clock = clock or MonotonicClock()
        self._history_by_key: dict[str, tuple[int, tuple[AppliedChange, ...]]] = {}

    def read(self, key: str) -> Result[RowRead, StoreError]:
        """Read a row; an absent one has version 0."""
        requested_at = self._clock.now()
        result = self._get(key, table_codec.encode_get(self._table, key))
        if not is_successful(result):
            return Failure(result.failure())
        try:
            row = table_codec.decode_row(key, result.unwrap())
        except ValueError as error:
            return Failure(StoreError(StoreErrorKind.CORRUPT, str(error)))
        self._cache_history(row)
        return Success(RowRead(row, requested_at))

    def read_version(self, key: str) -> Result[VersionRead, StoreError]:
        """Read only the version of a row; an absent one has version 0."""
        requested_at = self._clock.now()
        result = self._get(key, table_codec.encode_get_version(self._table, key))
        if not is_successful(result):
            return Failure(result.failure())
        try:
            version = table_codec.decode_version(key, result.unwrap())
        except ValueError as error:
            return Failure(StoreError(StoreErrorKind.CORRUPT, str(error)))
        return Success(VersionRead(version, requested_at))

    def write(
        self, key: str, body: str, based_on: int, change_id: str, repeated: bool = False
    ) -> Result[Row, StoreError]:
        """Write a row if its version is ``based_on``; return the row that the write created.

        A repeat with the same ``change_id`` and ``based_on`` never takes effect twice;
        ``repeated`` states that an earlier attempt may have taken effect.
        """
        write = WriteRow(key, body, based_on, change_id, repeated)
        result = self.write_rows((write,))
        return result.map(lambda rows: rows[0])

    def write_rows(self, writes: tuple[WriteRow, ...]) -> WriteResult:
        """Write all of the rows atomically.

        Raises
        ------
        ValueError
            If there are no writes, or if they have different change ids.
        """
        if len({write.change_id for write in writes}) != 1:
            raise ValueError("all writes of one call must have the same change id")
        progress = WriteProgress.begin(writes, self._clock.now() + WRITE_BUDGET_S)
        progress, step = self._first_step(progress)
        while not isinstance(step, Finished):
            progress, step = self._perform_step(progress, step)
        for row in step.result.value_or(()):
            self._cache_history(row)
        return step.result

    def close(self) -> None:
        """Close all connections."""
        self._transport.close()

    def _first_step(self, progress: WriteProgress) -> tuple[WriteProgress, Step]:
        """Skip the first read if the change history of each row at its version is cached."""
        rows = []
        for write in progress.writes:
            version, changes = self._history_by_key.get(write.key, (-1, ()))
            if version != write.based_on:
                return progress, ReadBack(0.0)
            rows.append(Row(write.key, version, "", "", changes))
        return progress.on_rows(tuple(rows))

    def _perform_step(
        self, progress: WriteProgress, step: ReadBack | SendWrites
    ) -> tuple[WriteProgress, Step]:
        if isinstance(step, SendWrites):
            response, detail = self._send(step.rows)
            return progress.on_response(response, detail, self._clock.now())
        time.sleep(step.delay_s)
        rows = []
        for write in progress.writes:
            result = self.read(write.key)
            if not is_successful(result):
                return progress.on_read_failure(result.failure(), self._clock.now())
            rows.append(result.unwrap().row)
        return progress.on_rows(tuple(rows))

    def _send(self, rows: tuple[Row, ...]) -> tuple[WriteResponse, str]:
        if len(rows) == 1:
            operation = "PutItem"
            request = table_codec.encode_put(self._table, rows[0])
        else:
            operation = "TransactWriteItems"
            request = table_codec.encode_transaction(self._table, rows, rows[0].change_id)
        result = self._transport.call("POST", "/", request, table_codec.headers(operation))
        if is_successful(result):
            return table_codec.decode_write(result.unwrap())
        error = result.failure()
        return (
            WriteResponse.LOST if error.may_have_been_sent else WriteResponse.NOT_APPLIED
        ), error.detail

    def _get(self, key: str, request: bytes) -> Result[bytes, StoreError]:
        result = self._transport.call("POST", "/", request, table_codec.headers("GetItem"))
        if not is_successful(result):
            return Failure(StoreError(StoreErrorKind.UNAVAILABLE, result.failure().detail))
        response = result.unwrap()
        if response.status != 200:
            detail = f"read of {key}: {response.status} {table_codec.error_type(response)}"
            return Failure(StoreError(StoreErrorKind.UNAVAILABLE, detail))
        return Success(response.body)

    def _cache_history(self, row: Row) -> None:
        self._history_by_key[row.key] = (row.version, row.changes)
