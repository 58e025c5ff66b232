"""Writes the maps, the leader's row and registrations; owns its connection to the store."""

from collections.abc import Callable
from dataclasses import replace
from secrets import token_bytes

from loguru import logger

from damasktide.keyspace.codec import encode_instance, encode_leader, encode_map
from damasktide.keyspace.leadership import LeaderRecord
from damasktide.keyspace.messages import (
    LeaderWritten,
    MapWritten,
    RegisterInstance,
    WriteLeader,
    WriteLinkKey,
    WriteMap,
    WriteResult,
)
from damasktide.keyspace.table import (
    LEADER_KEY,
    LEADER_TABLE,
    LINK_KEY,
    TABLE,
    InstanceRecord,
    instance_key,
    map_key,
)
from damasktide.rows.store import (
    ConditionFailedError,
    ExpectedRow,
    RowStore,
    RowWrite,
    StoreUnavailableError,
)
from damasktide.runtime.clock import LeaseClock
from damasktide.runtime.task import Task, handles

# Pause after a failed write of this instance's row.
REGISTER_RETRY_S = 0.5
LINK_KEY_BYTES = 32


class StoreWriter(Task):
    """Executes writes one at a time in its own task, so that a slow store does not delay grants.

    Parameters
    ----------
    store
        Client that only this task uses.
    instance
        This instance.
    notify
        Receives :class:`MapWritten` and :class:`LeaderWritten`.
    """

    def __init__(
        self,
        store: RowStore,
        instance: InstanceRecord,
        notify: Callable[[MapWritten | LeaderWritten], None],
    ) -> None:
        super().__init__("store-writer")
        self._store = store
        self._instance = instance
        self._notify = notify
        self._clock = LeaseClock()

    @handles(WriteMap)
    def _write_map(self, write: WriteMap) -> None:
        key_map = write.key_map
        key = map_key(key_map.service)
        expected: tuple[ExpectedRow, ...] = (ExpectedRow(TABLE, key, key_map.version),)
        if write.leader_version is not None:
            expected += (ExpectedRow(LEADER_TABLE, LEADER_KEY, write.leader_version),)
        result, version = self._write(RowWrite(TABLE, key, encode_map(key_map)), expected)
        self._notify(MapWritten(write, result, version))

    @handles(WriteLeader)
    def _write_leader(self, write: WriteLeader) -> None:
        requested_at = self._clock.now()
        record = LeaderRecord(
            earlier_renewals_s=write.earlier_renewals_s,
            era=write.era,
            lost_renewals_s=write.lost_renewals_s,
        )
        if not write.resigns:
            record = replace(record, instance=self._instance.name, boot=self._instance.boot)
        row = RowWrite(LEADER_TABLE, LEADER_KEY, encode_leader(record))
        result, version = self._write(row, (ExpectedRow(LEADER_TABLE, LEADER_KEY, write.version),))
        self._notify(LeaderWritten(write, result, requested_at, version))

    @handles(RegisterInstance)
    def _register(self, message: RegisterInstance) -> None:
        key = instance_key(self._instance.name)
        if message.is_leaving:
            self._write(RowWrite(TABLE, key, None), ())
            return
        record = replace(self._instance, store_round_trip_s=self._store.round_trip_s())
        row = RowWrite(TABLE, key, encode_instance(record))
        result = WriteResult.CONFLICT
        if message.provides_link_key:
            result, _ = self._write(_new_link_key(), (ExpectedRow(TABLE, LINK_KEY, 0),), row)
        if result is WriteResult.CONFLICT:
            result, _ = self._write(row, ())
        if result is not WriteResult.WRITTEN:
            self.tell_later(message, REGISTER_RETRY_S)

    @handles(WriteLinkKey)
    def _write_link_key(self, message: WriteLinkKey) -> None:
        row = RowWrite(TABLE, LINK_KEY, message.key) if message.key else _new_link_key()
        self._write(row, (ExpectedRow(TABLE, LINK_KEY, message.version),))

    def _write(
        self, row: RowWrite, expected: tuple[ExpectedRow, ...], *others: RowWrite
    ) -> tuple[WriteResult, int]:
        """Write ``row`` and ``others`` in one transaction, on condition of ``expected``."""
        try:
            return WriteResult.WRITTEN, self._store.write((row, *others), expected)
        except ConditionFailedError:
            logger.bind(row=row.key).info("write rejected: another instance wrote first")
            return WriteResult.CONFLICT, 0
        except StoreUnavailableError as error:
            logger.bind(row=row.key, detail=str(error)).warning("write to the store failed")
            return WriteResult.UNKNOWN, 0


def _new_link_key() -> RowWrite:
    return RowWrite(TABLE, LINK_KEY, token_bytes(LINK_KEY_BYTES))
