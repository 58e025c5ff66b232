"""Decides which servers this instance sends grants to and which it only queries."""

from collections.abc import Iterator

from damasktide.ownership.authority import Authority
from damasktide.ownership.effects import Effect, QueryServer, SendGrant
from damasktide.ownership.placement import Placement
from damasktide.ownership.reachability import Contact, ReachabilityTracker
from damasktide.ownership.shard_map import OwnerServer
from damasktide.ownership.views import View


class Renewals:
    """Renews the grants of one service on behalf of one instance.

    Parameters
    ----------
    placement
        Lists the servers of the map and of the live list.
    reachability
        Tracks the exchanges with the servers.
    authority
        Computes the renewal leases of this instance.
    """

    def __init__(
        self, placement: Placement, reachability: ReachabilityTracker, authority: Authority
    ) -> None:
        self._placement = placement
        self._reachability = reachability
        self._authority = authority

    def watch(self, view: View) -> None:
        """Watch exactly the servers that this instance renews or probes."""
        since_by_id = {
            server.server_id: view.no_contact_since
            if server.domain == view.unresponsive_domain
            else view.now
            for server, _ in self._servers(view)
        }
        self._reachability.watch(since_by_id)

    def backup_renewers(self, view: View) -> set[str]:
        """Return the renewers of servers that this instance cannot reach; a peer might."""
        return {
            instance_id
            for server, renewers in self._servers(view)
            for instance_id in renewers
            if self._reachability.is_unresponsive(server.server_id, view.now)
        }

    def effects(self, view: View) -> Iterator[Effect]:
        """Yield a grant or a query for each server."""
        shards_by_server = view.shard_map.granted_shards_by_server()
        for server, _ in self._servers(view):
            contact = self._reachability.get(server.server_id)
            if contact is None or not contact.term or not self._may_grant(server, contact, view):
                yield QueryServer(server)
                continue
            yield SendGrant(
                server=server,
                version=view.shard_map.version,
                shards=shards_by_server.get(server.server_id, ()),
                term=contact.term,
                basis_ms=contact.basis_ms,
            )

    def _servers(self, view: View) -> Iterator[tuple[OwnerServer, list[str]]]:
        """Yield the servers that this instance renews or probes, with all their renewers."""
        confirmers = view.shard_map.confirmers
        roles = view.roles
        servers = self._placement.known_servers(view.shard_map, view.cluster_state.targets)
        for server in servers:
            renewers = roles.renewers(server, confirmers)
            is_unresponsive = server.domain == view.unresponsive_domain
            if roles.instance_id in renewers or is_unresponsive or self._is_probed(server, view):
                yield server, renewers

    def _is_probed(self, server: OwnerServer, view: View) -> bool:
        """Return whether this instance plans joins and the server owns nothing yet."""
        owns_nothing = server.server_id not in view.shard_map.server_by_id()
        return owns_nothing and view.roles.is_placer()

    def _may_grant(self, server: OwnerServer, contact: Contact, view: View) -> bool:
        """Return whether the renewal lease and the last map read allow a grant to the server."""
        renewal_lease_until = self._authority.valid_until(server.domain, view.shard_map.confirmers)
        return renewal_lease_until > view.now and contact.may_be_granted(
            self._authority.map_row_read_at
        )
