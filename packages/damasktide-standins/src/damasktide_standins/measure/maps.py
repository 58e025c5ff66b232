"""Reads the shard maps of a deployment and counts the shards that move."""

from collections import Counter
from collections.abc import Iterator

import gevent
from returns.result import Success

from damasktide.ownership.shard_map import NO_OWNER, ShardMap
from damasktide.ownership.shard_map_codec import decode_map
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.messages import ReadRow
from damasktide.store.store_task import StoreTask
from damasktide_standins.cluster.local_cluster import LocalCluster

POLL_INTERVAL_S = 0.1


def owner_ids(shard_map: ShardMap) -> tuple[str, ...]:
    """Return the id of the owner of each shard; empty for a shard without an owner."""
    return tuple(
        "" if index == NO_OWNER else shard_map.servers[index].server_id
        for index in shard_map.owners
    )


class MapWatch:
    """Polls the shard map of one service and counts the shards that move.

    Parameters
    ----------
    cluster
        Deployment to observe.
    service
        Name of the service.
    """

    def __init__(self, cluster: LocalCluster, service: str) -> None:
        url = f"http://127.0.0.1:{cluster.platform_port}"
        self._store = StoreTask(StoreEndpoints(url, url))
        self._store.start()
        self._service = service
        self.owners = owner_ids(self.read())
        self.moves = 0

    def read(self) -> ShardMap:
        """Read and return the current map."""
        result = self._store.ask(ReadRow(f"ownership/{self._service}"))
        if not isinstance(result, Success):
            raise RuntimeError(f"the map of {self._service} cannot be read")
        return decode_map(result.unwrap().row.body)

    def follow(self, seconds: float) -> None:
        """Poll the map for a time and count the moved shards."""
        for _ in range(int(seconds / POLL_INTERVAL_S)):
            owners = owner_ids(self.read())
            self.moves += sum(old != new for old, new in zip(self.owners, owners, strict=True))
            self.owners = owners
            gevent.sleep(POLL_INTERVAL_S)

    def settle(self, stable_s: float = 6.0, timeout_s: float = 60.0) -> None:
        """Poll the map until no shard has moved for ``stable_s`` seconds, or until a timeout."""
        unchanged_s = elapsed_s = 0.0
        while unchanged_s < stable_s and elapsed_s < timeout_s:
            before = self.moves
            self.follow(1.0)
            elapsed_s += 1.0
            unchanged_s = unchanged_s + 1.0 if self.moves == before else 0.0

    def count_by_server(self) -> Counter[str]:
        """Return the number of shards of each owner as last read."""
        return Counter(owner for owner in self.owners if owner)

    def close(self) -> None:
        """Close the connection to the store."""
        self._store.stop()


def keys_owned_by(cluster: LocalCluster, server_ids: set[str], count: int) -> Iterator[str]:
    """Yield ``count`` keys of the first service whose owner is one of ``server_ids``."""
    name = next(iter(cluster.instance_by_name))
    service = cluster.layout.services[0].name
    yielded = 0
    for number in range(20_000):
        key = f"line-{number}"
        explanation = cluster.admin(name, f"explain/{service}/{key}")["explanation"]
        owner = explanation["owner"] if isinstance(explanation, dict) else None
        if owner and owner["server_id"] in server_ids:
            yield key
            yielded += 1
        if yielded == count:
            return
