"""The ownership decisions of one instance for one service.

The state machine takes events with the monotonic time and returns effects. Its task carries
them out and feeds the results back, so tests step it without sockets or sleeping.
"""

from collections.abc import Iterator, Mapping

from damasktide.ownership.announcements import Announcements
from damasktide.ownership.authority import Authority
from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.constants import HOLD_LIMIT_S, RENEW_INTERVAL_S
from damasktide.ownership.effects import (
    AskAdopt,
    AskConfirm,
    ConfirmReply,
    Effect,
    ReadMap,
    ServerReply,
    WriteMap,
)
from damasktide.ownership.guarding import DomainGuard
from damasktide.ownership.moves import MoveProgress
from damasktide.ownership.ownership_settings import OwnershipSettings
from damasktide.ownership.placement import Placement
from damasktide.ownership.proposals import Proposals
from damasktide.ownership.reachability import ReachabilityTracker
from damasktide.ownership.renewals import Renewals
from damasktide.ownership.rights import NEVER
from damasktide.ownership.roles import Roles
from damasktide.ownership.shard_map import ShardMap
from damasktide.ownership.ticks import TickPlan
from damasktide.ownership.views import View, roles_of, view_of

__all__ = ["OwnershipSettings", "ServiceOwnership"]


class ServiceOwnership:
    """Decides reads, confirmations, grants and moves for one service.

    Parameters
    ----------
    settings
        The instance and the service.
    """

    def __init__(self, settings: OwnershipSettings) -> None:
        self._settings = settings
        self._map: ShardMap | None = None
        self._surroundings = ClusterState()
        self._authority = Authority(settings.instance_id, settings.policy)
        self._reachability = ReachabilityTracker()
        self._moves = MoveProgress(settings.policy, settings.max_deadline_s)
        self._placement = Placement(settings.space, settings.domain, settings.region_by_domain)
        self._proposals = Proposals(self._placement, self._moves, self._reachability)
        self._renewals = Renewals(self._placement, self._reachability, self._authority)
        self._guard = DomainGuard()
        self._announcements = Announcements()
        self._ticks = TickPlan()
        self._is_right_awaited = True
        self._controlled: frozenset[str] = frozenset()
        self._is_row_absent = False
        self._is_write_open = False
        self._write_sent_at = NEVER
        self._is_read_due = False
        self._propose_after = NEVER
        self._newest_version_seen = 0
        self._behind_ids: set[str] = set()

    @property
    def shard_map(self) -> ShardMap | None:
        """The adopted map, or None before the first one."""
        return self._map

    def right_valid_until(self, domain: str) -> float:
        """Return the monotonic time at which the right for ``domain`` ends."""
        if self._map is None:
            return NEVER
        return self._authority.valid_until(domain, self._map.confirmers)

    def update_cluster_state(self, cluster_state: ClusterState) -> None:
        """Take over what other tasks have published."""
        self._surroundings = cluster_state

    def waiting_until(self, now: float) -> Mapping[int, float]:
        """Return for each pending shard the time at which its move completes at the latest."""
        return self._moves.complete_at_by_shard(self._map, now) if self._map else {}

    def next_tick_at(self) -> float:
        """Return the monotonic time at which the next tick is due; events may bring it forward.

        A task that only ticks once per renewal interval is safe as well, but slower.
        """
        times = [self._reachability.suspect_at(one) for one in self._controlled]
        if self._map is not None:
            times.append(self._moves.next_completion(self._map, self._ticks.last_at))
        return self._ticks.next_at(times)

    # Events -----------------------------------------------------------------------------

    def on_table_read(self, shard_map: ShardMap | None, requested_at: float, now: float) -> None:
        """Take a read of the map row that was sent at ``requested_at``; None means no row."""
        self._is_row_absent = shard_map is None
        if shard_map is not None:
            self._adopt(shard_map, now)
            self._ticks.is_due |= (
                self._authority.map_row_read_at < self._propose_after <= requested_at
            )
            self._authority.record_news(shard_map.version, requested_at)
            self._note_right(requested_at)

    def on_write_result(self, written: ShardMap | None, now: float) -> None:
        """Take the row after a write, own or another's; None means that it is not known."""
        self._is_write_open = False
        self._ticks.is_due = True
        self._is_read_due = written is None
        if written is None:
            self._propose_after = now
        else:
            self._announcements.record_write(self._map)
            self._adopt(written, now)
            self._authority.record_news(written.version, self._write_sent_at)

    def on_adopt_request(self, shard_map: ShardMap, now: float) -> int:
        """Adopt a map from a peer and return the version that is adopted now."""
        self._adopt(shard_map, now)
        return self._map.version if self._map is not None else 0

    def on_adopt_reply(self, instance_id: str, version: int, now: float) -> None:
        """Take an acknowledgement of ``version`` or newer."""
        self._moves.record_ack(instance_id, version, now)

    def on_confirm_request(self, now: float) -> ConfirmReply:
        """Answer what this instance has adopted."""
        version = self._map.version if self._map is not None else 0
        age = now - self._authority.map_row_read_at
        return ConfirmReply(
            instance_id=self._settings.instance_id,
            version=version,
            news_age_s=age if age < HOLD_LIMIT_S else None,
            reached_age_by_server=self._reachability.reached_ages(now),
        )

    def on_confirm_reply(self, reply: ConfirmReply, requested_at: float) -> None:
        """Take a confirmer's reply to a request that was sent at ``requested_at``."""
        self._guard.record_reply(reply.instance_id, requested_at)
        for server_id, age in reply.reached_age_by_server:
            self._reachability.record_peer_contact(server_id, requested_at - age)
        if self._map is not None and reply.version < self._map.version:
            self._behind_ids.add(reply.instance_id)
        if self._map is None or reply.version != self._map.version:
            self._note_newer_version(reply.version)
            return
        if reply.news_age_s is not None:
            self._authority.record_news(reply.version, requested_at - reply.news_age_s)
        self._authority.record_confirmation(reply.instance_id, reply.version, requested_at)
        self._note_right(requested_at)

    def on_server_reply(self, server_id: str, reply: ServerReply, now: float) -> None:
        """Take a backend server's response to a query or a grant."""
        before = self._reachability.get(server_id)
        self._reachability.record_reply(server_id, reply, now)
        after = self._reachability.get(server_id)
        if before is not None and after is not None:
            is_drained = before.draining > 0 and after.draining == 0
            is_new = (before.term, before.accepted_version) != (after.term, after.accepted_version)
            self._ticks.is_due |= is_drained or is_new

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Yield what is to be done now; called when :meth:`next_tick_at` is reached."""
        if self._ticks.start(now):
            # The process was paused, so missing responses say nothing about the others.
            self._reachability.restart_watch(now)
            self._guard.restart(now)
        if self._map is None:
            yield from self._first_effects(self._roles(), now)
            return
        view = view_of(self._settings, self._surroundings, self._map, self._guard, now)
        yield from self._news_effects(view)
        self._renewals.watch(view)
        self._controlled = self._reachability.watched_ids() & view.controlled
        yield from self._renewals.effects(view)
        yield from self._adopt_effects(view)
        yield from self._write_effects(view)

    def _roles(self) -> Roles:
        return roles_of(self._settings, self._surroundings)

    def _first_effects(self, roles: Roles, now: float) -> Iterator[Effect]:
        """Yield what is to be done before a map is adopted."""
        yield ReadMap()
        if self._is_write_open or not self._is_row_absent or not roles.is_placer():
            return
        first = self._placement.first_map(self._settings.service, self._surroundings)
        if first is not None:
            yield self._write(first, 0, now)

    def _news_effects(self, view: View) -> Iterator[Effect]:
        readers = view.roles.readers()
        is_stale = self._authority.is_stale(view.now)
        if self._settings.instance_id in readers or is_stale or self._is_read_due:
            self._is_read_due = False
            yield ReadMap()
        asked = {*readers, *view.guarded_ids, *self._renewals.backup_renewers(view)}
        if is_stale:
            self._authority.confirm_to_self(view.now)
            asked.update(self._authority.confirmers_to_ask(view.shard_map.confirmers))
            asked.update(view.roles.neighbour(int(view.now / RENEW_INTERVAL_S)))
        for instance_id in sorted(asked - {self._settings.instance_id}):
            yield AskConfirm(instance_id)

    def _adopt(self, shard_map: ShardMap, now: float) -> None:
        if self._map is not None and shard_map.version <= self._map.version:
            return
        guarded = self._roles().guarded_domain(shard_map.confirmers)
        if self._map is not None and guarded is not None:
            self._guard.record_change(self._map, shard_map, guarded, now)
        self._map = shard_map
        self._ticks.is_due = True
        self._is_right_awaited = True
        self._authority.adopt(shard_map.version)
        self._moves.on_new_map(shard_map, self._settings.instance_id, now)

    def _note_newer_version(self, version: int) -> None:
        """Read the table once when a peer knows a newer version."""
        known = self._map.version if self._map is not None else 0
        if version > max(known, self._newest_version_seen):
            self._newest_version_seen = version
            self._is_read_due = True
            self._ticks.is_due = True

    def _note_right(self, at: float) -> None:
        """Ask for a tick when the rights under a new version become valid."""
        if self._map is None or not self._is_right_awaited:
            return
        if self._authority.has_right(self._map.confirmers, at):
            self._is_right_awaited = False
            self._ticks.is_due = True

    def _adopt_effects(self, view: View) -> Iterator[Effect]:
        asked = self._moves.missing_acks(view.shard_map, view.controlled)
        if view.roles.is_confirmer_manager():
            asked |= self._moves.missing_settlement_acks(view.shard_map)
        asked.update(self._announcements.recipients(view.shard_map, view.roles))
        if self._authority.is_stale(view.now):
            # Without the table, a process that started late gets the map only from its peers.
            asked |= self._behind_ids
        self._behind_ids.clear()
        for instance_id in sorted(asked - {self._settings.instance_id}):
            yield AskAdopt(instance_id, view.shard_map)

    def _write_effects(self, view: View) -> Iterator[Effect]:
        """Propose at most one change of the map; only with recent table news.

        After a conflict or an error the news must be newer, so that the same proposal is not
        repeated.
        """
        if self._is_write_open or not self._authority.may_propose(view.now):
            return
        if self._authority.map_row_read_at < self._propose_after:
            return
        proposed = self._proposals.next_map(view)
        if proposed is not None:
            yield self._write(proposed, view.shard_map.version, view.now)

    def _write(self, shard_map: ShardMap, based_on: int, now: float) -> WriteMap:
        self._is_write_open = True
        self._write_sent_at = now
        return WriteMap(shard_map, based_on)
