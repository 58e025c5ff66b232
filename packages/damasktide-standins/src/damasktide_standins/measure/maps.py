"""Reads the shard maps of a deployment and counts their moves."""

from collections import Counter
from collections.abc import Iterator

import gevent
from returns.result import Success

from damasktide.ownership.shard_map import NO_OWNER, ShardMap, decode_map
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.messages import ReadRow
from damasktide.store.store_task import StoreTask
from damasktide_standins.cluster.local_cluster import LocalCluster

POLL_S = 0.1


def owners_of(shard_map: ShardMap) -> tuple[str, ...]:
    """Return the id of the owner of each shard, empty if it has none."""
    return tuple(
        "" if index == NO_OWNER else shard_map.servers[index].server_id
        for index in shard_map.owners
    )


class MapWatch:
    """Reads the map of one service again and again and counts the shards that move.

    Parameters
    ----------
    cluster
        The deployment.
    service
        Name of the service.
    """

    def __init__(self, cluster: LocalCluster, service: str) -> None:
        url = f"http://127.0.0.1:{cluster.platform_port}"
        self._store = StoreTask(StoreEndpoints(url, url))
        self._store.start()
        self._service = service
        self.owners = owners_of(self.read())
        self.moves = 0

    def read(self) -> ShardMap:
        """Return the present map."""
        result = self._store.ask(ReadRow(f"ownership/{self._service}"))
        if not isinstance(result, Success):
            raise RuntimeError(f"the map of {self._service} cannot be read")
        return decode_map(result.unwrap().row.body)

    def follow(self, seconds: float) -> None:
        """Count moves for a time."""
        for _ in range(int(seconds / POLL_S)):
            owners = owners_of(self.read())
            self.moves += sum(old != new for old, new in zip(self.owners, owners, strict=True))
            self.owners = owners
            gevent.sleep(POLL_S)

    def settle(self, quiet_s: float = 6.0, limit_s: float = 60.0) -> None:
        """Follow until no shard has moved for ``quiet_s`` seconds."""
        quiet = spent = 0.0
        while quiet < quiet_s and spent < limit_s:
            before = self.moves
            self.follow(1.0)
            spent += 1.0
            quiet = quiet + 1.0 if self.moves == before else 0.0

    def count_by_server(self) -> Counter[str]:
        """Return the number of shards of each owner."""
        return Counter(owner for owner in self.owners if owner)

    def close(self) -> None:
        """Close the connection to the store."""
        self._store.stop()


def keys_of(cluster: LocalCluster, server_ids: set[str], count: int) -> Iterator[str]:
    """Yield ``count`` keys of the first service whose owner is one of ``server_ids``."""
    name = next(iter(cluster.instance_by_name))
    service = cluster.layout.services[0].name
    found = 0
    for number in range(20_000):
        key = f"line-{number}"
        explanation = cluster.admin(name, f"explain/{service}/{key}")["explanation"]
        owner = explanation["owner"] if isinstance(explanation, dict) else None
        if owner and owner["server_id"] in server_ids:
            yield key
            found += 1
        if found == count:
            return
