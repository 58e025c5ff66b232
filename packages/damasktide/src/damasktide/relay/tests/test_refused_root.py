"""Two instances that follow the store through each other, with real followers and no network."""

import unittest
from collections.abc import Sequence

import gevent
from gevent.event import Event

from damasktide.relay.messages import ChangesReply, ChangesRequest
from damasktide.relay.relayed_store import RelayedStore
from damasktide.relay.server import ChangesServer
from damasktide.relay.sources import RelaySource, RelaySourceSelector
from damasktide.relay.table_sources import TableSources
from damasktide.relay.tree import RelayPeer, relay_order
from damasktide.rows.follower import (
    BUSY_POLL_SCHEDULE,
    QUIET_POLL_SCHEDULE,
    PollSchedule,
    TableFollower,
)
from damasktide.rows.store import (
    Changes,
    ExpectedRow,
    Row,
    RowWrite,
    StoreUnavailableError,
    TableState,
)
from damasktide.runtime.clock import LeaseClock
from damasktide.runtime.task import Stop

SCHEDULE_BY_TABLE = {
    "quiet": QUIET_POLL_SCHEDULE,
    "often-polled": PollSchedule(gap_s=0.25, wait_s=1.0),
    "busy": BUSY_POLL_SCHEDULE,
}
ORDER = relay_order(RelayPeer(f"i{n}", ("10.0.0.1", n), 100.0) for n in range(2))
# Time in which a change has to be known to an instance that the store serves.
APPLY_S = 2.5


class SharedStore:
    """The store: one row in each table, and the instances that it refuses."""

    def __init__(self) -> None:
        self.refused_names: set[str] = set()
        self.version = 1
        self._row_by_key = {table: Row("row", b"1", 1) for table in SCHEDULE_BY_TABLE}
        self._changed = Event()

    def put(self, table: str) -> None:
        self.version += 1
        self._row_by_key[table] = Row("row", b"%d" % self.version, self.version)
        changed, self._changed = self._changed, Event()
        changed.set()

    def rows(self, table: str, after: int) -> tuple[Row, ...]:
        row = self._row_by_key[table]
        return (row,) if row.version > after else ()

    def wait(self, wait_s: float) -> None:
        self._changed.wait(wait_s)


class StoreClient:
    """Client of one instance."""

    def __init__(self, store: SharedStore, name: str) -> None:
        self._store = store
        self._name = name

    def read_table(self, table: str) -> TableState:
        self._check()
        return TableState(self._store.rows(table, 0), self._store.version)

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        self._check()
        with gevent.Timeout(wait_s, False):
            while not self._store.rows(table, after):
                self._store.wait(wait_s)
                self._check()
        return Changes(self._store.rows(table, after), self._store.version)

    def interrupt(self) -> None:
        """Do nothing, because no call outlasts a refusal by more than a change."""

    def round_trip_s(self) -> float | None:
        return 0.001

    def write(self, writes: Sequence[RowWrite], expected: Sequence[ExpectedRow] = ()) -> int:
        raise AssertionError("the followers write nothing")

    def _check(self) -> None:
        if self._name in self._store.refused_names:
            raise StoreUnavailableError("refused")


class Instance:
    """Follows all tables and relays them to the other instance; also the links to it."""

    def __init__(self, store: SharedStore, name: str) -> None:
        self.name = name
        self.others: dict[str, Instance] = {}
        self.sources = RelaySourceSelector(name)
        self.sources.set_order(ORDER)
        table_sources = TableSources()
        self.follower_by_table = {
            table: TableFollower(
                RelayedStore(StoreClient(store, name), self, table_sources),  # type: ignore[arg-type]
                table,
                lambda message: None,
                schedule,
            )
            for table, schedule in SCHEDULE_BY_TABLE.items()
        }
        snapshots = {table: one.snapshot for table, one in self.follower_by_table.items()}
        self.server = ChangesServer(snapshots, table_sources, LeaseClock())

    def follow(self, source: RelaySource) -> None:
        """Do nothing, because neither of the two instances has a choice of sources."""

    def request_changes(self, source: RelaySource, request: ChangesRequest) -> ChangesReply:
        gevent.sleep(0.001)
        return self.others[source.peer.name].server.reply_to(request)

    def value(self, table: str) -> bytes:
        snapshot = self.follower_by_table[table].snapshot.value
        return snapshot.rows[0].value if snapshot is not None else b""


class TestRefusedRoot(unittest.TestCase):
    """The store refuses the root, which then reads from the second instance, its own child."""

    def setUp(self) -> None:
        self.store = SharedStore()
        self.root, self.second = (Instance(self.store, peer.name) for peer in ORDER)
        for instance in (self.root, self.second):
            instance.others = {self.root.name: self.root, self.second.name: self.second}
            for follower in instance.follower_by_table.values():
                follower.start()
                self.addCleanup(follower.tell, Stop())

    def test_changes_of_all_tables_reach_both(self) -> None:
        """Guards against a change that neither learns, because each waits for the other."""
        gevent.sleep(1.0)
        self.store.refused_names.add(self.root.name)
        gevent.sleep(3.0)
        for table in (*SCHEDULE_BY_TABLE, *SCHEDULE_BY_TABLE):
            self.store.put(table)
            expected = b"%d" % self.store.version
            missed = AssertionError(f"a change of the table {table} was not known in time")
            with gevent.Timeout(APPLY_S, missed):
                while {self.root.value(table), self.second.value(table)} != {expected}:
                    gevent.sleep(0.02)
            gevent.sleep(0.5)
