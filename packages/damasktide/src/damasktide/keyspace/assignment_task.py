"""Task that keeps keys granted: runs the assignment controller and dispatches its commands."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from loguru import logger

from damasktide.demand.messages import DemandReport
from damasktide.dispatch.cold_start import RegisteredInstances
from damasktide.keyspace.assignment_controller import HOLD_S, AssignmentController
from damasktide.keyspace.codec import (
    MalformedRowError,
    decode_instance,
    decode_leader,
    decode_map,
)
from damasktide.keyspace.command_sender import CommandCodec, CommandSender
from damasktide.keyspace.key_map import KeyMap
from damasktide.keyspace.leadership import Leadership
from damasktide.keyspace.messages import (
    Command,
    Grant,
    GrantEnded,
    LeaderWritten,
    MapWritten,
    ReadMaps,
    RegisterInstance,
    Release,
    ReleaseEnded,
    WriteLinkKey,
)
from damasktide.keyspace.store_writer import StoreWriter
from damasktide.keyspace.table import (
    INSTANCE_PREFIX,
    LEADER_KEY,
    LEADER_TABLE,
    LINK_KEY,
    MAP_PREFIX,
    TABLE,
    InstanceRecord,
    instance_key,
)
from damasktide.relay.tree import RelayPeer, relay_order, upstream
from damasktide.rows.follower import PollSchedule, TableChanged, TableFollower, TableRead
from damasktide.rows.snapshot import version_fingerprint
from damasktide.rows.store import Row, RowStore, era_of
from damasktide.runtime.clock import LeaseClock
from damasktide.runtime.published import Published
from damasktide.runtime.task import OnError, Stop, Task, TaskFailed, every, handles
from damasktide.targets.target import TargetView

TICK_INTERVAL_S = 0.1
# Number of instances that poll the leader's row closely and can take over at once; all others
# notice the loss of the leader some seconds later.
STANDBY_COUNT = 4
STANDBY_POLL_SCHEDULE = PollSchedule(gap_s=0.25, wait_s=1.0)
OBSERVER_POLL_SCHEDULE = PollSchedule(gap_s=4.0, wait_s=1.0, relayed_gap_s=2.0)
# Upper bound on the time until an observer sees a change of the leader's row: one poll gap of the
# relaying instance, one of its own, and the waits of both calls.
OBSERVER_MAX_DELAY_S = 8.0
LINK_KEY_RETRY_INTERVAL_S = 2.0


@dataclass(frozen=True, slots=True)
class TargetsChanged:
    """Replaces the known targets."""

    view: TargetView


@dataclass(frozen=True, slots=True)
class KeyedServices:
    """The services whose keys are granted."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class Members:
    """The registered instances.

    Attributes
    ----------
    record_by_name
        Instances by the name of their machine.
    link_key
        Shared key that authenticates the links between them, or None if there is none yet.
    """

    record_by_name: Mapping[str, InstanceRecord]
    link_key: bytes | None = None

    def records_by_domain(self) -> Mapping[str, list[InstanceRecord]]:
        """Return the instances of each failure domain."""
        records_by_domain: dict[str, list[InstanceRecord]] = defaultdict(list)
        for record in self.record_by_name.values():
            records_by_domain[record.domain].append(record)
        return records_by_domain


@dataclass(frozen=True, slots=True)
class DemandObserved:
    """The demand on keys, as summed over all instances; only the leader gets it."""

    report: DemandReport


@dataclass(frozen=True, slots=True)
class Resign:
    """Gives up leadership and deregisters, because the instance is about to stop."""


class AssignmentTask(Task):
    """Owns the assignment controller; publishes the maps and the registered instances.

    Parameters
    ----------
    instance
        This instance.
    open_store
        Returns a new client of the store; each task that calls it has its own. The argument tells
        whether the first read of a table may come from another instance.
    codec
        Encodes commands to targets and decodes their responses.
    confirmed_at
        Returns the time on the lease clock at which the store's latest response about targets was
        requested.
    on_members_changed
        Called with the registered instances when they change.
    hold_s
        Time for which a grant holds.
    region_by_domain
        Region of each failure domain.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    """

    def __init__(
        self,
        instance: InstanceRecord,
        open_store: Callable[[bool], RowStore],
        codec: CommandCodec,
        confirmed_at: Callable[[], float],
        on_members_changed: Callable[[Members], None] = lambda members: None,
        hold_s: float = HOLD_S,
        region_by_domain: Mapping[str, str] | None = None,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("keeper", on_failure)
        self.maps: Published[Mapping[str, KeyMap]] = Published({})
        self.instances: Published[RegisteredInstances] = Published(RegisteredInstances())
        self.leader: Published[RelayPeer | None] = Published(None)
        self._name = instance.name
        self._boot = instance.boot
        self._region_by_domain = region_by_domain or {}
        self._clock = LeaseClock()
        self._codec = codec
        self._confirmed_at = confirmed_at
        self._on_members_changed = on_members_changed
        self._assignment = AssignmentController(
            Leadership(instance.name, instance.boot), hold_s, region_by_domain
        )
        self._writer = StoreWriter(open_store(False), instance, self.tell)
        self._follower = TableFollower(open_store(False), TABLE, self.tell)
        self._leader_follower = TableFollower(
            open_store(True),
            LEADER_TABLE,
            self.tell,
            STANDBY_POLL_SCHEDULE,
            fingerprint=version_fingerprint,
        )
        self._sender_by_address: dict[tuple[str, int], CommandSender] = {}
        self._members = Members({})
        self._record_by_name: dict[str, InstanceRecord] = {}
        # Versions of the rows of the registrations.
        self._version_by_name: dict[str, int] = {}
        # Names and boot ids of processes that have ended, whose rows a restore may bring back.
        self._ended_processes: set[tuple[str, str]] = set()
        self._link_key: bytes | None = None
        # The row of the link key, which differs from the key in use after a restore.
        self._link_key_row: Row | None = None
        self._era_by_table: dict[str, int] = {}
        self._has_resigned = False
        self._has_read_maps = False

    def on_start(self) -> None:
        """Follow the tables; the first read of its own table registers the instance."""
        self._writer.start()
        self._follower.start()
        self._leader_follower.start()

    @property
    def followers(self) -> Mapping[str, TableFollower]:
        """The followers of this task, by table."""
        return {TABLE: self._follower, LEADER_TABLE: self._leader_follower}

    @property
    def leadership(self) -> Leadership:
        """The lease that elects the leader; other greenlets only read it."""
        return self._assignment.leadership

    def store_unavailable(self) -> None:
        """Interrupt a waiting store call, because another call found the store unavailable."""
        self._follower.interrupt()

    @every(TICK_INTERVAL_S)
    def _tick(self) -> None:
        self._publish_leader()
        self._assignment.record_confirmation(self._confirmed_at())
        for command in self._assignment.commands(self._clock.now()):
            self._dispatch_command(command)

    @every(LINK_KEY_RETRY_INTERVAL_S)
    def _provide_link_key(self) -> None:
        if not self._has_read_maps:
            return
        if self._link_key is None:
            if self._assignment.leadership.is_leader:
                self._writer.tell(WriteLinkKey())
        elif self._link_key_row is None or self._link_key_row.value != self._link_key:
            # The store was restored; the running instances keep the key that they share.
            version = self._link_key_row.version if self._link_key_row is not None else 0
            self._writer.tell(WriteLinkKey(self._link_key, version))

    @handles(TargetsChanged)
    def _targets_changed(self, message: TargetsChanged) -> None:
        self._assignment.set_targets(self._clock.now(), message.view)
        addresses = {entry.address for entry in message.view.entry_by_id.values()}
        for address in set(self._sender_by_address) - addresses:
            # Releases may still go to a target that is no longer listed; _dispatch_command starts
            # a new sender for them.
            self._sender_by_address.pop(address).tell(Stop())
        self._tick()

    @handles(KeyedServices)
    def _services_changed(self, message: KeyedServices) -> None:
        self._assignment.set_services(message.names)

    @handles(TableRead, OnError.DROP_MESSAGE)
    def _table_read(self, message: TableRead) -> None:
        state = message.state
        is_restored = self._observe_era(message.table, state.version)
        if is_restored and message.table == TABLE:
            self._rewrite_own_rows(state.rows)
        self._apply_rows(state.rows)
        if message.table == LEADER_TABLE:
            self._assignment.leadership.record_complete_read(self._clock.now(), state.version)
            return
        self._assignment.record_table_read(message.requested_at, state.version)
        if not self._has_read_maps:
            # Without a link key each instance would call the store for every change.
            self._writer.tell(RegisterInstance(provides_link_key=self._link_key is None))
        self._has_read_maps = True
        self._publish()

    @handles(TableChanged, OnError.DROP_MESSAGE)
    def _table_changed(self, message: TableChanged) -> None:
        self._observe_era(message.table, message.changes.version)
        self._apply_rows(message.changes.rows)
        if message.table == TABLE:
            self._publish()

    @handles(GrantEnded)
    def _grant_ended(self, message: GrantEnded) -> None:
        self._assignment.handle_grant_ended(self._clock.now(), message)

    @handles(ReleaseEnded)
    def _release_ended(self, message: ReleaseEnded) -> None:
        self._assignment.handle_release_ended(self._clock.now(), message)
        self._tick()

    @handles(MapWritten)
    def _map_written(self, message: MapWritten) -> None:
        self._assignment.handle_map_written(self._clock.now(), message)
        self._publish()
        self._tick()

    @handles(LeaderWritten)
    def _leader_written(self, message: LeaderWritten) -> None:
        self._assignment.handle_leader_written(self._clock.now(), message)
        self._tick()

    @handles(DemandObserved)
    def _demand_observed(self, message: DemandObserved) -> None:
        self._assignment.set_demand(self._clock.now(), message.report)

    @handles(Resign)
    def _resign(self, message: Resign) -> None:
        self._has_resigned = True
        self._assignment.resign(self._clock.now())
        self._tick()
        self._writer.tell(RegisterInstance(is_leaving=True))

    def _observe_era(self, table: str, version: int) -> bool:
        """Record the version of a response; return whether ``table`` was restored before it."""
        era = era_of(version)
        known_era = self._era_by_table.get(table, era)
        is_new = era > max(self._era_by_table.values(), default=era)
        self._era_by_table[table] = max(known_era, era)
        self._assignment.observe_era(self._clock.now(), version)
        if is_new and table != LEADER_TABLE and self._assignment.leadership.is_leader:
            # Leadership ends or goes on by the restored row, which is otherwise polled rarely.
            self._leader_follower.request_full_read()
        return era > known_era

    def _rewrite_own_rows(self, rows: tuple[Row, ...]) -> None:
        """Register again if the restored table does not list this process."""
        if all(row.key != LINK_KEY for row in rows):
            self._link_key_row = None
        key = instance_key(self._name)
        is_registered = any(row.key == key and self._is_own(row) for row in rows)
        if self._has_read_maps and not is_registered and not self._has_resigned:
            self._writer.tell(RegisterInstance())

    def _is_own(self, row: Row) -> bool:
        try:
            return decode_instance(self._name, row.value).boot == self._boot
        except MalformedRowError:
            return False

    def _apply_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            try:
                self._apply_row(row)
            except MalformedRowError as error:
                logger.bind(row=row.key, version=row.version).warning(
                    "ignoring a malformed row: {}", error
                )
            except Exception:
                # One row that the decoder did not foresee must not hide the others.
                logger.bind(row=row.key, version=row.version).exception(
                    "ignoring a row that cannot be applied"
                )

    def _apply_row(self, row: Row) -> None:
        if row.key.startswith(INSTANCE_PREFIX):
            self._apply_instance_row(row)
        elif row.is_dropped:
            logger.bind(row=row.key).warning("row was deleted from the store")
        elif row.key == LINK_KEY:
            self._apply_link_key(row)
        elif row.key == LEADER_KEY:
            record = decode_leader(row.version, row.value)
            self._assignment.observe_leader(self._clock.now(), record)
        elif row.key.startswith(MAP_PREFIX):
            service = row.key.removeprefix(MAP_PREFIX)
            self._assignment.observe_map(decode_map(service, row.version, row.value))

    def _apply_instance_row(self, row: Row) -> None:
        name = row.key.removeprefix(INSTANCE_PREFIX)
        known = self._record_by_name.get(name)
        if row.is_dropped:
            self._record_by_name.pop(name, None)
            if known is not None:
                self._ended_processes.add((name, known.boot))
            return
        record = decode_instance(name, row.value)
        if (name, record.boot) in self._ended_processes:
            return
        is_same_era = era_of(row.version) == era_of(self._version_by_name.get(name, 0))
        if known is not None and known.boot != record.boot and is_same_era:
            self._ended_processes.add((name, known.boot))
        self._record_by_name[name] = record
        self._version_by_name[name] = row.version
        self._assignment.leadership.observe_boot(self._clock.now(), name, record.boot, row.version)

    def _apply_link_key(self, row: Row) -> None:
        known, self._link_key_row = self._link_key_row, row
        is_restored = known is None or era_of(row.version) > era_of(known.version)
        if self._link_key is None or not is_restored:
            self._link_key = row.value

    def _publish(self) -> None:
        if self.maps.value != self._assignment.map_by_service:
            self.maps.publish(dict(self._assignment.map_by_service))
        members = Members(dict(self._record_by_name), self._link_key)
        if members != self._members:
            self._members = members
            self._publish_members()

    def _publish_leader(self) -> None:
        record = self._record_by_name.get(self._assignment.leadership.record.instance)
        leader = None
        if record is not None and record.address is not None:
            leader = RelayPeer(record.name, record.address, record.link_mbps)
        if leader != self.leader.value:
            self.leader.publish(leader)

    def _publish_members(self) -> None:
        names_by_domain = {
            domain: frozenset(record.name for record in records)
            for domain, records in self._members.records_by_domain().items()
        }
        self.instances.publish(RegisteredInstances(names_by_domain))
        is_standby = self._name in self._standbys() or self._name not in self._record_by_name
        self._leader_follower.set_poll_schedule(
            STANDBY_POLL_SCHEDULE if is_standby else OBSERVER_POLL_SCHEDULE
        )
        delay_s = 0.0 if is_standby else OBSERVER_MAX_DELAY_S
        self._assignment.leadership.set_observation_delay(delay_s)
        self._on_members_changed(self._members)

    def _standbys(self) -> list[str]:
        """Return the instances that poll the leader's row closely.

        They are taken from the roots of the relay trees, which poll the store anyway, first those
        in a region near the store.
        """
        return [name for _, name in sorted(self._roots())[:STANDBY_COUNT]]

    def _roots(self) -> Iterator[tuple[bool, str]]:
        """Yield for each failure domain whether it is far from the store, and its root."""
        peers_by_domain = {
            domain: [
                RelayPeer(
                    record.name,
                    record.address or ("", 0),
                    record.link_mbps,
                    record.store_round_trip_s,
                )
                for record in records
            ]
            for domain, records in self._members.records_by_domain().items()
        }
        for domain, peers in peers_by_domain.items():
            is_far = bool(upstream(peers_by_domain, self._region_by_domain, domain).peers)
            yield is_far, relay_order(peers)[0].name

    def _dispatch_command(self, command: Command) -> None:
        if isinstance(command, Grant | Release):
            self._sender(command.entry.address).tell(command)
            return
        if isinstance(command, ReadMaps):
            self._follower.request_full_read()
            return
        self._writer.tell(command)

    def _sender(self, address: tuple[str, int]) -> CommandSender:
        sender = self._sender_by_address.get(address)
        if sender is None:
            sender = CommandSender(address, self._codec, self.tell)
            sender.start()
            self._sender_by_address[address] = sender
        return sender
