"""The task that reads new configurations from the store."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.pipeline import is_successful

from damasktide.catalog.adoption import CatalogSnapshot, OfferConfiguration, Source
from damasktide.catalog.catalog_task import CatalogTask, StoreProblem
from damasktide.catalog.configuration import CONFIGURATION_KEY, decode_configuration
from damasktide.runtime.task import Task, TaskFailed, every, handles
from damasktide.store.asking import StoreAsker, ask_store
from damasktide.store.messages import ReadObject, ReadRow
from damasktide.store.rows import Row

TICK_INTERVAL_S = 1.0

# An instance that is not a reader reads the row only once in this many ticks. It also reads as
# soon as a peer announces a higher version; without an announcement, its delay is at most 5 s.
TICKS_PER_READ = 5


@dataclass(frozen=True, slots=True)
class ReadNow:
    """Requests an immediate read, because a peer has announced a higher version."""


class CatalogPoller(Task):
    """Reads the row periodically and fetches the object of each higher version.

    Readers read every second, the other instances every 5 s, so that the load on the store
    does not grow with the number of instances.

    The poller is a separate task, so that a slow store does not delay offers of peers to the
    :class:`CatalogTask`.

    Parameters
    ----------
    store
        The store task.
    catalog
        The task that decides whether to adopt the configuration that was read.
    is_reader
        Returns whether this instance is one of the readers of its failure domain.
    on_failure
        Called when the task fails.
    """

    def __init__(
        self,
        store: StoreAsker,
        catalog: CatalogTask,
        is_reader: Callable[[], bool] = lambda: True,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("catalog-poller", on_failure)
        self._store = store
        self._catalog = catalog
        self._is_reader = is_reader
        self._ticks = 0

    @every(TICK_INTERVAL_S)
    def _read_if_due(self) -> None:
        is_due = self._ticks % TICKS_PER_READ == 0 or self._catalog.accepted is None
        if is_due or self._is_reader():
            self.read()
        self._ticks += 1

    @handles(ReadNow)
    def _read_now(self, _message: ReadNow) -> None:
        self.read()

    def read(self) -> None:
        """Read the row once and offer a higher version to the catalog task."""
        read = ask_store(self._store, ReadRow(CONFIGURATION_KEY))
        if not is_successful(read):
            self._catalog.tell(StoreProblem(read.failure().detail))
            return
        self._catalog.tell(read.unwrap())
        row, accepted = read.unwrap().row, self._catalog.accepted
        if _needs_offer(row, accepted):
            self._offer(row, accepted)

    def _offer(self, row: Row, accepted: CatalogSnapshot | None) -> None:
        try:
            name = decode_configuration(row.version, row.body).object_name
        except ValueError as error:
            self._catalog.tell(StoreProblem(str(error)))
            return
        if accepted is not None and accepted.configuration.object_name == name:
            object_bytes = accepted.object_bytes
        else:
            fetched = ask_store(self._store, ReadObject(name))
            if not is_successful(fetched):
                detail = f"version {row.version}: {fetched.failure().detail}"
                self._catalog.tell(StoreProblem(detail))
                return
            object_bytes = fetched.unwrap()
        self._catalog.tell(OfferConfiguration(row.version, row.body, object_bytes, Source.STORE))


def _needs_offer(row: Row, accepted: CatalogSnapshot | None) -> bool:
    if accepted is None:
        return row.version > 0
    if row.version == accepted.version:
        return accepted.source is Source.PEERS and row.body == accepted.row_body
    return row.version > accepted.version
