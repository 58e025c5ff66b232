"""Simulation of the assignment controller: instances, targets and a store with faults.

There is no network, and time advances in steps. Targets fence key ranges with integer tokens,
count a hold from the arrival of the call, and may execute a call late without responding.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from damasktide.demand.messages import DemandReport
from damasktide.keyspace.assignment_controller import AssignmentController
from damasktide.keyspace.key_map import Incarnation, KeyMap
from damasktide.keyspace.leadership import LeaderRecord, Leadership
from damasktide.keyspace.messages import (
    Command,
    CommandResult,
    Grant,
    GrantEnded,
    LeaderWritten,
    MapWritten,
    Release,
    ReleaseEnded,
    WriteLeader,
    WriteMap,
    WriteResult,
)
from damasktide.rows.store import era_of, number_of, version_of
from damasktide.targets.target import TargetEntry, TargetState, TargetView

SERVICE = "ledger"
STEP_S = 0.05
POLL_INTERVAL_S = 0.3
GRANT_TIMEOUT_S = 0.6
SLOW_CLOCK_FACTOR = 1.02
CHECK_IN_TTL_S = 2.6
COPY_INTERVAL_S = 0.5


@dataclass(slots=True)
class Hold:
    """Keys that a target serves."""

    first: int
    last: int
    fence: int
    until: float


@dataclass(slots=True)
class Simulation:
    """All simulated parts, and the violations of single ownership that were found.

    Parameters
    ----------
    rng
        Source of all random decisions.
    """

    rng: Random
    now: float = 0.0
    targets: dict[str, "Target"] = field(default_factory=dict)
    instances: dict[str, "Instance"] = field(default_factory=dict)
    store: "Store" = field(default_factory=lambda: Store())
    violations: list[str] = field(default_factory=list)
    late_delivery_rate: float = 0.0
    demand: DemandReport | None = None
    # Whether instances read the leader's row and the other rows at different times.
    reads_tables_apart: bool = False
    # Range and target of the grants with each fencing token.
    grants_by_fence: dict[int, set[tuple[int, int, str]]] = field(default_factory=dict)
    _queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: "count[int]" = field(default_factory=count)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``delay_s`` seconds."""
        heappush(self._queue, (self.now + delay_s, next(self._order), action))

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            step_end = self.now + STEP_S
            while self._queue and self._queue[0][0] <= step_end:
                at, _, action = heappop(self._queue)
                self.now = max(self.now, at)
                action()
            self.now = step_end
            self.store.copy_when_due(self.now)
            for instance in self.instances.values():
                instance.step()
            self._record_violations()

    def served_share(self) -> float:
        """Return the share of the keys that live targets hold."""
        held = sum(
            hold.last - hold.first + 1
            for target in self.targets.values()
            for hold in target.live_holds()
        )
        return held / 65_536

    def record_grant(self, grant: Grant) -> None:
        """Record a violation if the token of ``grant`` was issued to another target before."""
        grants = self.grants_by_fence.setdefault(grant.fence, set())
        target_id = grant.entry.target_id
        grants.add((grant.first, grant.last, target_id))
        for first, last, other_id in grants:
            if first <= grant.last and grant.first <= last and other_id != target_id:
                self.violations.append(
                    f"{self.now:.2f} s: token {grant.fence} issued to {other_id} and {target_id}"
                )

    def _record_violations(self) -> None:
        holds = [
            (target, hold) for target in self.targets.values() for hold in target.live_holds()
        ]
        for index, (target, hold) in enumerate(holds):
            for other, other_hold in holds[index + 1 :]:
                overlaps = hold.first <= other_hold.last and other_hold.first <= hold.last
                if other is not target and overlaps:
                    self.violations.append(
                        f"{self.now:.2f} s: {target.name} and {other.name} hold key "
                        f"{max(hold.first, other_hold.first)}"
                    )


@dataclass(slots=True)
class Store:
    """Rows with one version counter for all, as in the platform's store."""

    # Value and number of each row; the number is part of its version.
    row_by_key: dict[str, tuple[object, int]] = field(default_factory=dict)
    number: int = 0
    era: int = 0
    # Time, number and rows of the copies made so far.
    copies: list[tuple[float, int, dict[str, tuple[object, int]]]] = field(default_factory=list)
    is_up: bool = True
    # How fast a store that is down responds; it may refuse calls within milliseconds.
    refusal_s: float = 1.0
    refused_map_writes: int = 0

    def write(self, key: str, value: object, expected: dict[str, int]) -> int | None:
        """Write if all rows have the expected numbers; return the new version."""
        for name, number in expected.items():
            if self.row_by_key.get(name, (None, 0))[1] != number:
                return None
        self.number += 1
        self.row_by_key[key] = (value, self.number)
        return self.version

    @property
    def version(self) -> int:
        return version_of(self.era, self.number)

    def copy_when_due(self, now: float) -> None:
        if not self.copies or now >= self.copies[-1][0] + COPY_INTERVAL_S:
            self.copies.append((now, self.number, dict(self.row_by_key)))

    def restore(self, before: float) -> None:
        """Return to the latest copy made by the time ``before``, or else to the first one."""
        self.copies = [self.copies[0], *(one for one in self.copies[1:] if one[0] <= before)]
        _, self.number, rows = self.copies[-1]
        self.row_by_key = dict(rows)
        self.era += 1


class Target:
    """A target that holds keys."""

    def __init__(self, simulation: Simulation, name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.started_at_ms = 1
        self.is_up = True
        self.is_unresponsive = False
        self.is_listening = True
        self.is_cut_from_store = False
        self.is_draining = False
        self.checked_in_at = 0.0
        self.holds: list[Hold] = []
        self.accepted_grants: list[tuple[int, int, int]] = []

    @property
    def incarnation(self) -> Incarnation:
        return (self.name, self.started_at_ms)

    def entry(self) -> TargetEntry:
        state = TargetState.DRAINING if self.is_draining else TargetState.READY
        return TargetEntry(self.name, self.started_at_ms, SERVICE, "a1", (self.name, 80), 6, state)

    def live_holds(self) -> list[Hold]:
        if not self.is_up:
            return []
        return [hold for hold in self.holds if hold.until > self.simulation.now]

    def crash(self) -> None:
        self.is_up = False
        self.holds.clear()
        self.accepted_grants.clear()

    def restart(self) -> None:
        self.is_up = True
        self.started_at_ms += 1

    def grant(self, grant: Grant, arrived_at: float) -> CommandResult:
        for first, last, fence in self.accepted_grants:
            if first <= grant.last and grant.first <= last and fence > grant.fence:
                return CommandResult.FENCED
        self.accepted_grants.append((grant.first, grant.last, grant.fence))
        self._remove_keys(grant.first, grant.last)
        until = arrived_at + grant.hold_s * SLOW_CLOCK_FACTOR
        self.holds.append(Hold(grant.first, grant.last, grant.fence, until))
        return CommandResult.ACCEPTED

    def release(self, release: Release) -> str:
        # The fence of a release is not recorded. The specification can be read either way; this
        # is the reading that guarantees less.
        self._remove_keys(release.first, release.last)
        return f"handover-{release.first}"

    def _remove_keys(self, first: int, last: int) -> None:
        kept = []
        for hold in self.holds:
            if hold.last < first or hold.first > last:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(replace(hold, last=first - 1))
            if hold.last > last:
                kept.append(replace(hold, first=last + 1))
        self.holds = kept


class Instance:
    """An instance that runs the assignment controller."""

    def __init__(self, simulation: Simulation, name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.start_count = 0
        self.is_up = True
        self.is_cut_from_store = False
        self.paused_until = 0.0
        self.unreachable: set[str] = set()
        self.connected_incarnation_by_target: dict[str, Incarnation] = {}
        self.failed_at_by_target: dict[str, float] = {}
        self.start()

    def start(self) -> None:
        self.start_count += 1
        self.is_up = True
        boot = f"{self.name}-{self.start_count}"
        self.boot = boot
        self.assignment_controller = AssignmentController(
            Leadership(self.name, boot, self.simulation.rng)
        )
        self.assignment_controller.set_services(frozenset({SERVICE}))
        self.polled_at = float("-inf")
        # Highest era that this process has seen.
        self.era = 0
        self.connected_incarnation_by_target.clear()

    @property
    def is_running(self) -> bool:
        return self.is_up and self.simulation.now >= self.paused_until

    @property
    def can_reach_store(self) -> bool:
        return self.simulation.store.is_up and not self.is_cut_from_store

    def step(self) -> None:
        if not self.is_running:
            return
        if self.can_reach_store and self.simulation.now >= self.polled_at + POLL_INTERVAL_S:
            self.polled_at = self.simulation.now
            self._read_store()
        if self.simulation.demand is not None:
            self.assignment_controller.set_demand(self.simulation.now, self.simulation.demand)
        for command in self.assignment_controller.commands(self.simulation.now):
            self._execute(command)

    def resign(self) -> None:
        """Give up leadership, as at the start of a planned stop."""
        self.assignment_controller.resign(self.simulation.now)

    def _read_store(self) -> None:
        store, now = self.simulation.store, self.simulation.now
        reads_leader = reads_table = True
        if self.simulation.reads_tables_apart:
            reads_leader, reads_table = self.simulation.rng.choice(
                ((True, True), (True, False), (False, True))
            )
        self.era = store.era
        if store.row_by_key.get(f"instance/{self.name}", ("", 0))[0] != self.boot:
            store.write(f"instance/{self.name}", self.boot, {})
        self.assignment_controller.observe_era(now, store.version)
        for key, (value, number) in store.row_by_key.items():
            version = version_of(store.era, number)
            if key.startswith("instance/") and reads_table:
                self.assignment_controller.leadership.observe_boot(
                    now, key.removeprefix("instance/"), str(value), version
                )
            elif isinstance(value, LeaderRecord) and reads_leader:
                self.assignment_controller.observe_leader(now, replace(value, version=version))
            elif isinstance(value, KeyMap) and reads_table:
                self.assignment_controller.observe_map(replace(value, version=version))
        if reads_leader:
            self.assignment_controller.leadership.record_complete_read(now, store.version)
        if reads_table:
            self.assignment_controller.record_table_read(now, store.version)
        self.assignment_controller.set_targets(now, self._view())
        self.assignment_controller.record_confirmation(now)

    def _view(self) -> TargetView:
        now = self.simulation.now
        for target in self.simulation.targets.values():
            if target.is_up and not target.is_cut_from_store:
                target.checked_in_at = now
        listed = [
            target.entry()
            for target in self.simulation.targets.values()
            if now - target.checked_in_at < CHECK_IN_TTL_S
        ]
        usable = tuple(entry for entry in listed if entry.state is TargetState.READY)
        return TargetView({entry.target_id: entry for entry in listed}, {SERVICE: usable})

    def _execute(self, command: Command) -> None:
        if isinstance(command, Grant):
            self._send_grant(command)
        elif isinstance(command, Release):
            self._send_release(command)
        elif isinstance(command, WriteMap):
            self._write_map(command)
        elif isinstance(command, WriteLeader):
            self._write_leader(command)

    def _deliver_later(
        self, delay_s: float, action: Callable[[AssignmentController], None]
    ) -> None:
        assignment_controller = self.assignment_controller

        def deliver() -> None:
            if self.assignment_controller is assignment_controller and self.is_up:
                if self.simulation.now < self.paused_until:
                    self.simulation.schedule(self.paused_until - self.simulation.now, deliver)
                else:
                    action(assignment_controller)

        self.simulation.schedule(delay_s, deliver)

    def _send_grant(self, grant: Grant) -> None:
        simulation = self.simulation
        target = simulation.targets[grant.entry.target_id]
        delay_s = simulation.rng.uniform(0.001, 0.06)
        simulation.record_grant(grant)
        if grant.issued_at <= self.failed_at_by_target.get(target.name, float("-inf")):
            self._end_grant(grant, CommandResult.NOT_SENT, 0.0)
        elif target.is_unresponsive or target.name in self.unreachable:
            self._end_grant(grant, CommandResult.FAILED, GRANT_TIMEOUT_S)
        elif not (target.is_up and target.is_listening):
            self._end_grant(grant, CommandResult.REFUSED_CONNECTION, delay_s)
        elif (
            self.connected_incarnation_by_target.setdefault(target.name, target.incarnation)
            != target.incarnation
        ):
            # The connection belongs to a process that has ended.
            del self.connected_incarnation_by_target[target.name]
            self.failed_at_by_target[target.name] = simulation.now
            self._end_grant(grant, CommandResult.FAILED, delay_s)
        elif simulation.rng.random() < simulation.late_delivery_rate:
            arrived_at, incarnation = simulation.now + delay_s, target.incarnation
            simulation.schedule(
                simulation.rng.uniform(2.0, 12.0),
                lambda: self._deliver_late_grant(target, incarnation, grant, arrived_at),
            )
            self._end_grant(grant, CommandResult.FAILED, GRANT_TIMEOUT_S)
        else:
            arrived_at = simulation.now + delay_s
            incarnation = target.incarnation

            def arrive() -> None:
                if target.is_up and target.incarnation == incarnation:
                    self._end_grant(grant, target.grant(grant, arrived_at), delay_s)
                else:
                    self._end_grant(grant, CommandResult.FAILED, delay_s)

            simulation.schedule(delay_s, arrive)

    @staticmethod
    def _deliver_late_grant(
        target: Target, incarnation: Incarnation, grant: Grant, arrived_at: float
    ) -> None:
        if target.is_up and target.incarnation == incarnation:
            target.grant(grant, arrived_at)

    def _end_grant(self, grant: Grant, result: CommandResult, delay_s: float) -> None:
        ended_at = self.simulation.now + delay_s
        self._deliver_later(
            delay_s,
            lambda assignment_controller: assignment_controller.handle_grant_ended(
                self.simulation.now, GrantEnded(grant, result, ended_at)
            ),
        )

    def _send_release(self, release: Release) -> None:
        simulation = self.simulation
        target = simulation.targets[release.entry.target_id]
        if target.is_unresponsive or target.name in self.unreachable:
            self._end_release(release, CommandResult.FAILED, 1.0)
        elif not (target.is_up and target.is_listening):
            self._end_release(release, CommandResult.REFUSED_CONNECTION, 0.01)
        else:
            work_s = simulation.rng.uniform(0.0, 0.4)

            def arrive() -> None:
                if not target.is_up:
                    self._end_release(release, CommandResult.FAILED, 0.01)
                    return
                handover = target.release(release)
                self._end_release(release, CommandResult.ACCEPTED, work_s, handover)

            simulation.schedule(simulation.rng.uniform(0.001, 0.06), arrive)

    def _end_release(
        self, release: Release, result: CommandResult, delay_s: float, handover: str | None = None
    ) -> None:
        ended = ReleaseEnded(release, result, handover)
        self._deliver_later(
            delay_s,
            lambda assignment_controller: assignment_controller.handle_release_ended(
                self.simulation.now, ended
            ),
        )

    def _write_map(self, write: WriteMap) -> None:
        key = f"map/{write.key_map.service}"
        expected = {key: write.key_map.version}
        if write.leader_version is not None:
            expected["leader"] = write.leader_version
        self._write(
            key,
            write.key_map,
            expected,
            lambda assignment_controller, result, version: (
                assignment_controller.handle_map_written(
                    self.simulation.now, MapWritten(write, result, version)
                )
            ),
        )

    def _write_leader(self, write: WriteLeader) -> None:
        requested_at = self.simulation.now
        self._write(
            "leader",
            LeaderRecord(
                "" if write.resigns else self.name,
                "" if write.resigns else self.boot,
                earlier_renewals_s=write.earlier_renewals_s,
                era=write.era,
                lost_renewals_s=write.lost_renewals_s,
            ),
            {"leader": write.version},
            lambda assignment_controller, result, version: (
                assignment_controller.handle_leader_written(
                    self.simulation.now, LeaderWritten(write, result, requested_at, version)
                )
            ),
        )

    def _write_late(self, key: str, value: object, numbers: dict[str, int]) -> None:
        self.simulation.store.write(key, value, numbers)

    def _write(
        self,
        key: str,
        value: object,
        expected: dict[str, int],
        handle_result: Callable[[AssignmentController, WriteResult, int], None],
    ) -> None:
        simulation = self.simulation
        eras = {era_of(version) for version in expected.values() if version}
        if eras - {self.era}:
            # The client does not send a condition of an earlier era.
            self._deliver_later(
                0.0,
                lambda assignment_controller: handle_result(
                    assignment_controller, WriteResult.CONFLICT, 0
                ),
            )
            return
        numbers = {name: number_of(version) for name, version in expected.items()}
        if not self.can_reach_store:
            simulation.store.refused_map_writes += key.startswith("map/")
            self._deliver_later(
                simulation.store.refusal_s,
                lambda assignment_controller: handle_result(
                    assignment_controller, WriteResult.UNKNOWN, 0
                ),
            )
            return
        if simulation.rng.random() < simulation.late_delivery_rate:
            # The store executes the write some seconds later, if its condition still holds, and
            # does not respond.
            simulation.schedule(
                simulation.rng.uniform(0.0, 6.0),
                lambda: self._write_late(key, value, numbers),
            )
            self._deliver_later(
                1.5,
                lambda assignment_controller: handle_result(
                    assignment_controller, WriteResult.UNKNOWN, 0
                ),
            )
            return

        def arrive() -> None:
            version = simulation.store.write(key, value, numbers)
            result = WriteResult.CONFLICT if version is None else WriteResult.WRITTEN
            if version is not None and eras - {era_of(version)}:
                result = WriteResult.UNKNOWN
            self._deliver_later(
                0.01,
                lambda assignment_controller: handle_result(
                    assignment_controller, result, version or 0
                ),
            )

        simulation.schedule(simulation.rng.uniform(0.004, 0.1), arrive)
