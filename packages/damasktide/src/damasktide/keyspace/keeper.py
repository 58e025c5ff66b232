"""Decides on grants, releases and changes of the maps; a state machine without network."""

from collections.abc import Iterator, Mapping
from dataclasses import replace

from loguru import logger

from damasktide.keyspace.contacts import Contacts
from damasktide.keyspace.key_map import KeyMap, KeyRange, Life, merged
from damasktide.keyspace.leadership import LeaderRecord, Leadership
from damasktide.keyspace.messages import (
    Grant,
    GrantEnded,
    LeaderWritten,
    MapWritten,
    Order,
    OrderResult,
    Release,
    ReleaseEnded,
    WriteLeader,
    WriteMap,
    WriteResult,
)
from damasktide.keyspace.planner import Holder, plan
from damasktide.keyspace.silence import SilenceRecord
from damasktide.targets.target import TargetEntry, TargetView

# Long enough for a new leader to be found and to renew, short because the keys of a silent target
# wait for it to pass.
HOLD_S = 3.0
RENEWAL_PERIOD_S = 0.75
RELEASE_RETRY_S = 0.4
# A grant that could not be sent within this time is decided anew.
SEND_WITHIN_S = 0.3

_RangeKey = tuple[str, int, int, int]


class Keeper:
    """Keeps each key granted to one target; only the leader acts.

    Times are seconds on the lease clock.

    Parameters
    ----------
    leadership
        The lease of the leader.
    hold_s
        Time for which a grant holds.
    """

    def __init__(self, leadership: Leadership, hold_s: float = HOLD_S) -> None:
        self._leadership = leadership
        self._hold_s = hold_s
        self._silence = SilenceRecord(hold_s)
        self._contacts = Contacts()
        self._services: frozenset[str] = frozenset()
        self._view = TargetView()
        self._entry_by_life: dict[Life, TargetEntry] = {}
        self._map_by_service: dict[str, KeyMap] = {}
        self._sent_at_by_range: dict[_RangeKey, float] = {}
        self._open_life_by_grant: dict[_RangeKey, Life] = {}
        self._accepted: set[_RangeKey] = set()
        self._fenced: set[_RangeKey] = set()
        self._release_due: dict[tuple[Life, int, int, int], float] = {}
        self._writing: set[str] = set()
        self._has_read = False

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

    def set_targets(self, view: TargetView) -> None:
        """Replace what is known of the targets."""
        self._view = view
        for entry in view.entry_by_id.values():
            self._entry_by_life[entry.life] = entry
        self._contacts.keep_only(frozenset(view.entry_by_id))
        self._forget_entries()

    def map_seen(self, key_map: KeyMap) -> None:
        """Take in a map of the store; an older version than a known one is ignored."""
        known = self._map_by_service.get(key_map.service)
        if known is None or key_map.version > known.version:
            self._map_by_service[key_map.service] = key_map

    def table_read(self) -> None:
        """Take in that all rows have been read once, so a missing map does not exist."""
        self._has_read = True

    def orders(self, now: float) -> Iterator[Order]:
        """Yield what is to be done now; to be called several times a second."""
        if self._has_read and self._leadership.wants_write(now):
            self._leadership.write_begins()
            yield WriteLeader(self._leadership.record.version)
        if not self._leadership.may_renew(now):
            return
        for service in sorted(self._services):
            key_map = self._map_by_service.get(service, KeyMap(service))
            yield from self._grants(now, key_map)
            yield from self._releases(now, key_map)
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
        life = grant.entry.life
        key = (grant.entry.service, grant.first, grant.last, grant.fence)
        self._open_life_by_grant.pop(key, None)
        is_certain = result is not OrderResult.FAILED
        self._silence.grant_ended(ended.ended_at, life, is_certain)
        if result is OrderResult.NOT_SENT:
            return
        if result.is_answered:
            self._contacts.answered(life)
        else:
            self._contacts.failed(now, life, result.shows_end)
            logger.bind(
                target=life[0], first=grant.first, last=grant.last, result=result.value
            ).warning("grant without an answer")
        if result.shows_end:
            self._silence.died(life)
        if result is OrderResult.ACCEPTED:
            self._accepted.add(key)
        if result is OrderResult.FENCED:
            self._fenced.add(key)

    def release_ended(self, now: float, ended: ReleaseEnded) -> None:
        """Take in the end of a release."""
        release = ended.release
        key = (release.holder, release.first, release.last, release.fence)
        if ended.result is OrderResult.ACCEPTED:
            self._silence.released(*key, ended.handover)
        elif ended.result.shows_end:
            self._silence.died(release.holder)
        self._release_due[key] = now + RELEASE_RETRY_S
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
            self._leadership.write_failed(now)
            return
        was_leader = self._leadership.is_leader
        self._leadership.wrote(now, written.asked_at, written.version)
        if not was_leader:
            logger.bind(version=written.version).info("became the leader")

    def leader_seen(self, now: float, record: LeaderRecord) -> None:
        """Take in the leader's row."""
        was_leader = self._leadership.is_leader
        self._leadership.seen(now, record)
        if was_leader and not self._leadership.is_leader:
            logger.bind(leader=record.instance, version=record.version).info("no longer leader")

    def _grants(self, now: float, key_map: KeyMap) -> Iterator[Grant]:
        for item in key_map.ranges:
            key = (key_map.service, item.first, item.last, item.fence)
            entry = self._view.entry_by_id.get(item.holder[0])
            if entry is None or entry.life != item.holder or key in self._open_life_by_grant:
                continue
            if now < self._sent_at_by_range.get(key, float("-inf")) + RENEWAL_PERIOD_S:
                continue
            if key in self._fenced or not self._is_free(now, item):
                continue
            if self._silence.is_dead(item.holder):
                # Another process may listen there by now, and must not get an old grant.
                continue
            self._sent_at_by_range[key] = now
            self._open_life_by_grant[key] = item.holder
            self._silence.grant_sent(item.holder)
            yield Grant(
                entry,
                item.first,
                item.last,
                item.fence,
                self._hold_s,
                now + SEND_WITHIN_S,
                None if item.is_granted else self._silence.handover(item),
            )

    def _is_free(self, now: float, item: KeyRange) -> bool:
        """Return whether no target but the holder can hold a key of the range."""
        if item.is_granted:
            return True
        others_silent_at = self._leadership.others_silent_at()
        return all(
            self._silence.is_silent(now, item, life, others_silent_at) for life in item.previous
        )

    def _releases(self, now: float, key_map: KeyMap) -> Iterator[Release]:
        for item in key_map.ranges:
            if item.is_granted:
                continue
            for life in item.previous:
                key = (life, item.first, item.last, item.fence)
                entry = self._view.entry_by_id.get(life[0]) or self._entry_by_life.get(life)
                if entry is None or self._silence.is_released(life, item):
                    continue
                if now < self._release_due.get(key, float("-inf")):
                    continue
                if self._has_open_grant(life, item):
                    continue
                # Set anew when the release has ended.
                self._release_due[key] = float("inf")
                yield Release(entry, life, item.first, item.last, item.fence)

    def _has_open_grant(self, life: Life, item: KeyRange) -> bool:
        """Return whether a grant on its way would give ``life`` keys of the range back."""
        return any(
            open_life == life and first <= item.last and last >= item.first
            for (_, first, last, _), open_life in self._open_life_by_grant.items()
        )

    def _changes(self, now: float, key_map: KeyMap) -> Iterator[WriteMap]:
        changed = plan(self._with_answers(key_map), self._holders(now, key_map.service))
        if changed.ranges == key_map.ranges:
            return
        self._writing.add(key_map.service)
        yield WriteMap(changed, self._leadership.record.version)

    def _with_answers(self, key_map: KeyMap) -> KeyMap:
        """Return the map with accepted grants noted and fenced ranges given a new token."""
        ranges = []
        last_fence = key_map.last_fence
        for item in key_map.ranges:
            key = (key_map.service, item.first, item.last, item.fence)
            if not item.is_granted and key in self._accepted:
                self._silence.forget(item)
                ranges.append(replace(item, is_granted=True, previous=()))
            elif key in self._fenced:
                last_fence += 1
                ranges.append(replace(item, fence=last_fence, is_granted=False))
            else:
                ranges.append(item)
        return replace(key_map, last_fence=last_fence, ranges=tuple(merged(ranges)))

    def _holders(self, now: float, service: str) -> list[Holder]:
        usable = self._view.usable_by_service.get(service, ())
        reachable = self._contacts.reachable(now, (entry.life for entry in usable))
        return [Holder(entry.life, entry.slots) for entry in usable if entry.life in reachable]

    def _forget_entries(self) -> None:
        """Drop entries of targets that are neither listed nor named in a map."""
        named = {
            life
            for key_map in self._map_by_service.values()
            for item in key_map.ranges
            for life in (item.holder, *item.previous)
        }
        self._entry_by_life = {
            life: entry
            for life, entry in self._entry_by_life.items()
            if life in named or life[0] in self._view.entry_by_id
        }
