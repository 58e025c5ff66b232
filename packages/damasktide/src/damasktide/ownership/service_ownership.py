"""The ownership decisions of one instance for one service.

A state machine: each event comes with the monotonic time, and each tick yields effects. The
ownership task executes the effects and passes their results back as events, so tests can step
the state machine without sockets or sleeping.
"""

from collections.abc import Iterator, Mapping

from damasktide.ownership.announcements import Announcements
from damasktide.ownership.authority import Authority
from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.constants import MAX_STORELESS_RENEWAL_S, RENEW_INTERVAL_S
from damasktide.ownership.domain_monitor import DomainMonitor
from damasktide.ownership.effects import (
    AskAdopt,
    AskConfirm,
    ConfirmReply,
    Effect,
    ReadMap,
    ServerReply,
    WriteMap,
)
from damasktide.ownership.moves import MoveProgress
from damasktide.ownership.ownership_settings import OwnershipSettings
from damasktide.ownership.placement import Placement
from damasktide.ownership.proposals import Proposals
from damasktide.ownership.reachability import ReachabilityTracker
from damasktide.ownership.renewal_leases import NEVER
from damasktide.ownership.renewals import Renewals
from damasktide.ownership.roles import Roles
from damasktide.ownership.shard_map import ShardMap
from damasktide.ownership.ticks import TickSchedule
from damasktide.ownership.views import View, roles_of, view_of

__all__ = ["OwnershipSettings", "ServiceOwnership"]


class ServiceOwnership:
    """Decides on map reads, confirmations, grants and moves for one service.

    Parameters
    ----------
    settings
        The instance and the service.
    """

    def __init__(self, settings: OwnershipSettings) -> None:
        self._settings = settings
        self._map: ShardMap | None = None
        self._cluster_state = ClusterState()
        self._authority = Authority(settings.instance_id, settings.policy)
        self._reachability = ReachabilityTracker()
        self._moves = MoveProgress(settings.policy, settings.max_deadline_s)
        self._placement = Placement(settings.space, settings.domain, settings.region_by_domain)
        self._proposals = Proposals(self._placement, self._moves, self._reachability)
        self._renewals = Renewals(self._placement, self._reachability, self._authority)
        self._domain_monitor = DomainMonitor()
        self._announcements = Announcements()
        self._ticks = TickSchedule()
        self._is_awaiting_leases = True
        self._controlled: frozenset[str] = frozenset()
        self._is_row_absent = False
        self._is_write_in_flight = False
        self._write_sent_at = NEVER
        self._is_read_due = False
        self._propose_after = NEVER
        self._newest_version_observed = 0
        self._outdated_peer_ids: set[str] = set()

    @property
    def shard_map(self) -> ShardMap | None:
        """The adopted map, or None before the first one."""
        return self._map

    def renewal_lease_valid_until(self, domain: str) -> float:
        """Return the monotonic time at which the renewal lease for ``domain`` expires."""
        if self._map is None:
            return NEVER
        return self._authority.valid_until(domain, self._map.confirmers)

    def update_cluster_state(self, cluster_state: ClusterState) -> None:
        """Replace the cluster state that the decisions use."""
        self._cluster_state = cluster_state

    def complete_at_by_shard(self, now: float) -> Mapping[int, float]:
        """Return the latest completion time of the move of each pending shard."""
        return self._moves.complete_at_by_shard(self._map, now) if self._map else {}

    def next_tick_at(self) -> float:
        """Return the monotonic time at which the next tick is due; events may bring it forward.

        Ticking only once per renewal interval is also safe, but reacts more slowly.
        """
        times = [self._reachability.suspect_at(server_id) for server_id in self._controlled]
        if self._map is not None:
            times.append(self._moves.next_completion(self._map, self._ticks.last_at))
        return self._ticks.next_at(times)

    # Events -----------------------------------------------------------------------------

    def on_map_row_read(self, shard_map: ShardMap | None, requested_at: float, now: float) -> None:
        """Handle a read of the map row that was sent at ``requested_at``; None means no row."""
        self._is_row_absent = shard_map is None
        if shard_map is not None:
            self._adopt(shard_map, now)
            self._ticks.is_due |= (
                self._authority.map_row_read_at < self._propose_after <= requested_at
            )
            self._authority.record_map_row_read(shard_map.version, requested_at)
            self._check_renewal_leases(requested_at)

    def on_write_result(self, written: ShardMap | None, now: float) -> None:
        """Handle the result of a write.

        Parameters
        ----------
        written
            The map in the row after the write, which another instance may have written, or None
            if it is not known.
        now
            Monotonic time.
        """
        self._is_write_in_flight = False
        self._ticks.is_due = True
        self._is_read_due = written is None
        if written is None:
            self._propose_after = now
        else:
            self._announcements.record_write(self._map)
            self._adopt(written, now)
            self._authority.record_map_row_read(written.version, self._write_sent_at)

    def on_adopt_request(self, shard_map: ShardMap, now: float) -> int:
        """Adopt a map from a peer if it is newer; return the version adopted afterwards."""
        self._adopt(shard_map, now)
        return self._map.version if self._map is not None else 0

    def on_adopt_reply(self, instance_id: str, version: int, now: float) -> None:
        """Record that an instance has adopted ``version`` or newer."""
        self._moves.record_ack(instance_id, version, now)

    def on_confirm_request(self, now: float) -> ConfirmReply:
        """Return the reply to a peer that asks which version this instance has adopted."""
        version = self._map.version if self._map is not None else 0
        age = now - self._authority.map_row_read_at
        return ConfirmReply(
            instance_id=self._settings.instance_id,
            version=version,
            map_row_read_age_s=age if age < MAX_STORELESS_RENEWAL_S else None,
            reached_age_by_server=self._reachability.reached_ages(now),
        )

    def on_confirm_reply(self, reply: ConfirmReply, requested_at: float) -> None:
        """Handle a peer's reply to a confirm request that was sent at ``requested_at``."""
        self._domain_monitor.record_reply(reply.instance_id, requested_at)
        for server_id, age in reply.reached_age_by_server:
            self._reachability.record_peer_contact(server_id, requested_at - age)
        if self._map is not None and reply.version < self._map.version:
            self._outdated_peer_ids.add(reply.instance_id)
        if self._map is None or reply.version != self._map.version:
            self._record_newer_version(reply.version)
            return
        if reply.map_row_read_age_s is not None:
            self._authority.record_map_row_read(
                reply.version, requested_at - reply.map_row_read_age_s
            )
        self._authority.record_confirmation(reply.instance_id, reply.version, requested_at)
        self._check_renewal_leases(requested_at)

    def on_server_reply(self, server_id: str, reply: ServerReply, now: float) -> None:
        """Handle a backend server's response to a query or a grant."""
        before = self._reachability.get(server_id)
        self._reachability.record_reply(server_id, reply, now)
        after = self._reachability.get(server_id)
        if before is not None and after is not None:
            is_drained = before.draining > 0 and after.draining == 0
            is_changed = (before.term, before.accepted_version) != (
                after.term,
                after.accepted_version,
            )
            self._ticks.is_due |= is_drained or is_changed

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Yield the effects to execute now; call it when :meth:`next_tick_at` is reached."""
        if self._ticks.start(now):
            # This process was paused, so missing responses do not show that a server or a peer
            # is down.
            self._reachability.restart_watch(now)
            self._domain_monitor.restart(now)
        if self._map is None:
            yield from self._bootstrap_effects(self._roles(), now)
            return
        view = view_of(self._settings, self._cluster_state, self._map, self._domain_monitor, now)
        yield from self._refresh_effects(view)
        self._renewals.watch(view)
        self._controlled = self._reachability.watched_ids() & view.controlled
        yield from self._renewals.effects(view)
        yield from self._adopt_effects(view)
        yield from self._write_effects(view)

    def _roles(self) -> Roles:
        return roles_of(self._settings, self._cluster_state)

    def _bootstrap_effects(self, roles: Roles, now: float) -> Iterator[Effect]:
        """Yield the effects of a tick while no map is adopted yet."""
        yield ReadMap()
        if self._is_write_in_flight or not self._is_row_absent or not roles.is_placer():
            return
        first_map = self._placement.first_map(self._settings.service, self._cluster_state)
        if first_map is not None:
            yield self._write(first_map, 0, now)

    def _refresh_effects(self, view: View) -> Iterator[Effect]:
        """Yield a read of the map row and confirm requests to peers, as far as they are due."""
        readers = view.roles.readers()
        is_stale = self._authority.is_stale(view.now)
        if self._settings.instance_id in readers or is_stale or self._is_read_due:
            self._is_read_due = False
            yield ReadMap()
        peer_ids = {*readers, *view.monitored_ids, *self._renewals.backup_renewers(view)}
        if is_stale:
            self._authority.confirm_to_self(view.now)
            peer_ids.update(self._authority.confirmers_to_ask(view.shard_map.confirmers))
            peer_ids.update(view.roles.round_robin_peer(int(view.now / RENEW_INTERVAL_S)))
        for instance_id in sorted(peer_ids - {self._settings.instance_id}):
            yield AskConfirm(instance_id)

    def _adopt(self, shard_map: ShardMap, now: float) -> None:
        if self._map is not None and shard_map.version <= self._map.version:
            return
        monitored = self._roles().monitored_domain(shard_map.confirmers)
        if self._map is not None and monitored is not None:
            self._domain_monitor.record_change(self._map, shard_map, monitored, now)
        self._map = shard_map
        self._ticks.is_due = True
        self._is_awaiting_leases = True
        self._authority.adopt(shard_map.version)
        self._moves.on_new_map(shard_map, self._settings.instance_id, now)

    def _record_newer_version(self, version: int) -> None:
        """Request one read of the map row for each newer version that a peer reports."""
        adopted = self._map.version if self._map is not None else 0
        if version > max(adopted, self._newest_version_observed):
            self._newest_version_observed = version
            self._is_read_due = True
            self._ticks.is_due = True

    def _check_renewal_leases(self, at: float) -> None:
        """Request a tick once the renewal leases under a new version become valid."""
        if self._map is None or not self._is_awaiting_leases:
            return
        if self._authority.has_renewal_leases(self._map.confirmers, at):
            self._is_awaiting_leases = False
            self._ticks.is_due = True

    def _adopt_effects(self, view: View) -> Iterator[Effect]:
        peer_ids = self._moves.missing_acks(view.shard_map, view.controlled)
        if view.roles.is_confirmer_manager():
            peer_ids |= self._moves.missing_settlement_acks(view.shard_map)
        peer_ids.update(self._announcements.recipients(view.shard_map, view.roles))
        if self._authority.is_stale(view.now):
            # While the store is unavailable, an instance that has just started can get the map
            # only from its peers.
            peer_ids |= self._outdated_peer_ids
        self._outdated_peer_ids.clear()
        for instance_id in sorted(peer_ids - {self._settings.instance_id}):
            yield AskAdopt(instance_id, view.shard_map)

    def _write_effects(self, view: View) -> Iterator[Effect]:
        """Propose at most one change of the map, and only after a recent read of the map row.

        After a write whose result is not known, the read must have been requested since then, so
        that the same proposal is not repeated.
        """
        if self._is_write_in_flight or not self._authority.may_propose(view.now):
            return
        if self._authority.map_row_read_at < self._propose_after:
            return
        proposed = self._proposals.next_map(view)
        if proposed is not None:
            yield self._write(proposed, view.shard_map.version, view.now)

    def _write(self, shard_map: ShardMap, based_on: int, now: float) -> WriteMap:
        self._is_write_in_flight = True
        self._write_sent_at = now
        return WriteMap(shard_map, based_on)
