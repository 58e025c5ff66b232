"""State machine, free of I/O, that decides on grants, releases and changes of the maps."""

from collections.abc import Iterator, Mapping
from dataclasses import replace

from loguru import logger

from damasktide.demand.messages import DemandReport
from damasktide.keyspace.balancer import KeyBalancer
from damasktide.keyspace.grant_expiry import GrantExpiryTracker
from damasktide.keyspace.key_map import Incarnation, KeyMap, KeyRange, merge_adjacent
from damasktide.keyspace.known_maps import KnownMaps
from damasktide.keyspace.leadership import LeaderRecord, Leadership
from damasktide.keyspace.messages import (
    Command,
    CommandResult,
    Grant,
    GrantEnded,
    LeaderWritten,
    MapWritten,
    ReadMaps,
    Release,
    ReleaseEnded,
    WriteLeader,
    WriteMap,
    WriteResult,
)
from damasktide.keyspace.path_delay import MAX_ARRIVAL_DELAY_S, PathDelay
from damasktide.keyspace.planner import FENCE_STEP, Holder
from damasktide.keyspace.reachability import ReachabilityTracker
from damasktide.rows.store import era_of
from damasktide.targets.target import TargetEntry, TargetView

# The keys of a lost target can move only after its hold has expired, and must be served again
# within 2 s.
HOLD_S = 1.5
# Three renewals fit into a hold, so a lost packet or a slow response does not let it expire.
GRANT_RENEWAL_INTERVAL_S = 0.4
RELEASE_RETRY_S = 0.4
READ_RETRY_S = 0.5
# Pause before the next barrier (see _transfers) to a target after a failed one, in addition to the
# time for which the failed call may still arrive. Longer than a hold, so that the grants of an
# unresponsive target expire before the next attempt.
BARRIER_RETRY_S = 2.35
# A grant that was not sent within this time is discarded, and a new decision is made.
GRANT_SEND_TIMEOUT_S = 0.3
# Pause after a map write that got no response or was refused. A store that refuses calls responds
# within milliseconds, and each call is billed.
MAP_WRITE_RETRY_S = 0.4
# After a restore, an instance that does not lead writes a map that is newer than its row after
# this time and up to as much again, so that the leader comes first and one of the others next.
RESTORED_MAP_DELAY_S = 1.0

# Service, first key, last key and fencing token.
_RangeKey = tuple[str, int, int, int]
# Id of the previous holder, first key, last key and the next holder's fencing token.
_TransferKey = tuple[str, int, int, int]


class AssignmentController:
    """Keeps each key granted to one target; issues commands only on the leader.

    Times are seconds on the lease clock.

    Parameters
    ----------
    leadership
        Lease that elects the leader.
    hold_s
        Time for which a grant holds.
    region_by_domain
        Region of each failure domain.
    """

    def __init__(
        self,
        leadership: Leadership,
        hold_s: float = HOLD_S,
        region_by_domain: Mapping[str, str] | None = None,
    ) -> None:
        self._leadership = leadership
        self._hold_s = hold_s
        self._grant_expiry = GrantExpiryTracker(hold_s)
        self._reachability = ReachabilityTracker()
        self._path_delay = PathDelay(region_by_domain or {})
        self._services: frozenset[str] = frozenset()
        self._view = TargetView()
        self._entry_by_incarnation: dict[Incarnation, TargetEntry] = {}
        self._cold_until_by_incarnation: dict[Incarnation, float] = {}
        self._maps = KnownMaps()
        # Ranges of the known maps that this leader had granted when the store was restored.
        self._renewable_ranges: frozenset[_RangeKey] = frozenset()
        # The takeover after which it had granted them; they are not renewed after another one.
        self._renewable_since = float("-inf")
        self._restored_map_due_at_by_service: dict[str, float] = {}
        self._sent_at_by_range: dict[_RangeKey, float] = {}
        self._pending_grants: set[_RangeKey] = set()
        self._fenced_ranges: set[_RangeKey] = set()
        self._settled_transfers: set[_RangeKey] = set()
        self._accepted_barriers: set[_TransferKey] = set()
        self._transfer_due_at_by_key: dict[_TransferKey, float] = {}
        self._barrier_due_at_by_id: dict[str, float] = {}
        self._unconfirmed_since_by_incarnation: dict[Incarnation, float] = {}
        self._confirmed_at = float("-inf")
        self._services_being_written: set[str] = set()
        self._map_write_due_at_by_service: dict[str, float] = {}
        self._table_requested_at = float("-inf")
        self._next_read_at = float("-inf")
        self._refenced_at = float("-inf")
        self._balancer = KeyBalancer()

    @property
    def map_by_service(self) -> Mapping[str, KeyMap]:
        """The newest known maps."""
        return self._maps.by_service

    @property
    def leadership(self) -> Leadership:
        """The lease that elects the leader."""
        return self._leadership

    def set_services(self, services: frozenset[str]) -> None:
        """Replace the names of the services whose keys are granted."""
        self._services = services

    def set_targets(self, now: float, view: TargetView) -> None:
        """Replace the known targets."""
        self._view = view
        for entry in view.entry_by_id.values():
            if (
                entry.cold_start_remaining_s > 0.0
                and self._entry_by_incarnation.get(entry.incarnation) != entry
            ):
                self._cold_until_by_incarnation[entry.incarnation] = (
                    now + entry.cold_start_remaining_s
                )
            self._entry_by_incarnation[entry.incarnation] = entry
        self._reachability.retain_only(frozenset(view.entry_by_id))
        self._forget_unused_entries()

    def set_demand(self, now: float, demand: DemandReport) -> None:
        """Replace the demand on keys, as summed over all instances."""
        self._balancer.set_demand(now, demand)

    def record_confirmation(self, requested_at: float) -> None:
        """Record that the store, queried at ``requested_at``, confirmed the list of targets."""
        self._confirmed_at = max(self._confirmed_at, requested_at)

    def observe_map(self, key_map: KeyMap) -> None:
        """Apply a map read from the store, unless it is older than the known one."""
        self._maps.observe(key_map)

    def observe_era(self, now: float, version: int) -> None:
        """Record the version of a response before its rows; its era may be a new one."""
        era = era_of(version)
        if era <= self._maps.era:
            self._maps.observe_era(era)
            self._leadership.observe_era(now, era)
            return
        renewable_ranges = frozenset(self._granted_ranges(now))
        knows_newest_maps = self._table_requested_at > self._leadership.took_over_at() and not any(
            self._may_be_outdated(key_map) for key_map in self._maps.by_service.values()
        )
        is_leader = self._leadership.is_leader
        self._leadership.observe_era(now, era, knows_newest_maps)
        if self._maps.observe_era(era):
            self._renewable_ranges = renewable_ranges
            self._renewable_since = self._leadership.took_over_at()
            logger.bind(era=era, is_leader=is_leader).warning(
                "the store was restored from an older copy"
            )

    def record_table_read(self, requested_at: float, version: int = 0) -> None:
        """Record a read of the complete table that was requested at ``requested_at``.

        A map that this read, which is complete up to ``version``, did not return has no row.
        """
        self._table_requested_at = max(self._table_requested_at, requested_at)
        self._maps.record_complete_read(version)

    def commands(self, now: float) -> Iterator[Command]:
        """Yield the commands that are due; must be called several times a second."""
        if self._table_requested_at > float("-inf") and self._leadership.is_write_due(now):
            self._leadership.record_write_started()
            yield WriteLeader(
                self._leadership.record.version,
                self._leadership.earlier_renewals_s(now),
                self._leadership.has_resigned,
                self._maps.era,
                0.0 if self._maps.are_current else self._leadership.lost_renewals_s(now),
            )
        yield from self._restored_map_writes(now)
        if not self._leadership.may_renew(now):
            return
        if self._table_requested_at <= self._leadership.took_over_at():
            # The last write of an earlier leader may not have been read yet; granting by an older
            # map could give the same keys to a second target.
            if now >= self._next_read_at:
                self._next_read_at = now + READ_RETRY_S
                yield ReadMaps()
            return
        self._refence_transfers()
        for service in sorted(self._services):
            key_map = self._maps.by_service.get(service, KeyMap(service))
            yield from self._grants(now, key_map)
            if self._may_be_outdated(key_map) and not self._have_lost_grants_ended(now, key_map):
                continue
            yield from self._transfers(now, key_map)
            if self._may_write_map(now, service):
                yield from self._map_writes(now, key_map)

    def resign(self, now: float) -> None:
        """Give up leadership for good; the next command of a leader is its resignation."""
        self._leadership.resign(now)

    def handle_grant_ended(self, now: float, ended: GrantEnded) -> None:
        """Apply the outcome of a grant."""
        grant, result = ended.grant, ended.result
        incarnation = grant.entry.incarnation
        key = (grant.entry.service, grant.first, grant.last, grant.fence)
        self._pending_grants.discard(key)
        self._grant_expiry.record_grant_ended(ended.ended_at, incarnation, result.may_have_arrived)
        # If the grant is a barrier, the token of its transfer is the one that follows.
        transfer = (incarnation[0], grant.first, grant.last, grant.fence + 1)
        self._transfer_due_at_by_key.pop(transfer, None)
        if result is CommandResult.NOT_SENT:
            return
        if result.is_answered:
            self._reachability.record_response(incarnation)
            duration_s = ended.ended_at - grant.issued_at
            self._path_delay.record_response(ended.ended_at, grant.entry.domain, duration_s)
        else:
            max_arrival_delay_s = self._path_delay.max_arrival_delay_s(now, grant.entry.domain)
            self._reachability.record_failure(
                now, incarnation, result.is_target_leaving, max_arrival_delay_s
            )
            self._unconfirmed_since_by_incarnation[incarnation] = now
            logger.bind(
                target=incarnation[0], first=grant.first, last=grant.last, result=result.value
            ).warning("grant failed")
        if result.has_process_ended:
            self._grant_expiry.record_process_end(incarnation)
        if result is CommandResult.FAILED:
            # The target may execute a barrier late, even after the release, so the transfer
            # restarts with a higher token. For a grant to the holder itself this has no effect:
            # no range has the token that follows the holder's.
            self._fenced_ranges.add((grant.entry.service, *transfer[1:]))
            # Each attempt that may still arrive postpones the time at which the target's grants
            # have certainly expired.
            self._barrier_due_at_by_id[incarnation[0]] = (
                now + BARRIER_RETRY_S + max_arrival_delay_s
            )
        if result is CommandResult.ACCEPTED:
            self._grant_expiry.forget_transfer(grant.first, grant.last, grant.fence)
            self._accepted_barriers.add(transfer)
        if result is CommandResult.FENCED:
            self._fenced_ranges.add(key)

    def handle_release_ended(self, now: float, ended: ReleaseEnded) -> None:
        """Apply the outcome of a release."""
        release = ended.release
        first, last, fence = release.first, release.last, release.fence
        if ended.result is CommandResult.ACCEPTED:
            self._grant_expiry.record_release(release.holder, first, last, fence, ended.handover)
        elif ended.result.has_process_ended:
            self._grant_expiry.record_process_end(release.holder)
        self._transfer_due_at_by_key[release.holder[0], first, last, fence] = now + RELEASE_RETRY_S
        logger.bind(
            target=release.holder[0],
            first=release.first,
            last=release.last,
            result=ended.result.value,
            has_handover=ended.handover is not None,
        ).info("release ended")

    def handle_map_written(self, now: float, written: MapWritten) -> None:
        """Apply the outcome of a map write."""
        key_map = written.write.key_map
        self._services_being_written.discard(key_map.service)
        if written.result is WriteResult.WRITTEN:
            self.observe_map(replace(key_map, version=written.version))
        elif written.result is WriteResult.CONFLICT:
            self._maps.forget_rewrite(key_map.service)
        else:
            self._map_write_due_at_by_service[key_map.service] = now + MAP_WRITE_RETRY_S

    def handle_leader_written(self, now: float, written: LeaderWritten) -> None:
        """Apply the outcome of a write of the leader's row."""
        if written.result is not WriteResult.WRITTEN:
            is_conflict = written.result is WriteResult.CONFLICT
            self._leadership.record_write_failure(now, is_conflict)
            return
        if written.write.resigns:
            self._leadership.record_resignation(written.version)
            return
        was_leader = self._leadership.is_leader
        self._leadership.record_write(now, written.requested_at, written.version)
        if self._leadership.is_leader and not was_leader:
            logger.bind(version=written.version).info("became the leader")

    def observe_leader(self, now: float, record: LeaderRecord) -> None:
        """Apply the leader's row as read from the store."""
        was_leader = self._leadership.is_leader
        self.observe_era(now, record.version)
        self._leadership.observe(now, record)
        if was_leader and not self._leadership.is_leader:
            logger.bind(leader=record.instance, version=record.version).info("no longer leader")

    def _may_write_map(self, now: float, service: str) -> bool:
        """Return whether a write of the service's map may be sent.

        It is made on condition of the leader's row, which a write in flight is about to change.
        """
        return (
            service not in self._services_being_written
            and not self._leadership.is_writing
            and era_of(self._leadership.record.version) == self._maps.era
            and now >= self._map_write_due_at_by_service.get(service, now)
        )

    def _refence_transfers(self) -> None:
        """Restart the transfers of an earlier leader, whose barriers may still be in flight."""
        took_over_at = self._leadership.took_over_at()
        if self._refenced_at == took_over_at:
            return
        self._refenced_at = took_over_at
        for service, key_map in self._maps.by_service.items():
            for key_range in key_map.ranges:
                if not key_range.is_settled:
                    self._fenced_ranges.add(
                        (service, key_range.first, key_range.last, key_range.fence)
                    )

    def _granted_ranges(self, now: float) -> Iterator[_RangeKey]:
        """Yield the ranges that this leader may have granted under the known maps.

        It may renew them after a restore. An instance that led between this one's last write and
        the restore had to wait for the end of this one's renewals, unless it fenced them off.
        """
        if (
            not self._leadership.may_renew(now)
            or self._table_requested_at <= self._leadership.took_over_at()
        ):
            return
        for service, key_map in self._maps.by_service.items():
            is_outdated = self._may_be_outdated(key_map)
            for key_range in key_map.ranges:
                key = (service, key_range.first, key_range.last, key_range.fence)
                if (
                    key_range.is_settled
                    and key in self._sent_at_by_range
                    and (not is_outdated or self._is_renewable(key))
                ):
                    yield key

    def _is_renewable(self, key: _RangeKey) -> bool:
        return (
            key in self._renewable_ranges
            and self._renewable_since == self._leadership.took_over_at()
        )

    def _may_be_outdated(self, key_map: KeyMap) -> bool:
        """Return whether targets may hold keys by a newer map, which the store has lost."""
        return self._maps.is_of_earlier_era(key_map) and not self._leadership.is_sole_leader

    def _have_lost_grants_ended(self, now: float, key_map: KeyMap) -> bool:
        """Return whether all grants that leaders made before a restore have ended."""
        if era_of(self._leadership.record.version) < self._maps.era:
            # The leader's row has not been read since the restore.
            return False
        if not key_map.ranges and not self._leadership.has_seen_restore:
            # The first map of the service.
            return True
        max_arrival_delay_s = max(
            (
                self._path_delay.max_arrival_delay_s(now, entry.domain)
                for entry in self._entry_by_incarnation.values()
            ),
            default=MAX_ARRIVAL_DELAY_S,
        )
        return (
            now
            >= self._leadership.lost_renewals_end_at()
            + max_arrival_delay_s
            + self._grant_expiry.longest_hold_s
        )

    def _restored_map_writes(self, now: float) -> Iterator[WriteMap]:
        """Yield writes of maps that are newer than their rows, if this instance does not lead.

        A leader that does not know them adopts them once it has read them.
        """
        outranked = self._maps.outranked_services
        for service in sorted(outranked):
            due_at = self._restored_map_due_at_by_service.setdefault(
                service, now + self._leadership.random_delay_s(RESTORED_MAP_DELAY_S)
            )
            is_due = now >= max(due_at, self._map_write_due_at_by_service.get(service, now))
            if (
                is_due
                and not self._leadership.is_leader
                and service not in self._services_being_written
            ):
                self._services_being_written.add(service)
                yield WriteMap(self._maps.by_service[service], None)
        for service in set(self._restored_map_due_at_by_service) - outranked:
            del self._restored_map_due_at_by_service[service]

    def _grants(self, now: float, key_map: KeyMap) -> Iterator[Grant]:
        may_be_outdated = self._may_be_outdated(key_map)
        for key_range in key_map.ranges:
            key = (key_map.service, key_range.first, key_range.last, key_range.fence)
            entry = self._view.entry_by_id.get(key_range.holder[0])
            if (
                entry is None
                or entry.incarnation != key_range.holder
                or key in self._pending_grants
            ):
                continue
            if now < self._sent_at_by_range.get(key, float("-inf")) + GRANT_RENEWAL_INTERVAL_S:
                continue
            if key in self._fenced_ranges or not key_range.is_settled:
                continue
            if may_be_outdated and not self._is_renewable(key):
                continue
            if self._grant_expiry.has_process_ended(key_range.holder):
                # Another process may listen at the address by now, and must not get this grant.
                continue
            if not self._is_confirmed(key_range.holder):
                continue
            self._sent_at_by_range[key] = now
            self._pending_grants.add(key)
            self._grant_expiry.record_grant_sent(key_range.holder)
            handover = self._grant_expiry.handover(key_range)
            yield self._grant(now, entry, key_range, key_range.fence, handover)

    def _transfers(self, now: float, key_map: KeyMap) -> Iterator[Grant | Release]:
        """Yield the commands that take keys back from previous holders: barriers, then releases.

        The barrier is a grant to the previous holder with a token between the old and the new
        one. The target then refuses every older grant, whether it is delayed or comes from an
        instance that has lost leadership without knowing it.
        """
        for key_range in key_map.ranges:
            if key_range.previous is not None:
                command = self._transfer(now, key_map.service, key_range, key_range.previous)
                if command is not None:
                    yield command

    def _transfer(
        self, now: float, service: str, key_range: KeyRange, incarnation: Incarnation
    ) -> Grant | Release | None:
        range_key = (service, key_range.first, key_range.last, key_range.fence)
        if range_key in self._fenced_ranges or range_key in self._settled_transfers:
            # A barrier sent after the map was written would give the keys back.
            return None
        entry = self._view.entry_by_id.get(incarnation[0]) or self._entry_by_incarnation.get(
            incarnation
        )
        key = (incarnation[0], key_range.first, key_range.last, key_range.fence)
        if (
            entry is None
            or self._grant_expiry.is_released(incarnation, key_range)
            or self._grant_expiry.has_process_ended(incarnation)
        ):
            return None
        if now < self._transfer_due_at_by_key.get(key, float("-inf")):
            return None
        if key in self._accepted_barriers:
            # Replaced by the time of the next attempt when the release ends.
            self._transfer_due_at_by_key[key] = float("inf")
            return Release(entry, incarnation, key_range.first, key_range.last, key_range.fence)
        if not self._is_confirmed(entry.incarnation) or now < self._barrier_due_at_by_id.get(
            incarnation[0], now
        ):
            return None
        self._transfer_due_at_by_key[key] = float("inf")
        self._grant_expiry.record_grant_sent(entry.incarnation)
        return self._grant(now, entry, key_range, key_range.fence - 1, None)

    def _grant(
        self, now: float, entry: TargetEntry, key_range: KeyRange, fence: int, handover: str | None
    ) -> Grant:
        not_after = now + GRANT_SEND_TIMEOUT_S
        return Grant(
            entry, key_range.first, key_range.last, fence, self._hold_s, now, not_after, handover
        )

    def _is_confirmed(self, incarnation: Incarnation) -> bool:
        """Return whether the target may be called.

        After a failure the store must first confirm that the target is still listed. Otherwise a
        new process at its address, which knows no fencing token, could accept an old grant from
        an instance that is partitioned from the store.
        """
        since = self._unconfirmed_since_by_incarnation.get(incarnation)
        if since is None:
            return True
        if self._confirmed_at <= since:
            return False
        del self._unconfirmed_since_by_incarnation[incarnation]
        return True

    def _map_writes(self, now: float, key_map: KeyMap) -> Iterator[WriteMap]:
        settled = self._with_settled_transfers(now, self._maps.in_current_era(key_map))
        changed = self._balancer.assign(now, settled, self._holders(now, key_map))
        is_rewritten = changed.era != key_map.era and bool(key_map.ranges)
        if changed.ranges == key_map.ranges and not is_rewritten:
            return
        self._services_being_written.add(key_map.service)
        yield WriteMap(changed, self._leadership.record.version)

    def _with_settled_transfers(self, now: float, key_map: KeyMap) -> KeyMap:
        """Return the map with expired previous holders removed and fenced tokens replaced."""
        ranges = []
        last_fence = key_map.last_fence
        for key_range in key_map.ranges:
            previous = key_range.previous
            key = (key_map.service, key_range.first, key_range.last, key_range.fence)
            if key in self._fenced_ranges:
                last_fence += FENCE_STEP
                ranges.append(replace(key_range, fence=last_fence))
            elif previous is not None and (
                key in self._settled_transfers or self._has_expired(now, key_range, previous)
            ):
                self._settled_transfers.add(key)
                ranges.append(replace(key_range, previous=None))
            else:
                ranges.append(key_range)
        return replace(key_map, last_fence=last_fence, ranges=tuple(merge_adjacent(ranges)))

    def _has_expired(self, now: float, key_range: KeyRange, incarnation: Incarnation) -> bool:
        entry = self._entry_by_incarnation.get(incarnation)
        max_arrival_delay_s = (
            self._path_delay.max_arrival_delay_s(now, entry.domain)
            if entry is not None
            else MAX_ARRIVAL_DELAY_S
        )
        predecessor_renewals_end_at = self._leadership.predecessor_renewals_end_at()
        return self._grant_expiry.has_expired(
            now, key_range, incarnation, predecessor_renewals_end_at, max_arrival_delay_s
        )

    def _holders(self, now: float, key_map: KeyMap) -> list[Holder]:
        """Return the targets that may hold keys.

        A target that holds no key yet and is or may be cold is left out while others can hold
        keys, because it tolerates few requests.
        """
        usable = self._view.usable_by_service.get(key_map.service, ())
        reachable = self._reachability.reachable(now, (entry.incarnation for entry in usable))
        named = {key_range.holder for key_range in key_map.ranges}
        found = [entry for entry in usable if entry.incarnation in reachable]
        ready = [
            entry
            for entry in found
            if entry.incarnation in named or not self._is_cold(now, entry.incarnation)
        ]
        return [
            Holder(entry.incarnation, entry.slots, self._balancer.speed(entry.incarnation))
            for entry in ready or found
        ]

    def _is_cold(self, now: float, incarnation: Incarnation) -> bool:
        is_unconfirmed = incarnation[0] in self._view.unconfirmed_since_by_id
        return is_unconfirmed or now < self._cold_until_by_incarnation.get(
            incarnation, float("-inf")
        )

    def _forget_unused_entries(self) -> None:
        """Forget the entries of targets that are neither listed nor named in a map."""
        named = {
            incarnation
            for key_map in self._maps.by_service.values()
            for key_range in key_map.ranges
            for incarnation in (key_range.holder, key_range.previous)
        }
        self._entry_by_incarnation = {
            incarnation: entry
            for incarnation, entry in self._entry_by_incarnation.items()
            if incarnation in named or incarnation[0] in self._view.entry_by_id
        }
        self._cold_until_by_incarnation = {
            incarnation: until
            for incarnation, until in self._cold_until_by_incarnation.items()
            if incarnation in self._entry_by_incarnation
        }
