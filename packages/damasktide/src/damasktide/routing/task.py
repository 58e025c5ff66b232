"""Task that follows the operators' configuration."""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from damasktide.routing.configuration import RoutingConfiguration
from damasktide.routing.route_table import RouteTable
from damasktide.rows.follower import (
    FollowerMessage,
    TableChanged,
    TableFollower,
    TableRead,
    provenance,
)
from damasktide.rows.store import Row, RowStore
from damasktide.runtime.clock import LeaseClock
from damasktide.runtime.published import Published
from damasktide.runtime.task import OnError, Task, TaskFailed, handles


class MalformedRecordError(ValueError):
    """A row of the operators' table that cannot be decoded."""


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's request that the targets of a failure domain get no requests."""

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
        Lookup table of its routes.
    """

    configuration: RoutingConfiguration
    table: RouteTable


class RoutingTask(Task):
    """Owns the configuration in force and publishes it.

    A version is never replaced by a lower one while the process runs, even if the store returns
    older rows after an outage.

    Parameters
    ----------
    store
        Client of the store; only the follower of this task uses it.
    table
        Name of the operators' table.
    decode
        Decodes a row; the value of a dropped row is empty. Raises :class:`MalformedRecordError`.
    on_configuration, on_evacuated
        Called with each new configuration and with each new set of evacuated failure domains.
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
        self._clock = LeaseClock()
        self._version_by_key: dict[str, int] = {}
        self._evacuated_domain_by_key: dict[str, str] = {}

    def on_start(self) -> None:
        """Follow the table."""
        self._follower.start()

    @property
    def follower(self) -> TableFollower:
        """The follower of the operators' table."""
        return self._follower

    def store_unavailable(self) -> None:
        """Interrupt the pending call, because another call has found the store unavailable."""
        self._follower.interrupt()

    @handles(TableRead, OnError.DROP_MESSAGE)
    def _table_read(self, message: TableRead) -> None:
        state = message.state
        self._apply_rows(state.rows, message)
        listed = {row.key for row in state.rows}
        for key in set(self._evacuated_domain_by_key) - listed:
            if self._version_by_key[key] < state.version:
                dropped = Row(key, b"", state.version, is_dropped=True)
                self._apply_rows((dropped,), message)

    @handles(TableChanged, OnError.DROP_MESSAGE)
    def _table_changed(self, message: TableChanged) -> None:
        self._apply_rows(message.rows, message)

    def _apply_rows(self, rows: tuple[Row, ...], message: FollowerMessage) -> None:
        for row in rows:
            if row.version <= self._version_by_key.get(row.key, 0):
                continue
            self._version_by_key[row.key] = row.version
            try:
                record = self._decode(row)
            except MalformedRecordError as error:
                logger.bind(row=row.key, version=row.version).warning(
                    "ignoring a malformed row: {}", error
                )
                continue
            except Exception:
                # One row that the decoder did not foresee must not hide the others.
                logger.bind(row=row.key, version=row.version).exception(
                    "ignoring a row that cannot be decoded"
                )
                continue
            if isinstance(record, RoutingConfiguration) and not row.is_dropped:
                self._activate(record, row.version, message)
            elif isinstance(record, Evacuation):
                self._evacuate(row, record)

    def _activate(
        self, configuration: RoutingConfiguration, row_version: int, message: FollowerMessage
    ) -> None:
        current = self.in_force.value
        if current is not None and configuration.version <= current.configuration.version:
            return
        table = RouteTable(configuration.routes, configuration.organisations)
        self.in_force.publish(RoutingActivated(configuration, table))
        logger.bind(
            version=configuration.version,
            row_version=row_version,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations),
            **provenance(message, self._clock.now()),
        ).info("configuration in force")
        self._on_configuration(configuration)

    def _evacuate(self, row: Row, evacuation: Evacuation) -> None:
        if row.is_dropped:
            self._evacuated_domain_by_key.pop(row.key, None)
        else:
            self._evacuated_domain_by_key[row.key] = evacuation.domain
        self._on_evacuated(frozenset(self._evacuated_domain_by_key.values()))
