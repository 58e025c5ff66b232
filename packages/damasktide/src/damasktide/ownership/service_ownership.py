"""The ownership decisions of one instance for one service.

The state machine takes events with the monotonic time and returns effects. Its task carries
them out and feeds the results back, so tests step it without sockets or sleeping.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from damasktide.ownership.authority import Authority
from damasktide.ownership.constants import HOLD_LIMIT_S, PAUSED_AFTER_S, SUSPECT_AFTER_S
from damasktide.ownership.contacts import Contact, Contacts
from damasktide.ownership.effects import (
    AskAdopt,
    AskConfirm,
    ConfirmReply,
    Effect,
    QueryServer,
    ReadMap,
    SendGrant,
    ServerReply,
    WriteMap,
)
from damasktide.ownership.moves import MoveProgress
from damasktide.ownership.placement import Placement
from damasktide.ownership.proposals import Proposals, View
from damasktide.ownership.rights import NEVER
from damasktide.ownership.roles import Roles
from damasktide.ownership.shard_map import OwnerServer, ShardMap
from damasktide.ownership.shards import ShardSpace
from damasktide.ownership.surroundings import Surroundings


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """What the decisions need to know of the instance and the service.

    Attributes
    ----------
    instance_id, domain, region
        The instance and where it stands.
    service
        Name of the service.
    space
        How keys map to shards.
    policy
        Isolation policy, ``yield`` or ``hold``.
    region_by_domain
        All failure domains and their regions.
    max_deadline_s
        Longest request deadline where the servers do not check grants, else None.
    """

    instance_id: str
    domain: str
    region: str
    service: str
    space: ShardSpace
    policy: str
    region_by_domain: Mapping[str, str]
    max_deadline_s: float | None = None


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
        self._surroundings = Surroundings()
        self._authority = Authority(settings.instance_id, settings.policy)
        self._contacts = Contacts()
        self._moves = MoveProgress(settings.policy, settings.max_deadline_s)
        self._placement = Placement(settings.space, settings.domain, settings.region_by_domain)
        self._proposals = Proposals(self._placement, self._moves, self._contacts)
        self._is_row_absent = False
        self._is_write_open = False
        self._write_sent_at = NEVER
        self._last_tick_at = NEVER

    @property
    def shard_map(self) -> ShardMap | None:
        """The adopted map, or None before the first one."""
        return self._map

    def right_valid_until(self, domain: str) -> float:
        """Return the monotonic time at which the right for ``domain`` ends."""
        if self._map is None:
            return NEVER
        return self._authority.valid_until(domain, self._map.confirmers)

    def update_surroundings(self, surroundings: Surroundings) -> None:
        """Take over what other tasks have published."""
        self._surroundings = surroundings

    def waiting_until(self, now: float) -> Mapping[int, float]:
        """Return for each pending shard the time at which its move completes at the latest."""
        return self._moves.complete_at_by_shard(self._map, now) if self._map else {}

    # Events -----------------------------------------------------------------------------

    def on_table_read(self, shard_map: ShardMap | None, asked_at: float, now: float) -> None:
        """Take a read of the map row that was sent at ``asked_at``; None means no row."""
        self._is_row_absent = shard_map is None
        if shard_map is not None:
            self._adopt(shard_map, now)
            self._authority.record_news(shard_map.version, asked_at)

    def on_write_result(self, written: ShardMap | None, now: float) -> None:
        """Take the row after a write, own or another's; None means that it is not known."""
        self._is_write_open = False
        if written is not None:
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
        age = now - self._authority.table_news_at
        return ConfirmReply(
            instance_id=self._settings.instance_id,
            version=version,
            news_age_s=age if age < HOLD_LIMIT_S else None,
            reached_age_by_server=self._contacts.reached_ages(now),
        )

    def on_confirm_reply(self, reply: ConfirmReply, asked_at: float) -> None:
        """Take a confirmer's reply to a request that was sent at ``asked_at``."""
        for server_id, age in reply.reached_age_by_server:
            self._contacts.record_peer_contact(server_id, asked_at - age)
        if self._map is None or reply.version != self._map.version:
            return
        if reply.news_age_s is not None:
            self._authority.record_news(reply.version, asked_at - reply.news_age_s)
        self._authority.record_confirmation(reply.instance_id, reply.version, asked_at)

    def on_server_reply(self, server_id: str, reply: ServerReply, now: float) -> None:
        """Take a backend server's response to a query or a grant."""
        self._contacts.record_reply(server_id, reply, now)

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Yield what is to be done now; called once per renewal interval."""
        if now - self._last_tick_at > PAUSED_AFTER_S:
            # The process was paused, so missing responses say nothing about the servers.
            self._contacts.restart_watch(now)
        self._last_tick_at = now
        roles = self._roles()
        yield from self._news_effects(roles, now)
        if self._map is None:
            yield from self._creation_effects(roles, now)
            return
        yield from self._grant_effects(roles, now)
        yield from self._adopt_effects(roles, now)
        yield from self._write_effects(roles, now)

    def _roles(self) -> Roles:
        return Roles(
            instance_id=self._settings.instance_id,
            domain=self._settings.domain,
            service=self._settings.service,
            alive=self._surroundings.alive,
        )

    # Table news and confirmations -------------------------------------------------------

    def _news_effects(self, roles: Roles, now: float) -> Iterator[Effect]:
        readers = roles.readers()
        is_stale = self._authority.is_stale(now)
        if self._settings.instance_id in readers or is_stale:
            yield ReadMap()
        asked = set(readers)
        if is_stale and self._map is not None:
            self._authority.confirm_to_self(now)
            asked.update(self._authority.confirmers_to_ask(self._map.confirmers))
        asked |= self._backup_renewers(roles, now)
        for instance_id in sorted(asked - {self._settings.instance_id}):
            yield AskConfirm(instance_id)

    def _backup_renewers(self, roles: Roles, now: float) -> set[str]:
        """Return peers that may still reach a server that this instance has lost sight of."""
        return {
            instance_id
            for server, renewers in self._renewed_servers(roles)
            for instance_id in renewers
            if not self._is_recently_reached(server.server_id, now)
        }

    def _is_recently_reached(self, server_id: str, now: float) -> bool:
        contact = self._contacts.get(server_id)
        return contact is not None and now - contact.reached_at < SUSPECT_AFTER_S / 2

    def _adopt(self, shard_map: ShardMap, now: float) -> None:
        if self._map is not None and shard_map.version <= self._map.version:
            return
        self._map = shard_map
        self._authority.adopt(shard_map.version)
        self._moves.on_new_map(shard_map, self._settings.instance_id, now)

    # Grants -----------------------------------------------------------------------------

    def _renewed_servers(self, roles: Roles) -> Iterator[tuple[OwnerServer, list[str]]]:
        """Yield the servers that this instance renews or probes, with all their renewers."""
        if self._map is None:
            return
        confirmers = self._map.confirmers
        for server in self._placement.known_servers(self._map, self._surroundings.targets):
            renewers = roles.renewers(server, confirmers)
            if self._settings.instance_id in renewers or self._probes(server, roles):
                yield server, renewers

    def _probes(self, server: OwnerServer, roles: Roles) -> bool:
        """Return whether this instance plans joins and the server owns nothing yet."""
        owner_ids = {owner.server_id for owner in self._map.servers} if self._map else set()
        return roles.is_placer() and server.server_id not in owner_ids

    def _grant_effects(self, roles: Roles, now: float) -> Iterator[Effect]:
        assert self._map is not None
        servers = [server for server, _ in self._renewed_servers(roles)]
        self._contacts.watch(frozenset(server.server_id for server in servers), now)
        shards_by_server = self._map.granted_shards_by_server()
        for server in servers:
            contact = self._contacts.get(server.server_id)
            if contact is None or not contact.term or not self._may_grant(server, contact, now):
                yield QueryServer(server)
                continue
            yield SendGrant(
                server=server,
                version=self._map.version,
                shards=shards_by_server.get(server.server_id, ()),
                term=contact.term,
                basis_ms=contact.basis_ms,
            )

    def _may_grant(self, server: OwnerServer, contact: Contact, now: float) -> bool:
        return self.right_valid_until(server.domain) > now and contact.may_be_granted(
            self._authority.table_news_at
        )

    # Moves ------------------------------------------------------------------------------

    def _controls(self, roles: Roles, server: OwnerServer) -> bool:
        assert self._map is not None
        return roles.renewers(server, self._map.confirmers)[0] == self._settings.instance_id

    def _controlled_ids(self, roles: Roles) -> frozenset[str]:
        assert self._map is not None
        return frozenset(
            server.server_id for server in self._map.servers if self._controls(roles, server)
        )

    def _adopt_effects(self, roles: Roles, now: float) -> Iterator[Effect]:
        assert self._map is not None
        controlled = self._controlled_ids(roles)
        missing = self._moves.missing_acks(self._map, controlled)
        if roles.is_confirmer_manager():
            missing |= self._moves.missing_settlement_acks(self._map)
        for instance_id in sorted(missing - {self._settings.instance_id}):
            yield AskAdopt(instance_id, self._map)

    def _creation_effects(self, roles: Roles, now: float) -> Iterator[Effect]:
        if self._is_write_open or not self._is_row_absent or not roles.is_placer():
            return
        first = self._placement.first_map(self._settings.service, self._surroundings)
        if first is not None:
            yield self._write(first, 0, now)

    def _write_effects(self, roles: Roles, now: float) -> Iterator[Effect]:
        """Propose at most one change of the map; only with fresh table news."""
        assert self._map is not None
        if self._is_write_open or self._authority.is_stale(now):
            return
        controlled = self._controlled_ids(roles)
        view = View(self._map, roles, controlled, self._surroundings, now)
        proposed = self._proposals.next_map(view)
        if proposed is not None:
            yield self._write(proposed, self._map.version, now)

    def _write(self, shard_map: ShardMap, based_on: int, now: float) -> WriteMap:
        self._is_write_open = True
        self._write_sent_at = now
        return WriteMap(shard_map, based_on)
