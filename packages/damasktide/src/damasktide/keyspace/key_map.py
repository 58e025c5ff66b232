"""The map of a service's keys to the targets that hold them."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

KEY_COUNT = 65_536

# A life of a target: its id and its start in Unix milliseconds.
Incarnation = tuple[str, int]


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Adjacent keys with one holder.

    Attributes
    ----------
    first, last
        First and last key.
    holder
        Life of the target that holds the keys or is to get them.
    fence
        Fencing token of the holder's grant.
    previous
        Life that may still hold the keys. While it is set, the holder has been granted nothing.
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
    """Who holds which keys of a service.

    Attributes
    ----------
    service
        The service.
    version
        Version of the store's row; 0 if there is none.
    last_fence
        Highest fencing token given out.
    ranges
        All ranges, ordered by their first key.
    """

    service: str
    version: int = 0
    last_fence: int = 0
    ranges: tuple[KeyRange, ...] = ()

    def find(self, key: int) -> KeyRange | None:
        """Return the range of ``key``."""
        index = bisect_right(self.ranges, key, key=lambda item: item.first) - 1
        if index < 0 or key > self.ranges[index].last:
            return None
        return self.ranges[index]


def merged(ranges: Iterable[KeyRange]) -> Iterator[KeyRange]:
    """Yield ``ranges``, which are ordered, with equal neighbours joined."""
    pending: KeyRange | None = None
    for item in ranges:
        if pending is None:
            pending = item
        elif item == replace(pending, first=item.first, last=item.last):
            pending = replace(pending, last=item.last)
        else:
            yield pending
            pending = item
    if pending is not None:
        yield pending
