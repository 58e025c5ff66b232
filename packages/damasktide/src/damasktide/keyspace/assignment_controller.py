"""Decides on grants, releases and changes of the maps; a state machine without network."""

from collections.abc import Iterator, Mapping
from dataclasses import replace

from loguru import logger

from damasktide.keyspace.grant_expiry import GrantExpiryTracker
from damasktide.keyspace.key_map import Incarnation, KeyMap, KeyRange, merged
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
from damasktide.keyspace.path_delay import LAST_ARRIVAL_S, PathDelay
from damasktide.keyspace.planner import FENCE_STEP, Holder, plan
from damasktide.keyspace.reachability import ReachabilityTracker
from damasktide.targets.target import TargetEntry, TargetView

# The keys of a lost target wait until its hold has passed, and are to be served again within 2 s.
HOLD_S = 1.5
# Three renewals fit into a hold, so that a lost packet or a slow answer ends none.
RENEWAL_PERIOD_S = 0.4
RELEASE_RETRY_S = 0.4
READ_RETRY_S = 0.5
# Besides the time for which a call may still arrive. Longer than a hold: a target that does not
# answer is silent before it is tried again.
BARRIER_RETRY_S = 2.35
# A grant that could not be sent within this time is decided anew.
SEND_WITHIN_S = 0.3

_RangeKey = tuple[str, int, int, int]
# Id of a previous holder with first key, last key and the next holder's fencing token.
_Transfer = tuple[str, int, int, int]


class AssignmentController:
    """Keeps each key granted to one target; only the leader acts.

    Times are seconds on the lease clock.

    Parameters
    ----------
    leadership
        The lease of the leader.
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
        self._silence = GrantExpiryTracker(hold_s)
        self._reachability = ReachabilityTracker()
        self._path_delay = PathDelay(region_by_domain or {})
        self._services: frozenset[str] = frozenset()
        self._view = TargetView()
        self._entry_by_life: dict[Incarnation, TargetEntry] = {}
        self._cold_until_by_life: dict[Incarnation, float] = {}
        self._map_by_service: dict[str, KeyMap] = {}
        self._sent_at_by_range: dict[_RangeKey, float] = {}
        self._open_grants: set[_RangeKey] = set()
        self._fenced: set[_RangeKey] = set()
        self._settled_transfers: set[_RangeKey] = set()
        self._barriers: set[_Transfer] = set()
        self._transfer_due: dict[_Transfer, float] = {}
        self._barrier_due_by_id: dict[str, float] = {}
        self._unconfirmed_since: dict[Incarnation, float] = {}
        self._confirmed_at = float("-inf")
        self._writing: set[str] = set()
        self._read_at = float("-inf")
        self._read_due = float("-inf")
        self._refenced_at = float("-inf")

    @property
    def map_by_service(self) -> Mapping[str, KeyMap]:
        """The maps as last seen in the store."""
        return self._map_by_service

    @property
    def leadership(self) -> Leadership:
        """The lease of the leader."""
        return self._leadership

    def set_services(self, services: frozenset[str]) -> None:
        """Replace the names of the services whose keys are granted."""
        self._services = services

    def set_targets(self, now: float, view: TargetView) -> None:
        """Replace what is known of the targets."""
        self._view = view
        for entry in view.entry_by_id.values():
            if (
                entry.cold_start_remaining_s > 0.0
                and self._entry_by_life.get(entry.incarnation) != entry
            ):
                self._cold_until_by_life[entry.incarnation] = now + entry.cold_start_remaining_s
            self._entry_by_life[entry.incarnation] = entry
        self._reachability.keep_only(frozenset(view.entry_by_id))
        self._forget_entries()

    def set_confirmed(self, requested_at: float) -> None:
        """Note that the store confirmed the list of targets, asked at ``requested_at``."""
        self._confirmed_at = max(self._confirmed_at, requested_at)

    def map_seen(self, key_map: KeyMap) -> None:
        """Take in a map of the store; an older version than a known one is ignored."""
        known = self._map_by_service.get(key_map.service)
        if known is None or key_map.version > known.version:
            self._map_by_service[key_map.service] = key_map

    def table_read(self, requested_at: float) -> None:
        """Take in that all rows have been read when asked for at ``requested_at``.

        A map that is missing then does not exist.
        """
        self._read_at = max(self._read_at, requested_at)

    def commands(self, now: float) -> Iterator[Command]:
        """Yield what is to be done now; to be called several times a second."""
        if self._read_at > float("-inf") and self._leadership.wants_write(now):
            self._leadership.write_begins()
            yield WriteLeader(self._leadership.record.version)
        if not self._leadership.may_renew(now):
            return
        if self._read_at <= self._leadership.took_over_at():
            # An earlier leader's last write is not known yet, and could grant the same keys.
            if now >= self._read_due:
                self._read_due = now + READ_RETRY_S
                yield ReadMaps()
            return
        self._refence_transfers()
        for service in sorted(self._services):
            key_map = self._map_by_service.get(service, KeyMap(service))
            yield from self._grants(now, key_map)
            yield from self._transfers(now, key_map)
            if service not in self._writing:
                yield from self._changes(now, key_map)

    def resign(self) -> WriteLeader | None:
        """Stop taking part; return the write that lets another instance take over at once."""
        was_leader = self._leadership.is_leader
        self._leadership.resign()
        version = self._leadership.record.version
        return WriteLeader(version, resigns=True) if was_leader else None

    def grant_ended(self, now: float, ended: GrantEnded) -> None:
        """Take in the end of a grant."""
        grant, result = ended.grant, ended.result
        incarnation = grant.entry.incarnation
        key = (grant.entry.service, grant.first, grant.last, grant.fence)
        self._open_grants.discard(key)
        self._silence.grant_ended(ended.ended_at, incarnation, result.may_have_arrived)
        transfer = (incarnation[0], grant.first, grant.last, grant.fence + 1)
        self._transfer_due.pop(transfer, None)
        if result is CommandResult.NOT_SENT:
            return
        if result.is_answered:
            self._reachability.answered(incarnation)
            duration_s = ended.ended_at - grant.issued_at
            self._path_delay.answered(ended.ended_at, grant.entry.domain, duration_s)
        else:
            last_arrival_s = self._path_delay.last_arrival_s(now, grant.entry.domain)
            self._reachability.failed(now, incarnation, result.shows_leaving, last_arrival_s)
            self._unconfirmed_since[incarnation] = now
            logger.bind(
                target=incarnation[0], first=grant.first, last=grant.last, result=result.value
            ).warning("grant without an answer")
        if result.shows_end:
            self._silence.died(incarnation)
        if result is CommandResult.FAILED:
            # A barrier may be carried out late, also after a release: the transfer starts anew
            # with a higher token. No range has the token above that of a holder's own grant.
            self._fenced.add((grant.entry.service, *transfer[1:]))
            # Each try that may arrive prolongs the time until the target is certainly silent.
            self._barrier_due_by_id[incarnation[0]] = now + BARRIER_RETRY_S + last_arrival_s
        if result is CommandResult.ACCEPTED:
            self._silence.forget(grant.first, grant.last, grant.fence)
            self._barriers.add(transfer)
        if result is CommandResult.FENCED:
            self._fenced.add(key)

    def release_ended(self, now: float, ended: ReleaseEnded) -> None:
        """Take in the end of a release."""
        release = ended.release
        first, last, fence = release.first, release.last, release.fence
        if ended.result is CommandResult.ACCEPTED:
            self._silence.released(release.holder, first, last, fence, ended.handover)
        elif ended.result.shows_end:
            self._silence.died(release.holder)
        self._transfer_due[release.holder[0], first, last, fence] = now + RELEASE_RETRY_S
        logger.bind(
            target=release.holder[0],
            first=release.first,
            last=release.last,
            result=ended.result.value,
            has_handover=ended.handover is not None,
        ).info("release ended")

    def map_written(self, written: MapWritten) -> None:
        """Take in the end of a write of a map."""
        key_map = written.write.key_map
        self._writing.discard(key_map.service)
        if written.result is WriteResult.WRITTEN:
            self.map_seen(replace(key_map, version=written.version))

    def leader_written(self, now: float, written: LeaderWritten) -> None:
        """Take in the end of a write of the leader's row."""
        if written.result is not WriteResult.WRITTEN:
            is_conflict = written.result is WriteResult.CONFLICT
            self._leadership.write_failed(now, is_conflict)
            return
        was_leader = self._leadership.is_leader
        self._leadership.wrote(now, written.requested_at, written.version)
        if not was_leader:
            logger.bind(version=written.version).info("became the leader")

    def leader_seen(self, now: float, record: LeaderRecord) -> None:
        """Take in the leader's row."""
        was_leader = self._leadership.is_leader
        self._leadership.seen(now, record)
        if was_leader and not self._leadership.is_leader:
            logger.bind(leader=record.instance, version=record.version).info("no longer leader")

    def _refence_transfers(self) -> None:
        """Start transfers of an earlier leader anew; its barriers may still be on their way."""
        took_over_at = self._leadership.took_over_at()
        if self._refenced_at == took_over_at:
            return
        self._refenced_at = took_over_at
        for service, key_map in self._map_by_service.items():
            for item in key_map.ranges:
                if not item.is_settled:
                    self._fenced.add((service, item.first, item.last, item.fence))

    def _grants(self, now: float, key_map: KeyMap) -> Iterator[Grant]:
        for item in key_map.ranges:
            key = (key_map.service, item.first, item.last, item.fence)
            entry = self._view.entry_by_id.get(item.holder[0])
            if entry is None or entry.incarnation != item.holder or key in self._open_grants:
                continue
            if now < self._sent_at_by_range.get(key, float("-inf")) + RENEWAL_PERIOD_S:
                continue
            if key in self._fenced or not item.is_settled:
                continue
            if self._silence.is_dead(item.holder):
                # Another process may listen there by now, and must not get an old grant.
                continue
            if not self._is_confirmed(item.holder):
                continue
            self._sent_at_by_range[key] = now
            self._open_grants.add(key)
            self._silence.grant_sent(item.holder)
            handover = self._silence.handover(item)
            yield self._grant(now, entry, item, item.fence, handover)

    def _transfers(self, now: float, key_map: KeyMap) -> Iterator[Grant | Release]:
        """Take keys back from their previous holder: a barrier first, then the release.

        The barrier is a grant to the previous holder with a token between the old and the new
        one. The target then refuses every older grant, whether it comes late or from an instance
        that does not know yet that it leads no longer.
        """
        for item in key_map.ranges:
            if item.previous is not None:
                command = self._transfer(now, key_map.service, item, item.previous)
                if command is not None:
                    yield command

    def _transfer(
        self, now: float, service: str, item: KeyRange, incarnation: Incarnation
    ) -> Grant | Release | None:
        key_of_range = (service, item.first, item.last, item.fence)
        if key_of_range in self._fenced or key_of_range in self._settled_transfers:
            # A barrier after the map has been written would give the keys back.
            return None
        entry = self._view.entry_by_id.get(incarnation[0]) or self._entry_by_life.get(incarnation)
        key = (incarnation[0], item.first, item.last, item.fence)
        if (
            entry is None
            or self._silence.is_released(incarnation, item)
            or self._silence.is_dead(incarnation)
        ):
            return None
        if now < self._transfer_due.get(key, float("-inf")):
            return None
        if key in self._barriers:
            # Set anew when the release has ended.
            self._transfer_due[key] = float("inf")
            return Release(entry, incarnation, item.first, item.last, item.fence)
        if not self._is_confirmed(entry.incarnation) or now < self._barrier_due_by_id.get(
            incarnation[0], now
        ):
            return None
        self._transfer_due[key] = float("inf")
        self._silence.grant_sent(entry.incarnation)
        return self._grant(now, entry, item, item.fence - 1, None)

    def _grant(
        self, now: float, entry: TargetEntry, item: KeyRange, fence: int, handover: str | None
    ) -> Grant:
        not_after = now + SEND_WITHIN_S
        return Grant(entry, item.first, item.last, fence, self._hold_s, now, not_after, handover)

    def _is_confirmed(self, incarnation: Incarnation) -> bool:
        """Return whether the target may be called: after a failure, only if it is listed since.

        Otherwise a new process at its address, which knows no fencing token, could accept an old
        grant from an instance that is cut off from the store.
        """
        since = self._unconfirmed_since.get(incarnation)
        if since is None:
            return True
        if self._confirmed_at <= since:
            return False
        del self._unconfirmed_since[incarnation]
        return True

    def _changes(self, now: float, key_map: KeyMap) -> Iterator[WriteMap]:
        changed = plan(self._settled(now, key_map), self._holders(now, key_map))
        if changed.ranges == key_map.ranges:
            return
        self._writing.add(key_map.service)
        yield WriteMap(changed, self._leadership.record.version)

    def _settled(self, now: float, key_map: KeyMap) -> KeyMap:
        """Return the map in which silent previous holders and fenced tokens are replaced."""
        ranges = []
        last_fence = key_map.last_fence
        for item in key_map.ranges:
            previous = item.previous
            key = (key_map.service, item.first, item.last, item.fence)
            if key in self._fenced:
                last_fence += FENCE_STEP
                ranges.append(replace(item, fence=last_fence))
            elif previous is not None and (
                key in self._settled_transfers or self._is_silent(now, item, previous)
            ):
                self._settled_transfers.add(key)
                ranges.append(replace(item, previous=None))
            else:
                ranges.append(item)
        return replace(key_map, last_fence=last_fence, ranges=tuple(merged(ranges)))

    def _is_silent(self, now: float, item: KeyRange, incarnation: Incarnation) -> bool:
        entry = self._entry_by_life.get(incarnation)
        last_arrival_s = (
            self._path_delay.last_arrival_s(now, entry.domain)
            if entry is not None
            else LAST_ARRIVAL_S
        )
        others_silent_at = self._leadership.others_silent_at()
        return self._silence.is_silent(now, item, incarnation, others_silent_at, last_arrival_s)

    def _holders(self, now: float, key_map: KeyMap) -> list[Holder]:
        """Return the targets that may hold keys.

        A cold target gets no more keys while others are warm, because it tolerates few requests.
        """
        usable = self._view.usable_by_service.get(key_map.service, ())
        reachable = self._reachability.reachable(now, (entry.incarnation for entry in usable))
        named = {item.holder for item in key_map.ranges}
        found = [entry for entry in usable if entry.incarnation in reachable]
        ready = [
            entry
            for entry in found
            if entry.incarnation in named or not self._is_cold(now, entry.incarnation)
        ]
        return [Holder(entry.incarnation, entry.slots) for entry in ready or found]

    def _is_cold(self, now: float, incarnation: Incarnation) -> bool:
        return now < self._cold_until_by_life.get(incarnation, float("-inf"))

    def _forget_entries(self) -> None:
        """Drop entries of targets that are neither listed nor named in a map."""
        named = {
            incarnation
            for key_map in self._map_by_service.values()
            for item in key_map.ranges
            for incarnation in (item.holder, item.previous)
        }
        self._entry_by_life = {
            incarnation: entry
            for incarnation, entry in self._entry_by_life.items()
            if incarnation in named or incarnation[0] in self._view.entry_by_id
        }
        self._cold_until_by_life = {
            incarnation: until
            for incarnation, until in self._cold_until_by_life.items()
            if incarnation in self._entry_by_life
        }
