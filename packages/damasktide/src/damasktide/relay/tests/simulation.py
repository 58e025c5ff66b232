"""Simulation of instances that follow the store through each other, on a virtual clock.

The followers, the selection of sources and the relay are the real ones. Simulated are the store,
the links and the faults: instances that are killed, lose power, are paused, or are cut off from
the others or from the store.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import count
from random import Random
from typing import Any

from damasktide.relay.messages import ChangesRefused, ChangesReply, ChangesRequest
from damasktide.relay.relayed_store import RelayedStore
from damasktide.relay.server import ChangesServer
from damasktide.relay.sources import RelaySource, RelaySourceSelector
from damasktide.relay.table_sources import TableSources
from damasktide.relay.tests.virtual_time import VirtualTime
from damasktide.relay.tree import RelayPeer, relay_order, upstream
from damasktide.rows.follower import (
    BUSY_POLL_SCHEDULE,
    QUIET_POLL_SCHEDULE,
    PollSchedule,
    StoreUnavailable,
    TableFollower,
)
from damasktide.rows.store import (
    Changes,
    ExpectedRow,
    HistoryLostError,
    Row,
    RowWrite,
    StoreUnavailableError,
    TableState,
    era_of,
    number_of,
    version_of,
)

OPERATORS, TARGETS, LEADER = "operators", "targets", "leader"
SCHEDULE_BY_TABLE: Mapping[str, PollSchedule] = {
    OPERATORS: QUIET_POLL_SCHEDULE,
    TARGETS: BUSY_POLL_SCHEDULE,
    LEADER: PollSchedule(gap_s=0.25, wait_s=1.0),
}
REGION_BY_DOMAIN = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
STORE_REGION = "a"
ONE_WAY_S = {True: 0.001, False: 0.03}
# Margin that the client of the store allows in addition to the wait of a call.
STORE_MARGIN_S = 0.7
CONNECT_TIMEOUT_S = 0.5
CHECK_IN_INTERVAL_S = 0.87
# Share of the check-ins that change the state of a target.
CHANGE_RATE = 0.1
TARGET_COUNT = 10
# Interval at which bytes that a cut holds back are sent again.
RETRANSMIT_INTERVAL_S = 0.2

Action = Callable[[], None]


@dataclass(frozen=True, slots=True)
class Change:
    """A change that the store acknowledged at ``at`` seconds."""

    table: str
    key: str
    version: int
    at: float


@dataclass(frozen=True, slots=True)
class LateChange:
    """An instance that did not know a change in time."""

    change: Change
    instance: str


class Store:
    """Rows of all tables, and what happened to them."""

    def __init__(self, time: VirtualTime) -> None:
        self.version = 1
        # Calls that wait for changes hear nothing until this time.
        self.muted_until = 0.0
        # Changes up to this version are no longer known.
        self.forgotten_version = 0
        self.cut_count = 0
        self._time = time
        self._event_type: Any = time.event_type()
        self._changed = self._event_type()
        self._row_by_key_by_table: dict[str, dict[str, Row]] = {
            table: {} for table in SCHEDULE_BY_TABLE
        }

    def put(self, table: str, key: str, value: bytes) -> None:
        self.version += 1
        self._row_by_key_by_table[table][key] = Row(key, value, self.version)
        self._wake_waiting_calls()

    def rows(self, table: str, after: int = 0) -> tuple[Row, ...]:
        rows = self._row_by_key_by_table[table].values()
        changed = (row for row in rows if row.version > after)
        return tuple(sorted(changed, key=lambda row: row.version))

    def wait_for_change(self, timeout_s: float) -> None:
        self._changed.wait(timeout_s)

    def discard_history(self, muted_s: float) -> None:
        """Hide changes for some time, then cut the waiting calls and forget all changes."""
        self.muted_until = self._time.now() + muted_s

        def cut() -> None:
            self.cut_count += 1
            self.forgotten_version = self.version
            self._wake_waiting_calls()

        self._time.schedule(muted_s, cut)

    def restore_later(self, age_s: float) -> None:
        """Return to a copy of the present rows after ``age_s`` seconds."""
        copy = {table: dict(rows) for table, rows in self._row_by_key_by_table.items()}
        copied_version = self.version

        def restore() -> None:
            era = era_of(self.version) + 1
            self.version = version_of(era, number_of(copied_version))
            self._row_by_key_by_table = {
                table: {
                    key: replace(row, version=version_of(era, number_of(row.version)))
                    for key, row in rows.items()
                }
                for table, rows in copy.items()
            }
            self._wake_waiting_calls()

        self._time.schedule(age_s, restore)

    def _wake_waiting_calls(self) -> None:
        changed, self._changed = self._changed, self._event_type()
        changed.set()


class StoreClient:
    """Client of one follower; a call to an unreachable store ends with its time limit."""

    def __init__(self, world: "World", instance: "Instance") -> None:
        self._world = world
        self._instance = instance
        self._is_interrupted = False

    def read_table(self, table: str) -> TableState:
        self._travel(CONNECT_TIMEOUT_S)
        state = TableState(self._world.store.rows(table), self._world.store.version)
        self._travel(STORE_MARGIN_S)
        return state

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        self._is_interrupted = False
        store, time = self._world.store, self._world.time
        until = time.now() + wait_s
        self._travel(CONNECT_TIMEOUT_S)
        cut_count = store.cut_count
        while not (rows := self._rows(table, after)) and time.now() < until:
            store.wait_for_change(until - time.now())
            if self._is_interrupted:
                raise StoreUnavailableError("interrupted")
            if store.cut_count != cut_count:
                # The client of the store repeats a read on a connection that is cut.
                return self.wait_for_changes(table, after, wait_s)
        version = store.version
        self._travel(max(0.0, until - time.now()) + STORE_MARGIN_S)
        return Changes(rows, version, waited_s=0.0 if rows else wait_s)

    def _rows(self, table: str, after: int) -> tuple[Row, ...]:
        store = self._world.store
        if after < store.forgotten_version or era_of(after) != era_of(store.version):
            raise HistoryLostError(table)
        return store.rows(table, after) if self._world.time.now() >= store.muted_until else ()

    def interrupt(self) -> None:
        self._is_interrupted = True

    def round_trip_s(self) -> float | None:
        return None

    def write(self, writes: Sequence[RowWrite], expected: Sequence[ExpectedRow] = ()) -> int:
        raise AssertionError("the followers write nothing")

    def _travel(self, timeout_s: float) -> None:
        self._world.store_callers.add(self._instance.name)
        if self._instance.is_cut_from_store:
            self._world.time.sleep(timeout_s)
            raise StoreUnavailableError("no response")
        self._world.time.sleep(ONE_WAY_S[self._instance.region == STORE_REGION])


class Instance:
    """One run of an instance's process; also its links to the others."""

    def __init__(self, world: "World", peer: RelayPeer, domain: str) -> None:
        self.name = peer.name
        self.domain = domain
        self.region = REGION_BY_DOMAIN[domain]
        self.paused_until = 0.0
        self.has_ended = False
        self.is_cut_from_store = False
        self.sources = RelaySourceSelector(peer.name)
        self._world = world
        self._pending_by_peer: dict[str, list[Any]] = {}
        self._followed = ""
        peers = world.peers_by_domain
        self.sources.set_order(
            relay_order(peers[domain]), upstream(peers, REGION_BY_DOMAIN, domain)
        )
        table_sources = TableSources()
        self.follower_by_table = {
            table: TableFollower(
                RelayedStore(
                    StoreClient(world, self),
                    self,  # type: ignore[arg-type]
                    table_sources,
                    reads_from_peer=True,
                    watches_source=table == TARGETS,
                ),
                table,
                lambda message: None,
                schedule,
                self._availability_changed,
            )
            for table, schedule in SCHEDULE_BY_TABLE.items()
        }
        snapshots = {table: one.snapshot for table, one in self.follower_by_table.items()}
        self.server = ChangesServer(snapshots, table_sources, world.clock)
        for follower in self.follower_by_table.values():
            world.time.spawn(self, self._follow, follower)

    def knows(self, change: Change) -> bool:
        snapshot = self.follower_by_table[change.table].snapshot.value
        if snapshot is None:
            return False
        tracked = snapshot.tracked_by_key.get(change.key)
        return tracked is not None and tracked.row.version >= change.version

    def follow(self, source: RelaySource) -> None:
        """See :meth:`damasktide.relay.exchange.RelayExchange.follow`."""
        former, self._followed = self._followed, source.peer.name
        if former != source.peer.name:
            self._drop_link(former)

    def request_changes(self, source: RelaySource, request: ChangesRequest) -> ChangesReply:
        """See :meth:`damasktide.relay.exchange.RelayExchange.request_changes`."""
        peer = source.peer.name
        followed = self._followed
        done = self._world.event_type()
        replies: list[ChangesReply] = []
        pending = self._pending_by_peer.setdefault(peer, [])
        pending.append(done)
        self._world.time.spawn(self, self._world.deliver, self, peer, request, replies, done)
        done.wait(request.wait_s + source.reply_margin_s)
        if done in pending:
            pending.remove(done)
        if replies:
            return replies[0]
        if self._followed != followed:
            return ChangesRefused("the source has changed")
        self.sources.record_peer_failure(self._world.time.now(), peer)
        done.set()
        self._drop_link(peer)
        return ChangesRefused("no answer")

    def _drop_link(self, peer: str) -> None:
        """End the calls to an instance; bytes that a cut holds back are lost."""
        for done in self._pending_by_peer.pop(peer, []):
            done.set()

    def _availability_changed(self, message: object) -> None:
        if isinstance(message, StoreUnavailable) and message.table == TARGETS:
            self.follower_by_table[OPERATORS].interrupt()

    def _follow(self, follower: TableFollower) -> None:
        while True:
            wake_at = follower.next_wake_at()
            assert wake_at is not None
            self._world.time.sleep(wake_at - self._world.time.now())
            follower.on_wake()


class World:
    """All instances, the store and the links.

    Parameters
    ----------
    time
        The virtual clock, which must be in use (:func:`patched_clocks`).
    rng
        Source of all random decisions.
    limit_s
        Time in seconds after which an instance in touch has to know a change.
    instances_per_domain
        Number of instances in each failure domain.
    contact_s
        Seconds without a fault after which an instance is in touch.
    """

    def __init__(
        self,
        time: VirtualTime,
        rng: Random,
        limit_s: float,
        instances_per_domain: int = 4,
        contact_s: float = 4.0,
    ) -> None:
        self.late_changes: list[LateChange] = []
        # Names of the instances that called the store.
        self.store_callers: set[str] = set()
        # Shortest and longest time between two changes of the configuration.
        self.configuration_interval_s = (0.3, 1.5)
        self._limit_s = limit_s
        self._contact_s = contact_s
        self.time = time
        self.rng = rng
        self.clock: Any = time
        self.event_type: Any = time.event_type()
        self.store = Store(time)
        self.cut_names: set[str] = set()
        self.peers_by_domain = {
            domain: tuple(
                RelayPeer(
                    f"{domain}-{n}",
                    ("10.0.0.1", n),
                    200.0 if n < 2 else 10.0,
                    2.0 * ONE_WAY_S[region == STORE_REGION],
                )
                for n in range(instances_per_domain)
            )
            for domain, region in REGION_BY_DOMAIN.items()
        }
        self._domain_by_name = {
            peer.name: domain for domain, peers in self.peers_by_domain.items() for peer in peers
        }
        for number in range(TARGET_COUNT):
            self.store.put(TARGETS, f"t{number}", b"state-0")
        self.store.put(OPERATORS, "configuration", b"1")
        self.instance_by_name: dict[str, Instance] = {}
        # Periods in which an instance was not in touch; they end with its recovery.
        self.faults_by_name: dict[str, list[tuple[float, float]]] = {}
        for name in self._domain_by_name:
            self.start(name)
        for number in range(TARGET_COUNT):
            time.spawn(None, self._check_in, f"t{number}", rng.random())
        time.spawn(None, self._change_configuration)
        time.spawn(None, self._change_leader)

    def start(self, name: str) -> None:
        """Start the process of an instance anew."""
        previous = self.instance_by_name.get(name)
        if previous is not None:
            previous.has_ended = True
        domain = self._domain_by_name[name]
        peer = next(peer for peer in self.peers_by_domain[domain] if peer.name == name)
        self.instance_by_name[name] = Instance(self, peer, domain)

    def roots(self, region: str) -> list[str]:
        """Return the names of the roots of a region's failure domains."""
        return [
            relay_order(peers)[0].name
            for domain, peers in self.peers_by_domain.items()
            if REGION_BY_DOMAIN[domain] == region
        ]

    def lose_power(self, name: str, for_s: float) -> None:
        """Let an instance be silent, then start anew."""
        self.faults_by_name.setdefault(name, []).append((self.time.now(), self.time.now() + for_s))
        self.instance_by_name[name].has_ended = True
        self.time.schedule(for_s, lambda: self.start(name))

    def pause(self, name: str, for_s: float) -> None:
        """Let an instance stand still."""
        until = self.time.now() + for_s
        self.faults_by_name.setdefault(name, []).append((self.time.now(), until))
        self.instance_by_name[name].paused_until = until

    def cut(self, name: str, for_s: float) -> None:
        """Cut an instance off from the others; it still reaches the store and stays in touch."""
        self.cut_names.add(name)
        self.time.schedule(for_s, lambda: self.cut_names.discard(name))

    def cut_from_store(self, name: str, for_s: float) -> None:
        """Cut an instance off from the store."""
        self.faults_by_name.setdefault(name, []).append((self.time.now(), self.time.now() + for_s))
        instance = self.instance_by_name[name]
        instance.is_cut_from_store = True

        def heal() -> None:
            instance.is_cut_from_store = False

        self.time.schedule(for_s, heal)

    def put_checked(self, table: str, key: str, value: bytes) -> None:
        """Change a row, and record the instances that do not know it in time."""
        self.store.put(table, key, value)
        change = Change(table, key, self.store.version, self.time.now())

        def check() -> None:
            self.late_changes += (
                LateChange(change, name)
                for name, instance in self.instance_by_name.items()
                if self._is_in_touch(name) and not instance.knows(change)
            )

        self.time.schedule(self._limit_s, check)

    def deliver(
        self,
        sender: Instance,
        peer: str,
        request: ChangesRequest,
        replies: list[ChangesReply],
        done: Any,
    ) -> None:
        """Carry a call to another instance, and its reply."""
        receiver = self.instance_by_name[peer]
        one_way_s = ONE_WAY_S[sender.region == receiver.region]

        def serve() -> None:
            reply = receiver.server.reply_to(request)

            def arrive() -> None:
                replies.append(reply)
                done.set()

            self._transmit(sender.name, peer, one_way_s, done, arrive)

        def receive() -> None:
            if not receiver.has_ended:
                self.time.spawn(receiver, serve)

        self._transmit(sender.name, peer, one_way_s, done, receive)

    def _transmit(
        self, name: str, other: str, one_way_s: float, done: Any, action: Action
    ) -> None:
        """Deliver bytes; a cut holds them back until they are retransmitted.

        Bytes are lost if the call has ended meanwhile, because the link was dropped then.
        """

        def attempt() -> None:
            if self.cut_names.isdisjoint((name, other)):
                action()
            elif not done.is_set():
                self.time.schedule(RETRANSMIT_INTERVAL_S, attempt)

        self.time.schedule(one_way_s, attempt)

    def _is_in_touch(self, name: str) -> bool:
        since = self.time.now() - self._contact_s
        return all(end < since for _, end in self.faults_by_name.get(name, ()))

    def _check_in(self, target: str, delay_s: float) -> None:
        """Change the state of a target now and then; other check-ins change no row."""
        self.time.sleep(delay_s)
        for state in count(1):
            while self.rng.random() >= CHANGE_RATE:
                self.store.version += 1
                self.time.sleep(CHECK_IN_INTERVAL_S)
            self.put_checked(TARGETS, target, b"state-%d" % state)
            self.time.sleep(CHECK_IN_INTERVAL_S)

    def _change_configuration(self) -> None:
        for number in count(2):
            self.time.sleep(self.rng.uniform(*self.configuration_interval_s))
            self.put_checked(OPERATORS, "configuration", b"%d" % number)

    def _change_leader(self) -> None:
        for number in count():
            self.time.sleep(0.5)
            self.store.put(LEADER, "leader", b"%d" % number)
