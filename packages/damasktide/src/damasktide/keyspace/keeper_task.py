"""Task that keeps the keys granted: runs the decisions and hands out their orders."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from zlib import crc32

from loguru import logger

from damasktide.dispatch.cold_start import Instances
from damasktide.keyspace.codec import (
    MalformedRowError,
    decode_instance,
    decode_leader,
    decode_map,
)
from damasktide.keyspace.keeper import Keeper
from damasktide.keyspace.key_map import KeyMap
from damasktide.keyspace.leadership import Leadership
from damasktide.keyspace.messages import (
    Grant,
    GrantEnded,
    LeaderWritten,
    MapWritten,
    Order,
    ReadMaps,
    RegisterInstance,
    Release,
    ReleaseEnded,
)
from damasktide.keyspace.order_sender import OrderCodec, OrderSender
from damasktide.keyspace.store_writer import StoreWriter
from damasktide.keyspace.table import (
    INSTANCE_PREFIX,
    LEADER_KEY,
    LEADER_TABLE,
    MAP_PREFIX,
    TABLE,
    InstanceRecord,
)
from damasktide.rows.follower import FollowPace, TableChanged, TableFollower, TableRead
from damasktide.rows.store import Row, RowStore
from damasktide.runtime.clock import LeaseClock
from damasktide.runtime.published import Published
from damasktide.runtime.task import Stop, Task, TaskFailed, every, handles
from damasktide.targets.target import TargetView

TICK_S = 0.1
# Instances that notice the loss of the leader at once; the others do some seconds later.
STANDBYS = 3
STANDBY_PACE = FollowPace(gap_s=0.25, wait_s=1.0)
BYSTANDER_PACE = FollowPace(gap_s=4.0, wait_s=1.0)


@dataclass(frozen=True, slots=True)
class TargetsChanged:
    """The known targets have changed."""

    view: TargetView


@dataclass(frozen=True, slots=True)
class KeyedServices:
    """The services whose keys are granted."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class Resign:
    """The instance is about to stop."""


class KeeperTask(Task):
    """Owns the keeper; publishes the maps and the registered instances.

    Parameters
    ----------
    instance
        This instance.
    open_store
        Returns a new client of the store; each task that calls it has its own.
    codec
        Writes and reads orders to targets.
    confirmed_at
        Returns when the store was asked for its last answer about targets, on the lease clock.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    """

    def __init__(
        self,
        instance: InstanceRecord,
        open_store: Callable[[], RowStore],
        codec: OrderCodec,
        confirmed_at: Callable[[], float],
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("keeper", on_failure)
        self.maps: Published[Mapping[str, KeyMap]] = Published({})
        self.instances: Published[Instances] = Published(Instances())
        self._name = instance.name
        self._clock = LeaseClock()
        self._codec = codec
        self._confirmed_at = confirmed_at
        self._keeper = Keeper(Leadership(instance.name, instance.boot))
        self._writer = StoreWriter(open_store(), instance, self.tell)
        self._follower = TableFollower(open_store(), TABLE, self.tell)
        self._leader_follower = TableFollower(open_store(), LEADER_TABLE, self.tell, STANDBY_PACE)
        self._sender_by_address: dict[tuple[str, int], OrderSender] = {}
        self._domain_by_instance: dict[str, str] = {}

    def on_start(self) -> None:
        """Register the instance and follow the table."""
        self._writer.start()
        self._writer.tell(RegisterInstance())
        self._follower.start()
        self._leader_follower.start()

    def store_lost(self) -> None:
        """Ask the store anew, because another call to it has found it gone."""
        self._follower.interrupt()

    @every(TICK_S)
    def _tick(self) -> None:
        self._keeper.set_confirmed(self._confirmed_at())
        for order in self._keeper.orders(self._clock.now()):
            self._hand_out(order)

    @handles(TargetsChanged)
    def _targets_changed(self, message: TargetsChanged) -> None:
        self._keeper.set_targets(self._clock.now(), message.view)
        addresses = {entry.address for entry in message.view.entry_by_id.values()}
        for address in set(self._sender_by_address) - addresses:
            # Releases may still go to a target that is listed no more; see _hand_out.
            self._sender_by_address.pop(address).tell(Stop())
        self._tick()

    @handles(KeyedServices)
    def _services_changed(self, message: KeyedServices) -> None:
        self._keeper.set_services(message.names)

    @handles(TableRead)
    def _table_read(self, message: TableRead) -> None:
        self._take_rows(message.state.rows)
        if message.table == LEADER_TABLE:
            self._keeper.leadership.absent(self._clock.now())
            return
        self._keeper.table_read(message.asked_at)
        self._publish()

    @handles(TableChanged)
    def _table_changed(self, message: TableChanged) -> None:
        self._take_rows(message.changes.rows)
        if message.table == TABLE:
            self._publish()

    @handles(GrantEnded)
    def _grant_ended(self, message: GrantEnded) -> None:
        self._keeper.grant_ended(self._clock.now(), message)

    @handles(ReleaseEnded)
    def _release_ended(self, message: ReleaseEnded) -> None:
        self._keeper.release_ended(self._clock.now(), message)
        self._tick()

    @handles(MapWritten)
    def _map_written(self, message: MapWritten) -> None:
        self._keeper.map_written(message)
        self._publish()
        self._tick()

    @handles(LeaderWritten)
    def _leader_written(self, message: LeaderWritten) -> None:
        self._keeper.leader_written(self._clock.now(), message)
        self._tick()

    @handles(Resign)
    def _resign(self, message: Resign) -> None:
        write = self._keeper.resign()
        if write is not None:
            self._writer.tell(write)
        self._writer.tell(RegisterInstance(is_leaving=True))

    def _take_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            try:
                self._take_row(row)
            except MalformedRowError as error:
                logger.bind(row=row.key, version=row.version).warning("row left out: {}", error)

    def _take_row(self, row: Row) -> None:
        if row.key.startswith(INSTANCE_PREFIX):
            self._take_instance(row)
        elif row.is_dropped:
            logger.bind(row=row.key).warning("row was dropped")
        elif row.key == LEADER_KEY:
            record = decode_leader(row.version, row.value)
            self._keeper.leader_seen(self._clock.now(), record)
        elif row.key.startswith(MAP_PREFIX):
            service = row.key.removeprefix(MAP_PREFIX)
            self._keeper.map_seen(decode_map(service, row.version, row.value))

    def _take_instance(self, row: Row) -> None:
        name = row.key.removeprefix(INSTANCE_PREFIX)
        if row.is_dropped:
            self._domain_by_instance.pop(name, None)
            return
        record = decode_instance(name, row.value)
        self._domain_by_instance[name] = record.domain
        self._keeper.leadership.ended(self._clock.now(), name, record.boot)

    def _publish(self) -> None:
        if self.maps.value != self._keeper.map_by_service:
            self.maps.publish(dict(self._keeper.map_by_service))
        names_by_domain: dict[str, set[str]] = defaultdict(set)
        for name, domain in self._domain_by_instance.items():
            names_by_domain[domain].add(name)
        instances = Instances(
            {domain: frozenset(names) for domain, names in names_by_domain.items()}
        )
        if instances != self.instances.value:
            self.instances.publish(instances)
            pace = self._pace()
            self._leader_follower.set_pace(pace)
            gap_s = pace.gap_s + pace.wait_s if pace is BYSTANDER_PACE else 0.0
            self._keeper.leadership.set_observation_gap(gap_s)

    def _pace(self) -> FollowPace:
        """Return how closely this instance follows the leader: few stand by to take over."""
        names = sorted(self._domain_by_instance, key=lambda name: crc32(name.encode()))
        is_standby = self._name in names[:STANDBYS] or self._name not in names
        return STANDBY_PACE if is_standby else BYSTANDER_PACE

    def _hand_out(self, order: Order) -> None:
        if isinstance(order, Grant | Release):
            self._sender(order.entry.address).tell(order)
            return
        if isinstance(order, ReadMaps):
            self._follower.read_again()
            return
        self._writer.tell(order)

    def _sender(self, address: tuple[str, int]) -> OrderSender:
        sender = self._sender_by_address.get(address)
        if sender is None:
            sender = OrderSender(address, self._codec, self.tell)
            sender.start()
            self._sender_by_address[address] = sender
        return sender
