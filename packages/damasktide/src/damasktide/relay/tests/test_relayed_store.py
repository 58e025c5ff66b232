"""Changes heard from another instance: staleness, outages and silence, without network."""

import unittest
from collections.abc import Sequence
from dataclasses import replace
from time import monotonic

import gevent

from damasktide.relay.codec import (
    MalformedChangesError,
    decode_changes_reply,
    decode_changes_request,
    encode_changes_reply,
    encode_changes_request,
)
from damasktide.relay.messages import ChangesRefused, ChangesRequest, News, RelayedChanges
from damasktide.relay.relayed_store import DIRECT_WAIT_S, RelayedStore
from damasktide.relay.server import ChangesServer
from damasktide.relay.sources import MAX_AGE_S, OTHERS_RETRY_S, RelaySources
from damasktide.relay.tree import RelayPeer, relay_order
from damasktide.rows.snapshot import TableSnapshot, value_fingerprint
from damasktide.rows.store import (
    Changes,
    ExpectedRow,
    Row,
    RowWrite,
    StoreUnavailableError,
    TableState,
)
from damasktide.runtime.clock import LeaseClock, ManualClock
from damasktide.runtime.published import Published

TABLE = "op"
ORDER = relay_order(RelayPeer(f"i{n}", ("10.0.0.1", n), 100.0) for n in range(6))
# A change must be known within 2.5 s; news has the greatest age when it is refused, and the answer
# of the store takes up to 0.4 s.
STALE_LIMIT_S = 2.5 - MAX_AGE_S - 0.4
ROOT, OTHER = ORDER[0].name, ORDER[5].name


class FakeStore:
    """A store that answers or not, and counts its calls."""

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

    def write(self, writes: Sequence[RowWrite], expected: Sequence[ExpectedRow] = ()) -> int:
        self._call()
        return 1

    def _call(self) -> None:
        self.calls += 1
        if self.is_down:
            raise StoreUnavailableError("down")


class FakeExchange:
    """Answers with prepared news instead of calling another instance."""

    def __init__(self, name: str, news: News) -> None:
        self.sources = RelaySources(name)
        self.sources.set_order(ORDER)
        self.news = news
        self.asked: list[str] = []

    def ask_peer(self, peer: RelayPeer, wanted: ChangesRequest) -> News:
        self.asked.append(peer.name)
        return self.news


def changes(version: int = 9) -> RelayedChanges:
    return RelayedChanges((Row("config", b"new", version),), version, 0.4)


class TestRelayedStore(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()

    def client(self, name: str, news: News) -> tuple[RelayedStore, FakeExchange]:
        exchange = FakeExchange(name, news)
        return RelayedStore(self.store, exchange), exchange  # type: ignore[arg-type]

    def test_news_of_another_instance_costs_no_call_to_the_store(self) -> None:
        client, _ = self.client(OTHER, changes())
        found = client.wait_for_changes(TABLE, 5, 1.0)
        self.assertEqual((found.version, found.relayed_age_s), (9, 0.4))
        self.assertEqual(self.store.calls, 0)

    def test_store_is_asked_when_no_other_instance_knows_anything_fresh(self) -> None:
        """Guards against an instance that stays behind because its sources are cut off."""
        for name in (OTHER, ORDER[1].name):
            self.store.calls = 0
            client, _ = self.client(name, ChangesRefused("no fresh answer of the store"))
            started_at = monotonic()
            self.assertIsNone(client.wait_for_changes(TABLE, 5, 1.0).relayed_age_s)
            self.assertEqual(self.store.calls, 1)
            self.assertLess(monotonic() - started_at, STALE_LIMIT_S)

    def test_outage_is_asked_after_by_few(self) -> None:
        """Guards against each follower of each instance calling a store that is down."""
        self.store.is_down = True
        client, _ = self.client(OTHER, ChangesRefused("no fresh answer of the store"))
        started_at = monotonic()
        for _ in range(5):
            with self.assertRaises(StoreUnavailableError):
                client.wait_for_changes(TABLE, 5, 1.0)
        elapsed_s = monotonic() - started_at
        self.assertLessEqual(self.store.calls, 1 + elapsed_s / OTHERS_RETRY_S)

    def test_machine_that_the_store_turns_away_hears_from_another(self) -> None:
        self.store.is_down = True
        client, exchange = self.client(ROOT, changes())
        self.assertEqual(client.wait_for_changes(TABLE, 5, 1.0).version, 9)
        self.assertEqual(exchange.asked, [ORDER[1].name])

    def test_source_that_was_cut_off_alone_is_no_outage_of_the_store(self) -> None:
        """Guards against keeping targets that left for the time that outages are granted."""
        client, exchange = self.client(OTHER, changes())
        client.wait_for_changes(TABLE, 5, 1.0)
        exchange.news = ChangesRefused("no fresh answer of the store")
        client.wait_for_changes(TABLE, 9, 1.0)
        exchange.news = changes(12)
        self.assertEqual(client.wait_for_changes(TABLE, 9, 1.0).version, 12)

    def test_call_beside_others_does_not_outlast_the_moment_without_fresh_news(self) -> None:
        """Guards against each machine of a region fetching a large change from the store."""
        for name, longest_s in ((OTHER, DIRECT_WAIT_S), (ROOT, 4.0)):
            self.store.waits_s.clear()
            client, _ = self.client(name, ChangesRefused("no fresh answer of the store"))
            client.wait_for_changes(TABLE, 5, 4.0)
            self.assertEqual(self.store.waits_s, [longest_s])


class TestStartInALargeDomain(unittest.TestCase):
    """First reads of tables after a restart, or after a loss of power."""

    def setUp(self) -> None:
        self.store = FakeStore()

    def client(self, name: str, news: News, is_large: bool = True) -> RelayedStore:
        self.exchange = FakeExchange(name, news)
        return RelayedStore(self.store, self.exchange, is_large)  # type: ignore[arg-type]

    def test_table_comes_from_another_instance(self) -> None:
        """Guards against a link between regions full of the same large table."""
        state = self.client(OTHER, changes()).read_table(TABLE)
        self.assertEqual((state.version, state.relayed_age_s), (9, 0.4))
        self.assertEqual([row.value for row in state.rows], [b"new"])
        self.assertEqual(self.store.calls, 0)

    def test_first_instances_and_small_tables_read_from_the_store(self) -> None:
        for name, is_large in ((ROOT, True), (ORDER[1].name, True), (OTHER, False)):
            self.store.calls = 0
            client = self.client(name, changes(), is_large)
            self.assertIsNone(client.read_table(TABLE).relayed_age_s)
            self.assertEqual((self.store.calls, self.exchange.asked), (1, []))

    def test_small_domain_reads_from_the_store(self) -> None:
        client = self.client(ORDER[3].name, changes())
        self.exchange.sources.set_order(ORDER[:4])
        self.assertIsNone(client.read_table(TABLE).relayed_age_s)

    def test_store_is_read_when_no_other_instance_has_the_table_in_time(self) -> None:
        """Guards against a start that waits for instances which know nothing either."""
        client = self.client(OTHER, ChangesRefused("not read yet"))
        self.assertIsNone(client.read_table(TABLE).relayed_age_s)
        self.assertEqual(self.store.calls, 1)

    def test_lost_history_is_read_from_the_store(self) -> None:
        """Guards against taking changes that were missed from one that may have missed them."""
        client = self.client(OTHER, changes())
        client.read_table(TABLE)
        self.assertIsNone(client.read_table(TABLE).relayed_age_s)


class TestNewsServer(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        state = TableState((Row("config", b"old", 4),), 6)
        self.table: Published[TableSnapshot | None] = Published(
            TableSnapshot.of(state, 99.8, value_fingerprint)
        )
        self.server = ChangesServer({TABLE: self.table}, self.clock)

    def ask(self, after: int, wait_s: float = 0.0, table: str = TABLE) -> News:
        return self.server.answer(ChangesRequest(table, after, wait_s, MAX_AGE_S))

    def test_tells_what_changed_with_its_age(self) -> None:
        self.table.publish(TableSnapshot.of(TableState((), 3), 99.8, value_fingerprint))
        found = self.ask(3)
        assert isinstance(found, RelayedChanges)
        self.assertAlmostEqual(found.age_s, 0.2)

    def test_stale_snapshot_is_refused(self) -> None:
        """Guards against passing on an old configuration after losing the store."""
        self.clock.advance(MAX_AGE_S)
        self.assertIsInstance(self.ask(6), ChangesRefused)

    def test_waiting_asker_is_sent_away_when_the_store_is_lost(self) -> None:
        """Guards against a call for a table that seldom changes waiting at a stale source."""
        server = ChangesServer({TABLE: self.table}, LeaseClock())
        known = self.table.value
        assert known is not None
        self.table.publish(replace(known, requested_at=LeaseClock().now()))
        started_at = monotonic()
        found = server.answer(ChangesRequest(TABLE, 6, 4.0, 0.3))
        self.assertIsInstance(found, ChangesRefused)
        self.assertLess(monotonic() - started_at, 3.0)

    def test_reader_too_far_behind_is_refused(self) -> None:
        self.assertIsInstance(self.ask(2), ChangesRefused)
        self.assertIsInstance(self.ask(6, table="unknown"), ChangesRefused)

    def test_whole_table_is_told_to_an_instance_that_starts(self) -> None:
        """Guards against refusing one that knows no version yet, and against a stale table."""
        wanted = ChangesRequest(TABLE, 0, 0.0, MAX_AGE_S, is_whole=True)
        found = self.server.answer(wanted)
        assert isinstance(found, RelayedChanges)
        self.assertEqual(([row.value for row in found.rows], found.version), ([b"old"], 6))
        self.clock.advance(MAX_AGE_S)
        self.assertIsInstance(self.server.answer(wanted), ChangesRefused)

    def test_waiting_call_is_answered_by_a_change(self) -> None:
        waiting = gevent.spawn(self.ask, 6, 5.0)
        gevent.sleep(0)
        known = self.table.value
        assert known is not None
        news = Changes((Row("config", b"new", 8),), 8)
        self.table.publish(known.updated(news, 100.0, value_fingerprint))
        found = waiting.get(timeout=5.0)
        self.assertEqual([row.value for row in found.rows], [b"new"])

    def test_messages_keep_what_they_hold(self) -> None:
        for wanted in (
            ChangesRequest(TABLE, 7, 0.5, 1.2),
            ChangesRequest(TABLE, 0, 0.0, 1.2, True),
        ):
            self.assertEqual(decode_changes_request(encode_changes_request(wanted)), wanted)
        rows = (Row("a", b"\x00" * 300_000, 5), Row("b", b"", 6, is_dropped=True))
        for news in (RelayedChanges(rows, 9, 0.25), ChangesRefused("why")):
            self.assertEqual(decode_changes_reply(encode_changes_reply(news)), news)
        self.assertLess(len(encode_changes_reply(RelayedChanges(rows, 9, 0.25))), 10_000)

    def test_broken_messages_are_rejected(self) -> None:
        whole = encode_changes_reply(ChangesRefused("why"))
        for data in (b"", b"junk", whole[:-3]):
            with self.assertRaises(MalformedChangesError):
                decode_changes_reply(data)
