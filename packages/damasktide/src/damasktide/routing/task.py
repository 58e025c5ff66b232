"""Task that follows the operators' configuration."""

from collections.abc import Callable, Mapping
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
from damasktide.rows.store import Row, RowStore, era_of, number_of
from damasktide.runtime.clock import LeaseClock
from damasktide.runtime.published import Published
from damasktide.runtime.task import OnError, Task, TaskFailed, handles

# Time for which an evacuation that is missing from a restored store stays in force. Operators
# write it again within this time.
EVACUATION_GRACE_S = 10.0


class MalformedRecordError(ValueError):
    """A row of the operators' table that cannot be decoded."""


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's request that the targets of a failure domain get no requests."""

    domain: str


ConfigurationRecord = RoutingConfiguration | Evacuation | None
RecordDecoder = Callable[[Row], ConfigurationRecord]


@dataclass(frozen=True, slots=True)
class _EvacuationGraceEnded:
    """An evacuation has been missing for the grace period.

    Attributes
    ----------
    key
        Key of its row.
    state_version
        Version of the restored table that lacked it.
    """

    key: str
    state_version: int


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
    older rows after an outage. An evacuation that a restored store lacks stays in force for
    :data:`EVACUATION_GRACE_S`; one that was withdrawn before the restore stays withdrawn.

    Parameters
    ----------
    store
        Client of the store; only the follower of this task uses it.
    table
        Name of the operators' table.
    decode
        Decodes a row; the value of a dropped row is empty. Raises :class:`MalformedRecordError`.
    on_configuration
        Called with each new configuration.
    on_evacuated
        Called with each new set of evacuated failure domains, and with the version of the store
        at the end of the latest evacuation of each failure domain.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        decode: RecordDecoder,
        on_configuration: Callable[[RoutingConfiguration], None],
        on_evacuated: Callable[[frozenset[str], Mapping[str, int]], None],
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
        self._ended_at_version_by_domain: dict[str, int] = {}
        # Number of the row that was withdrawn; a restore may bring the same row back.
        self._withdrawn_number_by_key: dict[str, int] = {}
        # Version of the restored table since which a missing evacuation is kept.
        self._kept_since_by_key: dict[str, int] = {}

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
            known_version = self._version_by_key[key]
            if key in self._kept_since_by_key:
                continue
            if era_of(known_version) < era_of(state.version):
                self._keep_evacuation(key, state.version)
            elif known_version < state.version:
                dropped = Row(key, b"", state.version, is_dropped=True)
                self._apply_rows((dropped,), message)

    @handles(_EvacuationGraceEnded)
    def _evacuation_grace_ended(self, message: _EvacuationGraceEnded) -> None:
        key = message.key
        if self._kept_since_by_key.get(key) != message.state_version:
            return
        logger.bind(row=key).info("evacuation ended: it was not written again")
        del self._kept_since_by_key[key]
        domain = self._evacuated_domain_by_key.pop(key, None)
        if domain is not None:
            self._ended_at_version_by_domain[domain] = message.state_version
        self._publish_evacuated()

    @handles(TableChanged, OnError.DROP_MESSAGE)
    def _table_changed(self, message: TableChanged) -> None:
        self._apply_rows(message.rows, message)

    def _keep_evacuation(self, key: str, state_version: int) -> None:
        """Keep an evacuation that a restored table lacks until operators have written it again."""
        logger.bind(row=key, version=state_version).info("missing evacuation kept after a restore")
        self._kept_since_by_key[key] = state_version
        self.tell_later(_EvacuationGraceEnded(key, state_version), EVACUATION_GRACE_S)

    def _is_withdrawn(self, row: Row, known_version: int, message: FollowerMessage) -> bool:
        """Return whether a restored row is one that was dropped before the restore.

        Rows of the copy keep their numbers, and rows written since are mostly read as changes.
        """
        return (
            isinstance(message, TableRead)
            and era_of(row.version) > era_of(known_version)
            and self._withdrawn_number_by_key.get(row.key) == number_of(row.version)
        )

    def _apply_rows(self, rows: tuple[Row, ...], message: FollowerMessage) -> None:
        for row in rows:
            known_version = self._version_by_key.get(row.key, 0)
            if row.version <= known_version:
                continue
            self._version_by_key[row.key] = row.version
            if self._is_withdrawn(row, known_version, message):
                logger.bind(row=row.key, version=row.version).info(
                    "ignoring a restored row that was withdrawn"
                )
                continue
            self._kept_since_by_key.pop(row.key, None)
            if row.is_dropped and row.key in self._evacuated_domain_by_key:
                self._withdrawn_number_by_key[row.key] = number_of(known_version)
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
            self._ended_at_version_by_domain[evacuation.domain] = row.version
        else:
            self._evacuated_domain_by_key[row.key] = evacuation.domain
        self._publish_evacuated()

    def _publish_evacuated(self) -> None:
        self._on_evacuated(
            frozenset(self._evacuated_domain_by_key.values()),
            dict(self._ended_at_version_by_domain),
        )
