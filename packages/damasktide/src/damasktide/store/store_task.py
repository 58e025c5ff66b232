"""The task that owns the connections to the store."""

from collections.abc import Callable

from returns.result import Result

from damasktide.runtime.clock import Clock
from damasktide.runtime.task import Task, TaskFailed, handles
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.messages import ReadObject, ReadRow, ReadVersion, WriteObject, WriteRows
from damasktide.store.object_client import ObjectClient
from damasktide.store.readback import WriteResult
from damasktide.store.rows import Row, RowRead, StoreError, VersionRead, WriteRow
from damasktide.store.table_client import TableClient


class StoreTask(Task):
    """Runs calls to the store one at a time.

    A slow call delays those queued behind it, so a component that reads at a short interval
    uses a StoreTask of its own.

    Parameters
    ----------
    endpoints
        Addresses of the store.
    name
        Name used in logs.
    clock
        Clock for ``requested_at`` and for the duration of writes; the system's monotonic clock
        if None.
    on_failure
        Called when the task ends with an error.
    """

    def __init__(
        self,
        endpoints: StoreEndpoints,
        name: str = "store",
        clock: Clock | None = None,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__(name, on_failure)
        self._table = TableClient(endpoints, clock)
        self._objects = ObjectClient(endpoints)

    @handles(ReadRow)
    def _read_row(self, message: ReadRow) -> Result[RowRead, StoreError]:
        return self._table.read(message.key)

    @handles(ReadVersion)
    def _read_version(self, message: ReadVersion) -> Result[VersionRead, StoreError]:
        return self._table.read_version(message.key)

    @handles(WriteRow)
    def _write_row(self, message: WriteRow) -> Result[Row, StoreError]:
        return self._table.write_rows((message,)).map(lambda rows: rows[0])

    @handles(WriteRows)
    def _write_rows(self, message: WriteRows) -> WriteResult:
        return self._table.write_rows(message.writes)

    @handles(ReadObject)
    def _read_object(self, message: ReadObject) -> Result[bytes, StoreError]:
        return self._objects.get(message.name)

    @handles(WriteObject)
    def _write_object(self, message: WriteObject) -> Result[str, StoreError]:
        return self._objects.put(message.name, message.data)

    def on_stop(self) -> None:
        """Close all connections."""
        self._table.close()
        self._objects.close()
