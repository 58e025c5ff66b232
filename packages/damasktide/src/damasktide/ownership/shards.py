"""Shards: the fixed parts of the key space that backend servers own."""

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

_HASH_BYTES = 8


def key_hash(key: str) -> int:
    """Return the 64-bit BLAKE2b hash of a key."""
    digest = blake2b(key.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


@dataclass(frozen=True, slots=True)
class ShardPool:
    """A contiguous range of shards.

    Attributes
    ----------
    region
        The only region whose backend servers may own these shards, or None for any.
    start, size
        Number of the first shard, and number of shards.
    """

    region: str | None
    start: int
    size: int

    def __contains__(self, shard: int) -> bool:
        return self.start <= shard < self.start + self.size


@dataclass(frozen=True, slots=True)
class ShardSpace:
    """Mapping of the keys of a service to shards.

    The shards are divided into one pool for keys without a region and one for each region.

    Attributes
    ----------
    shards
        Number of shards of the service.
    regions
        All regions; their order is part of the mapping and must never change.
    """

    shards: int
    regions: tuple[str, ...]

    def pools(self) -> tuple[ShardPool, ...]:
        """Return the pools in the order of their shards; the first is for any region."""
        size = self.shards // (len(self.regions) + 1)
        shared = self.shards - size * len(self.regions)
        regional = (
            ShardPool(region, shared + index * size, size)
            for index, region in enumerate(self.regions)
        )
        return (ShardPool(None, 0, shared), *regional)

    def shard_of(self, key: str) -> int:
        """Return the shard of ``key``.

        A key that starts with ``REGION:`` maps to the pool of that region. The hash does not
        include the customer, because two customers may use the same key.
        """
        prefix, separator, _ = key.partition(":")
        index = _region_index(self.regions, prefix) if separator else None
        size = self.shards // (len(self.regions) + 1)
        shared = self.shards - size * len(self.regions)
        if index is None:
            return key_hash(key) % shared
        return shared + index * size + key_hash(key) % size


def _region_index(regions: Sequence[str], name: str) -> int | None:
    return regions.index(name) if name in regions else None
