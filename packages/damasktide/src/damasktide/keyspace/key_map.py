"""The map of a service's keys to the targets that hold them."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

KEY_COUNT = 65_536

# One run of a target's process: the target's id and its start in Unix milliseconds.
Incarnation = tuple[str, int]


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Adjacent keys with one holder.

    Attributes
    ----------
    first, last
        First and last key.
    holder
        Incarnation of the target that holds the keys or will get them.
    fence
        Fencing token of the holder's grant.
    previous
        Incarnation that may still hold the keys. While it is set, the holder has no grant.
    """

    first: int
    last: int
    holder: Incarnation
    fence: int
    previous: Incarnation | None = None

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    @property
    def is_settled(self) -> bool:
        """Whether the holder may be granted the keys."""
        return self.previous is None

    def part(self, first: int, last: int) -> "KeyRange":
        """Return the same assignment for a part of the keys."""
        return replace(self, first=first, last=last)


@dataclass(frozen=True, slots=True)
class KeyMap:
    """Assignment of a service's keys to targets.

    Attributes
    ----------
    service
        The service.
    version
        Version of the store's row; 0 if there is none.
    last_fence
        Highest fencing token issued.
    ranges
        All ranges, ordered by their first key.
    era
        Era of the store in which a leader last wrote the map.
    """

    service: str
    version: int = 0
    last_fence: int = 0
    ranges: tuple[KeyRange, ...] = ()
    era: int = 0

    def find(self, key: int) -> KeyRange | None:
        """Return the range that contains ``key``, or None if the key is not assigned."""
        index = bisect_right(self.ranges, key, key=lambda key_range: key_range.first) - 1
        if index < 0 or key > self.ranges[index].last:
            return None
        return self.ranges[index]


def merge_adjacent(ranges: Iterable[KeyRange]) -> Iterator[KeyRange]:
    """Yield ``ranges``, which must be ordered, with equal adjacent ones joined.

    Two ranges are joined if they are equal in everything except their keys.
    """
    pending: KeyRange | None = None
    for key_range in ranges:
        if pending is None:
            pending = key_range
        elif key_range == replace(pending, first=key_range.first, last=key_range.last):
            pending = replace(pending, last=key_range.last)
        else:
            yield pending
            pending = key_range
    if pending is not None:
        yield pending
