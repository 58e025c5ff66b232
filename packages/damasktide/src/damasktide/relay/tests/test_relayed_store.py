"""Changes relayed by another instance: staleness, outages and lost peers, without a network."""

import unittest
import zlib
from collections.abc import Sequence
from dataclasses import replace
from time import monotonic

import gevent

from damasktide.relay.codec import (
    _SCHEMA,
    MalformedChangesError,
    decode_changes_reply,
    decode_changes_request,
    encode_changes_reply,
    encode_changes_request,
)
from damasktide.relay.messages import (
    CHANGES_FORGOTTEN,
    ChangesRefused,
    ChangesReply,
    ChangesRequest,
    RelayedChanges,
)
from damasktide.relay.relayed_store import MAX_DEFERRED_WAIT_S, RelayedStore
from damasktide.relay.server import ChangesServer
from damasktide.relay.sources import (
    MAX_AGE_S,
    NON_ROOT_STORE_RETRY_S,
    RelaySource,
    RelaySourceSelector,
)
from damasktide.relay.table_sources import STORE, TableSources
from damasktide.relay.tree import RelayPeer, Upstream, relay_order
from damasktide.rows.snapshot import TableSnapshot, value_fingerprint
from damasktide.rows.store import (
    Changes,
    ExpectedRow,
    HistoryLostError,
    Row,
    RowWrite,
    StoreUnavailableError,
    TableState,
    version_of,
)
from damasktide.runtime.clock import LeaseClock, ManualClock
from damasktide.runtime.published import Published

TABLE = "op"
BUSY_TABLE = "servers"
HIGHEST_VERSION = (1 << 64) - 1
ORDER = relay_order(RelayPeer(f"i{n}", ("10.0.0.1", n), 100.0) for n in range(6))
# Time left for an instance without fresh data to call the store. A change must be known within
# 2.5 s, relayed data has reached the maximum age when it is refused, and the response of the store
# takes up to 0.4 s.
FALLBACK_LIMIT_S = 2.5 - MAX_AGE_S - 0.4
ROOT, LAST = ORDER[0].name, ORDER[5].name


class FakeStore:
    """A store that counts its calls and can be made unavailable."""

    def __init__(self) -> None:
        self.calls = 0
        self.waits_s: list[float] = []
        self.is_down = False

    def read_table(self, table: str) -> TableState:
        self._call()
        return TableState((), 1)

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        self._call()
        self.waits_s.append(wait_s)
        return Changes((), after)

    def interrupt(self) -> None:
        raise AssertionError("no call waits")

    def round_trip_s(self) -> float | None:
        return 0.001

    def write(self, writes: Sequence[RowWrite], expected: Sequence[ExpectedRow] = ()) -> int:
        self._call()
        return 1

    def _call(self) -> None:
        self.calls += 1
        if self.is_down:
            raise StoreUnavailableError("down")


class FakeExchange:
    """Returns a prepared reply instead of calling another instance."""

    def __init__(self, name: str, reply: ChangesReply) -> None:
        self.sources = RelaySourceSelector(name)
        self.sources.set_order(ORDER)
        self.reply = reply
        self.reply_by_peer: dict[str, ChangesReply] = {}
        # Replies to requests for changes of one table, complete reads excluded.
        self.reply_by_table: dict[str, ChangesReply] = {}
        self.requested_peers: list[str] = []

    def follow(self, source: RelaySource) -> None:
        """Do nothing, because no call waits."""

    def request_changes(self, source: RelaySource, request: ChangesRequest) -> ChangesReply:
        self.requested_peers.append(source.peer.name)
        if not request.is_full_read and request.table in self.reply_by_table:
            return self.reply_by_table[request.table]
        return self.reply_by_peer.get(source.peer.name, self.reply)


def changes(version: int = 9) -> RelayedChanges:
    return RelayedChanges((Row("config", b"new", version),), version, 0.4)


class TestRelayedStore(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()

    def client(self, name: str, reply: ChangesReply) -> tuple[RelayedStore, FakeExchange]:
        exchange = FakeExchange(name, reply)
        client = RelayedStore(self.store, exchange, TableSources())  # type: ignore[arg-type]
        return client, exchange

    def test_store_is_not_called_if_another_instance_has_changes(self) -> None:
        client, _ = self.client(LAST, changes())
        result = client.wait_for_changes(TABLE, 5, 1.0)
        self.assertEqual((result.version, result.relayed_age_s), (9, 0.4))
        self.assertEqual(self.store.calls, 0)

    def test_store_is_called_if_no_other_instance_has_fresh_data(self) -> None:
        """Guards against an instance that stays outdated because its sources are isolated."""
        for name in (LAST, ORDER[1].name):
            self.store.calls = 0
            client, _ = self.client(name, ChangesRefused("no fresh answer of the store"))
            started_at = monotonic()
            self.assertIsNone(client.wait_for_changes(TABLE, 5, 1.0).relayed_age_s)
            self.assertEqual(self.store.calls, 1)
            self.assertLess(monotonic() - started_at, FALLBACK_LIMIT_S)

    def test_calls_are_limited_during_an_outage(self) -> None:
        """Guards against every follower of every instance calling a store that is down."""
        self.store.is_down = True
        client, _ = self.client(LAST, ChangesRefused("no fresh answer of the store"))
        started_at = monotonic()
        for _ in range(5):
            with self.assertRaises(StoreUnavailableError):
                client.wait_for_changes(TABLE, 5, 1.0)
        elapsed_s = monotonic() - started_at
        self.assertLessEqual(self.store.calls, 1 + elapsed_s / NON_ROOT_STORE_RETRY_S)

    def test_root_without_store_reads_from_another_instance(self) -> None:
        self.store.is_down = True
        client, exchange = self.client(ROOT, changes())
        self.assertEqual(client.wait_for_changes(TABLE, 5, 1.0).version, 9)
        self.assertEqual(exchange.requested_peers, [ORDER[1].name])

    def test_isolated_source_does_not_count_as_a_store_outage(self) -> None:
        """Guards against keeping targets that left, as is done during an outage of the store."""
        client, exchange = self.client(LAST, changes())
        client.wait_for_changes(TABLE, 5, 1.0)
        exchange.reply = ChangesRefused("no fresh answer of the store")
        client.wait_for_changes(TABLE, 9, 1.0)
        exchange.reply = changes(12)
        self.assertEqual(client.wait_for_changes(TABLE, 9, 1.0).version, 12)

    def test_wait_at_the_store_is_short_for_an_instance_with_a_source(self) -> None:
        """Guards against every machine of a region fetching a large change from the store."""
        second = ORDER[1].name
        for name, longest_s in (
            (LAST, MAX_DEFERRED_WAIT_S),
            (second, MAX_DEFERRED_WAIT_S),
            (ROOT, 4.0),
        ):
            self.store.waits_s.clear()
            client, _ = self.client(name, ChangesRefused("no fresh answer of the store"))
            client.wait_for_changes(TABLE, 5, 4.0)
            self.assertEqual(self.store.waits_s, [longest_s])


class TestStoreRefusesOneMachine(unittest.TestCase):
    """The store refuses the root, whose fallback has just started and knows no earlier changes.

    The instances below the root acted on an old configuration for up to 7.5 s, because the root
    got the list of targets from its fallback and relayed the unchanged configuration as fresh.
    """

    def setUp(self) -> None:
        store = FakeStore()
        store.is_down = True
        self.table_sources = TableSources()
        self.exchange = FakeExchange(ROOT, changes())
        self.exchange.reply_by_table[TABLE] = ChangesRefused(CHANGES_FORGOTTEN)
        self.client = RelayedStore(
            store,
            self.exchange,  # type: ignore[arg-type]
            self.table_sources,
        )
        now = LeaseClock().now()
        self.table_sources.record_store_reply(TABLE, now - 3.0)
        self.table_sources.record_store_reply(BUSY_TABLE, now - 3.0)

    def test_table_that_the_fallback_declines_is_not_relayed_as_fresh(self) -> None:
        state = TableState((Row("config", b"old", 4),), 6)
        snapshot = TableSnapshot.of(state, LeaseClock().now() - 3.0, value_fingerprint)
        server = ChangesServer({TABLE: Published(snapshot)}, self.table_sources, LeaseClock())
        with self.assertRaises(HistoryLostError):
            self.client.wait_for_changes(TABLE, 6, 0.0)
        self.client.wait_for_changes(BUSY_TABLE, 6, 0.0)
        reply = server.reply_to(ChangesRequest(TABLE, 6, 0.0, MAX_AGE_S))
        self.assertIsInstance(reply, ChangesRefused)

    def test_table_is_read_from_the_fallback(self) -> None:
        with self.assertRaises(HistoryLostError):
            self.client.wait_for_changes(TABLE, 5, 0.0)
        state = self.client.read_table(TABLE)
        self.assertEqual((state.version, state.relayed_age_s), (9, 0.4))

    def test_changes_are_not_given_up_if_no_instance_is_fresh(self) -> None:
        """Guards against all instances reading complete tables after an outage."""
        self.exchange.reply = ChangesRefused("no fresh answer of the store")
        self.exchange.reply_by_table.clear()
        for call in (
            lambda: self.client.wait_for_changes(TABLE, 5, 0.0),
            lambda: self.client.read_table(TABLE),
        ):
            with self.assertRaises(StoreUnavailableError):
                call()


class TestTableSources(unittest.TestCase):
    PEER = "peer"

    def setUp(self) -> None:
        self.sources = TableSources()
        self.sources.record_store_reply(TABLE, 10.0)

    def record_peer_reply(self, requested_at: float, **confirmed_at_by_table: float) -> None:
        """Record a reply about the busy table."""
        self.sources.record_peer_reply(
            BUSY_TABLE, self.PEER, requested_at, requested_at, confirmed_at_by_table
        )

    def test_unknown_table_is_not_confirmed(self) -> None:
        self.assertEqual(self.sources.confirmed_at(BUSY_TABLE), float("-inf"))

    def test_replies_of_the_store_confirm_the_tables_that_wait_there(self) -> None:
        self.sources.record_request(TABLE, STORE, 10.1)
        self.sources.record_store_reply(BUSY_TABLE, 12.0)
        self.assertEqual(self.sources.confirmed_at(TABLE), 12.0)

    def test_replies_do_not_confirm_a_table_between_two_calls(self) -> None:
        """Guards against counting a table as polled that is only polled each 0.6 s."""
        self.sources.record_store_reply(BUSY_TABLE, 12.0)
        self.assertEqual(self.sources.confirmed_at(TABLE), 10.0)

    def test_reply_does_not_confirm_a_table_whose_call_was_sent_later(self) -> None:
        self.sources.record_request(TABLE, STORE, 12.1)
        self.sources.record_store_reply(BUSY_TABLE, 12.0)
        self.assertEqual(self.sources.confirmed_at(TABLE), 10.0)

    def test_another_instance_confirms_a_table_only_up_to_its_own_knowledge(self) -> None:
        """Guards against a table that looks fresh because its source reads another one.

        Measured: an instance that knew one table as of 9.0 s and another as of 10.0 s made the
        instance below it state both as of 10.0 s.
        """
        self.sources.record_request(TABLE, self.PEER, 10.5)
        self.record_peer_reply(13.0, op=11.0)
        self.assertEqual(self.sources.confirmed_at(TABLE), 11.0)
        self.assertEqual(self.sources.confirmed_at(BUSY_TABLE), 13.0)

    def test_replies_of_another_source_confirm_nothing(self) -> None:
        self.sources.record_request(TABLE, STORE, 10.5)
        self.record_peer_reply(13.0, op=13.0)
        self.assertEqual(self.sources.confirmed_at(TABLE), 10.0)

    def test_request_to_another_source_ends_the_confirmation_at_the_former_one(self) -> None:
        """Guards against counting a source that has not yet replied about the table."""
        self.sources.record_request(TABLE, STORE, 10.1)
        self.sources.record_request(TABLE, self.PEER, 11.0)
        self.sources.record_store_reply(BUSY_TABLE, 12.0)
        self.assertEqual(self.sources.confirmed_at(TABLE), 10.0)

    def test_failure_ends_the_confirmation(self) -> None:
        self.sources.record_request(TABLE, STORE, 10.1)
        self.sources.record_failure(TABLE)
        self.sources.record_store_reply(BUSY_TABLE, 12.0)
        self.assertEqual(self.sources.confirmed_at(TABLE), 10.0)

    def test_response_at_the_end_of_its_wait_confirms_the_wait(self) -> None:
        """Guards against a quiet table that looks as old as the calls wait."""
        self.sources.record_store_reply(TABLE, 11.0, 0.4)
        self.assertEqual(self.sources.confirmed_at(TABLE), 11.4)

    def test_interruption_is_a_time_without_confirmation(self) -> None:
        sources = TableSources(interruption_s=2.0)
        self.assertEqual(sources.uninterrupted_since(TABLE), float("inf"))
        for requested_at, since in ((10.0, 10.0), (11.5, 10.0), (13.5, 13.5), (14.0, 13.5)):
            sources.record_store_reply(TABLE, requested_at)
            self.assertEqual(sources.uninterrupted_since(TABLE), since)

    def test_interruption_of_one_instance_is_none_if_its_source_had_none(self) -> None:
        """Guards against taking the full link of one machine for an outage of the store."""
        sources = TableSources(interruption_s=2.0)
        sources.record_store_reply(TABLE, 10.0)
        sources.record_peer_reply(TABLE, self.PEER, 20.0, 20.0, {}, uninterrupted_since=4.0)
        self.assertEqual(sources.uninterrupted_since(TABLE), 4.0)
        sources.record_peer_reply(TABLE, self.PEER, 30.0, 30.0, {}, uninterrupted_since=28.0)
        self.assertEqual(sources.uninterrupted_since(TABLE), 28.0)

    def test_older_confirmation_changes_nothing(self) -> None:
        """Guards against a table that looks older after a change of its source."""
        self.sources.record_request(TABLE, self.PEER, 10.5)
        self.record_peer_reply(13.0, op=9.0)
        self.assertEqual(self.sources.confirmed_at(TABLE), 10.0)


class TestStartInALargeDomain(unittest.TestCase):
    """First reads of tables after a restart or a power failure."""

    def setUp(self) -> None:
        self.store = FakeStore()

    def client(self, name: str, reply: ChangesReply, reads_from_peer: bool = True) -> RelayedStore:
        self.exchange = FakeExchange(name, reply)
        return RelayedStore(
            self.store,
            self.exchange,  # type: ignore[arg-type]
            TableSources(),
            reads_from_peer,
        )

    def test_table_is_read_from_another_instance(self) -> None:
        """Guards against saturating the link between regions with copies of one table."""
        state = self.client(LAST, changes()).read_table(TABLE)
        self.assertEqual((state.version, state.relayed_age_s), (9, 0.4))
        self.assertEqual([row.value for row in state.rows], [b"new"])
        self.assertEqual(self.store.calls, 0)

    def test_first_instances_and_the_own_table_are_read_from_the_store(self) -> None:
        for name, reads_from_peer in ((ROOT, True), (ORDER[1].name, True), (LAST, False)):
            self.store.calls = 0
            client = self.client(name, changes(), reads_from_peer)
            self.assertIsNone(client.read_table(TABLE).relayed_age_s)
            self.assertEqual((self.store.calls, self.exchange.requested_peers), (1, []))

    def test_small_domain_reads_from_the_store(self) -> None:
        client = self.client(ORDER[3].name, changes())
        self.exchange.sources.set_order(ORDER[:4])
        self.assertIsNone(client.read_table(TABLE).relayed_age_s)

    def test_store_is_read_if_no_other_instance_has_the_table_in_time(self) -> None:
        """Guards against a start that waits for instances without a copy of the table."""
        client = self.client(LAST, ChangesRefused("not read yet"))
        self.assertIsNone(client.read_table(TABLE).relayed_age_s)
        self.assertEqual(self.store.calls, 1)

    def test_second_full_read_goes_to_the_store(self) -> None:
        """Guards against reading missed changes from an instance that may have missed them too."""
        client = self.client(LAST, changes())
        client.read_table(TABLE)
        self.assertIsNone(client.read_table(TABLE).relayed_age_s)


class TestFarFromTheStore(unittest.TestCase):
    """Changes in a region whose link to the store's region is narrow and full.

    Seen on a day with 848 new routes and 24 machines: each root of the far region read the
    configuration from the store, and instances that no root could serve in time did so too, which
    kept the link full for 20 s.
    """

    NEAR = RelayPeer("near-1", ("10.1.0.1", 1), 100.0)
    OTHER_NEAR = RelayPeer("near-2", ("10.1.0.2", 1), 100.0)

    def client(self, reply: ChangesReply) -> RelayedStore:
        self.store = FakeStore()
        self.exchange = FakeExchange(ROOT, reply)
        self.exchange.sources.set_order(
            ORDER, Upstream((self.NEAR, self.OTHER_NEAR), frozenset(), 1)
        )
        return RelayedStore(
            self.store,
            self.exchange,  # type: ignore[arg-type]
            TableSources(),
            reads_from_peer=True,
        )

    def test_root_asks_an_instance_near_the_store(self) -> None:
        client = self.client(changes())
        self.assertEqual(client.wait_for_changes(TABLE, 5, 1.0).version, 9)
        self.assertEqual(client.read_table(TABLE).version, 9)
        self.assertEqual((self.store.calls, set(self.exchange.requested_peers)), (0, {"near-1"}))

    def test_root_asks_the_next_instance_if_the_first_has_no_fresh_data(self) -> None:
        client = self.client(changes())
        self.exchange.reply_by_peer["near-1"] = ChangesRefused("no fresh answer of the store")
        self.assertEqual(client.wait_for_changes(TABLE, 5, 1.0).version, 9)
        self.assertEqual(self.store.calls, 0)

    def test_root_calls_the_store_if_no_instance_upstream_has_fresh_data(self) -> None:
        client = self.client(ChangesRefused("no fresh answer of the store"))
        started_at = monotonic()
        self.assertIsNone(client.wait_for_changes(TABLE, 5, 1.0).relayed_age_s)
        self.assertEqual(self.store.calls, 1)
        self.assertLess(monotonic() - started_at, FALLBACK_LIMIT_S)


class TestChangesServer(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        state = TableState((Row("config", b"old", 4),), 6)
        self.table: Published[TableSnapshot | None] = Published(
            TableSnapshot.of(state, 99.8, value_fingerprint)
        )
        self.table_sources = TableSources()
        self.server = ChangesServer({TABLE: self.table}, self.table_sources, self.clock)

    def request(self, after: int, wait_s: float = 0.0, table: str = TABLE) -> ChangesReply:
        return self.server.reply_to(ChangesRequest(table, after, wait_s, MAX_AGE_S))

    def test_changes_carry_their_age(self) -> None:
        self.table.publish(TableSnapshot.of(TableState((), 3), 99.8, value_fingerprint))
        result = self.request(3)
        assert isinstance(result, RelayedChanges)
        self.assertAlmostEqual(result.age_s, 0.2)

    def test_wait_at_the_source_does_not_add_to_the_age(self) -> None:
        """Guards against fresh data that is refused two levels further down as too old."""
        server = ChangesServer({TABLE: self.table}, TableSources(), LeaseClock())
        known = self.table.value
        assert known is not None
        arrived_at = LeaseClock().now()
        self.table.publish(replace(known, requested_at=arrived_at))
        result = server.reply_to(ChangesRequest(TABLE, 6, 0.2, MAX_AGE_S))
        assert isinstance(result, RelayedChanges)
        self.assertLess(result.age_s, 0.1)

    def test_stale_snapshot_is_refused(self) -> None:
        """Guards against relaying an outdated configuration when the store is unavailable."""
        self.clock.advance(MAX_AGE_S)
        self.assertIsInstance(self.request(6), ChangesRefused)

    def test_replies_of_the_same_source_confirm_a_quiet_table(self) -> None:
        """Guards against a call to the store for each quiet table that no one changes."""
        self.table_sources.record_request(TABLE, STORE, 99.8)
        self.clock.advance(3.0)
        self.table_sources.record_store_reply(BUSY_TABLE, 102.9)
        self.assertIsInstance(self.request(6), RelayedChanges)

    def test_replies_of_another_source_do_not_confirm_a_table(self) -> None:
        """Guards against relaying an old configuration because the list of targets is fresh."""
        self.table_sources.record_request(TABLE, STORE, 99.8)
        self.clock.advance(3.0)
        self.table_sources.record_peer_reply(
            BUSY_TABLE, ORDER[1].name, 102.9, 102.9, {TABLE: 102.9}
        )
        self.assertIsInstance(self.request(6), ChangesRefused)

    def test_waiting_request_is_refused_when_the_snapshot_becomes_stale(self) -> None:
        """Guards against waiting at a stale source for changes of a rarely changing table."""
        server = ChangesServer({TABLE: self.table}, TableSources(), LeaseClock())
        known = self.table.value
        assert known is not None
        self.table.publish(replace(known, requested_at=LeaseClock().now()))
        started_at = monotonic()
        result = server.reply_to(ChangesRequest(TABLE, 6, 4.0, 0.3))
        self.assertIsInstance(result, ChangesRefused)
        self.assertLess(monotonic() - started_at, 3.0)

    def test_request_before_the_known_changes_is_refused(self) -> None:
        self.assertIsInstance(self.request(2), ChangesRefused)
        self.assertIsInstance(self.request(6, table="unknown"), ChangesRefused)

    def test_requester_that_knows_of_a_later_restore_is_refused(self) -> None:
        """Guards against rows that count as confirmed by an instance which knows older ones."""
        self.assertIsInstance(self.request(version_of(1, 1)), ChangesRefused)

    def test_requester_that_is_behind_gets_the_complete_table(self) -> None:
        """Guards against a read of the store by each instance below one that has started anew.

        Each level took up to a second more after the store had lost its history.
        """
        request = ChangesRequest(TABLE, 2, 5.0, MAX_AGE_S, accepts_complete=True)
        result = self.server.reply_to(request)
        assert isinstance(result, RelayedChanges)
        self.assertEqual((result.is_complete, result.version), (True, 6))
        self.assertEqual([row.value for row in result.rows], [b"old"])

    def test_lost_history_ends_the_wait_of_a_request(self) -> None:
        """Guards against readers that wait at an instance which has read the table anew."""
        request = ChangesRequest(TABLE, 6, 5.0, MAX_AGE_S, accepts_complete=True)
        waiting = gevent.spawn(self.server.reply_to, request)
        gevent.sleep(0)
        known = self.table.value
        assert known is not None
        state = TableState((Row("config", b"hidden", 5),), 8)
        self.table.publish(known.reread(state, 100.0, value_fingerprint, is_history_lost=True))
        result = waiting.get(timeout=3.0)
        self.assertEqual([row.value for row in result.rows], [b"hidden"])
        self.assertTrue(result.is_complete)

    def test_full_read_returns_all_rows_of_a_fresh_table(self) -> None:
        """Guards against refusing a requester without a version, and returning a stale table."""
        request = ChangesRequest(TABLE, 0, 0.0, MAX_AGE_S, is_full_read=True)
        result = self.server.reply_to(request)
        assert isinstance(result, RelayedChanges)
        self.assertEqual(([row.value for row in result.rows], result.version), ([b"old"], 6))
        self.clock.advance(MAX_AGE_S)
        self.assertIsInstance(self.server.reply_to(request), ChangesRefused)

    def test_change_ends_the_wait_of_a_request(self) -> None:
        waiting = gevent.spawn(self.request, 6, 5.0)
        gevent.sleep(0)
        known = self.table.value
        assert known is not None
        update = Changes((Row("config", b"new", 8),), 8)
        self.table.publish(known.updated(update, 100.0, value_fingerprint))
        result = waiting.get(timeout=5.0)
        self.assertEqual([row.value for row in result.rows], [b"new"])

    def test_newer_confirmation_ends_the_wait_of_a_request(self) -> None:
        """Guards against data that gets older by the wait of a call at each level."""
        request = ChangesRequest(TABLE, 6, 5.0, MAX_AGE_S, known_confirmation=99.8)
        waiting = gevent.spawn(self.server.reply_to, request)
        gevent.sleep(0)
        known = self.table.value
        assert known is not None
        self.table.publish(replace(known, requested_at=99.9))
        result = waiting.get(timeout=3.0)
        self.assertEqual((result.rows, result.confirmation), ((), 99.9))

    def test_known_confirmation_does_not_end_the_wait(self) -> None:
        """Guards against a call that is repeated without a pause."""
        server = ChangesServer({TABLE: self.table}, TableSources(), LeaseClock())
        known = self.table.value
        assert known is not None
        requested_at = LeaseClock().now()
        self.table.publish(replace(known, requested_at=requested_at))
        started_at = monotonic()
        server.reply_to(ChangesRequest(TABLE, 6, 0.2, MAX_AGE_S, known_confirmation=requested_at))
        self.assertGreater(monotonic() - started_at, 0.15)

    def test_encoding_preserves_all_fields(self) -> None:
        for request in (
            ChangesRequest(TABLE, 7, 0.5, 1.2),
            ChangesRequest(TABLE, 0, 0.0, 1.2, True, 3.5, True),
            ChangesRequest(TABLE, HIGHEST_VERSION, 0.5, 1.2),
        ):
            self.assertEqual(decode_changes_request(encode_changes_request(request)), request)
        rows = (
            Row("a", b"\x00" * 300_000, 5),
            Row("b", b"", HIGHEST_VERSION, is_dropped=True),
        )
        ages = {TABLE: 0.25, BUSY_TABLE: -0.5}
        for reply in (
            RelayedChanges(rows, HIGHEST_VERSION, 0.25, ages, 17.5, 60.0, True),
            ChangesRefused("why"),
        ):
            self.assertEqual(decode_changes_reply(encode_changes_reply(reply)), reply)
        self.assertLess(len(encode_changes_reply(RelayedChanges(rows, 9, 0.25))), 10_000)

    def test_messages_of_the_previous_version_are_read(self) -> None:
        """Guards against a rolling upgrade in which instances refuse each other's messages."""
        request = _SCHEMA.NewsWanted.new_message(table=TABLE, after=7, waitS=0.5, maxAgeS=1.2)
        self.assertEqual(
            decode_changes_request(request.to_bytes()), ChangesRequest(TABLE, 7, 0.5, 1.2)
        )
        reply = _SCHEMA.News.new_message()
        reply.init("changes").version = 9
        self.assertEqual(
            decode_changes_reply(zlib.compress(reply.to_bytes())), RelayedChanges((), 9, 0.0)
        )

    def test_malformed_messages_are_rejected(self) -> None:
        complete = encode_changes_reply(ChangesRefused("why"))
        for data in (b"", b"junk", complete[:-3]):
            with self.assertRaises(MalformedChangesError):
                decode_changes_reply(data)
