"""Determines which instances should receive a newly written map immediately."""

from collections.abc import Iterator

from damasktide.ownership.roles import Roles
from damasktide.ownership.shard_map import OwnerServer, ShardMap


class Announcements:
    """Tracks the last map change written by this instance until it has been announced."""

    def __init__(self) -> None:
        self._before: ShardMap | None = None

    def record_write(self, before: ShardMap | None) -> None:
        """Record that this instance has written a map that replaces ``before``."""
        self._before = before

    def recipients(self, shard_map: ShardMap, roles: Roles) -> Iterator[str]:
        """Yield the renewers of each server whose grantable shards the recorded write changed.

        The write is announced only once: further calls yield nothing until the next write.
        """
        before, self._before = self._before, None
        if before is None:
            return
        for server in _changed_servers(before, shard_map):
            yield from roles.renewers(server, shard_map.confirmers)


def _changed_servers(before: ShardMap, after: ShardMap) -> Iterator[OwnerServer]:
    old = before.granted_shards_by_server()
    new = after.granted_shards_by_server()
    for server in after.servers:
        if old.get(server.server_id, ()) != new[server.server_id]:
            yield server
