"""Task that follows the operators' configuration."""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from damasktide.routing.configuration import RoutingConfiguration
from damasktide.routing.route_table import RouteTable
from damasktide.rows.follower import TableChanged, TableFollower, TableRead
from damasktide.rows.store import Row, RowStore
from damasktide.runtime.published import Published
from damasktide.runtime.task import Task, TaskFailed, handles


class MalformedRecordError(ValueError):
    """A row of the operators that cannot be read."""


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's request that the targets of a failure domain get nothing."""

    domain: str


ConfigurationRecord = RoutingConfiguration | Evacuation | None
RecordDecoder = Callable[[Row], ConfigurationRecord]


@dataclass(frozen=True, slots=True)
class RoutingActivated:
    """The configuration in force.

    Attributes
    ----------
    configuration
        The configuration.
    table
        Its routes, ready for look-ups.
    """

    configuration: RoutingConfiguration
    table: RouteTable


class RoutingTask(Task):
    """Owns the configuration in force and publishes it.

    A version never gives way to a lower one in the life of the process, also when the store
    answers with older rows after an outage.

    Parameters
    ----------
    store
        Client that only the follower of this task uses.
    table
        Table of the operators.
    decode
        Reads a row; the value of a dropped row is empty. Raises :class:`MalformedRecordError`.
    on_configuration, on_evacuated
        Called with each new configuration and each new set of evacuated failure domains.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        decode: RecordDecoder,
        on_configuration: Callable[[RoutingConfiguration], None],
        on_evacuated: Callable[[frozenset[str]], None],
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("routing", on_failure)
        self.in_force: Published[RoutingActivated | None] = Published(None)
        self._decode = decode
        self._on_configuration = on_configuration
        self._on_evacuated = on_evacuated
        self._follower = TableFollower(store, table, self.tell)
        self._version_by_key: dict[str, int] = {}
        self._domain_by_key: dict[str, str] = {}

    def on_start(self) -> None:
        """Follow the table."""
        self._follower.start()

    @property
    def follower(self) -> TableFollower:
        """The follower of the operators' table."""
        return self._follower

    def store_unavailable(self) -> None:
        """Ask the store anew, because another call to it has found it gone."""
        self._follower.interrupt()

    @handles(TableRead)
    def _table_read(self, message: TableRead) -> None:
        state = message.state
        self._take_rows(state.rows)
        listed = {row.key for row in state.rows}
        for key in set(self._domain_by_key) - listed:
            if self._version_by_key[key] < state.version:
                self._take_rows((Row(key, b"", state.version, is_dropped=True),))

    @handles(TableChanged)
    def _table_changed(self, message: TableChanged) -> None:
        self._take_rows(message.changes.rows)

    def _take_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.version <= self._version_by_key.get(row.key, 0):
                continue
            self._version_by_key[row.key] = row.version
            try:
                statement = self._decode(row)
            except MalformedRecordError as error:
                logger.bind(row=row.key, version=row.version).warning("row left out: {}", error)
                continue
            if isinstance(statement, RoutingConfiguration) and not row.is_dropped:
                self._adopt(statement, row.version)
            elif isinstance(statement, Evacuation):
                self._evacuate(row, statement)

    def _adopt(self, configuration: RoutingConfiguration, row_version: int) -> None:
        known = self.in_force.value
        if known is not None and configuration.version <= known.configuration.version:
            return
        self.in_force.publish(RoutingActivated(configuration, RouteTable(configuration.routes)))
        logger.bind(
            version=configuration.version,
            row_version=row_version,
            routes=len(configuration.routes),
        ).info("configuration in force")
        self._on_configuration(configuration)

    def _evacuate(self, row: Row, evacuation: Evacuation) -> None:
        if row.is_dropped:
            self._domain_by_key.pop(row.key, None)
        else:
            self._domain_by_key[row.key] = evacuation.domain
        self._on_evacuated(frozenset(self._domain_by_key.values()))
