"""Plans which target is to hold which keys, with few changes; pure functions."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from math import ceil

from damasktide.keyspace.key_map import KEY_COUNT, Incarnation, KeyMap, KeyRange, merged

# A target with less than this part of its fair share gets keys of the fullest ones.
LEAST_FAIR_PART = 0.8
# Smaller pieces are not cut off, because each range costs a call at every renewal: a number of
# keys, and a part of a holder's fair share.
LEAST_PIECE_KEYS = 512
LEAST_PIECE_PART = 0.2
# The token below that of the next holder goes to the previous one as a barrier.
FENCE_STEP = 2


@dataclass(frozen=True, slots=True)
class Holder:
    """A target that can hold keys.

    Attributes
    ----------
    incarnation
        Life of the target.
    slots
        Requests that it runs at once; its fair share is in proportion.
    """

    incarnation: Incarnation
    slots: int = 1


@dataclass(frozen=True, slots=True)
class _Piece:
    """Keys to be given to another holder."""

    source: KeyRange | None
    first: int
    last: int

    @property
    def size(self) -> int:
        return self.last - self.first + 1


def plan(key_map: KeyMap, holders: Sequence[Holder]) -> KeyMap:
    """Return the map in which each key is held by one of ``holders``.

    Keys of holders that are missing are given to those with the least for their slots. A holder
    with less than ``LEAST_FAIR_PART`` of its share gets keys from the fullest. All other keys
    stay. The result is equal to ``key_map`` if nothing is to change.
    """
    if not holders:
        return key_map
    by_life = {holder.incarnation: holder for holder in holders}
    fair_by_life = _fair_shares(holders)
    kept = [item for item in key_map.ranges if item.holder in by_life]
    pool = [_Piece(None, first, last) for first, last in _gaps(key_map.ranges)]
    pool += [
        _Piece(item, item.first, item.last)
        for item in key_map.ranges
        if item.holder not in by_life
    ]
    size_by_life = dict.fromkeys(by_life, 0)
    for item in kept:
        size_by_life[item.holder] += item.size
    kept, freed = _take_surplus(kept, size_by_life, fair_by_life, sum(p.size for p in pool))
    pool += freed
    if not pool:
        return key_map
    fence = key_map.last_fence
    added = []
    for piece, incarnation in _deal(pool, size_by_life, fair_by_life):
        fence += FENCE_STEP
        added.append(_assigned(piece, incarnation, fence))
    ranges = sorted((*kept, *added), key=lambda item: item.first)
    return replace(key_map, last_fence=fence, ranges=tuple(merged(ranges)))


def move(key_map: KeyMap, first: int, last: int, incarnation: Incarnation) -> KeyMap:
    """Return the map in which ``incarnation`` holds the keys from ``first`` to ``last``."""
    fence = key_map.last_fence + FENCE_STEP
    ranges: list[KeyRange] = []
    for item in key_map.ranges:
        if item.last < first or item.first > last or item.holder == incarnation:
            ranges.append(item)
            continue
        if item.first < first:
            ranges.append(item.part(item.first, first - 1))
        start, end = max(first, item.first), min(last, item.last)
        ranges.append(_assigned(_Piece(item, start, end), incarnation, fence))
        if item.last > last:
            ranges.append(item.part(last + 1, item.last))
    return replace(key_map, last_fence=fence, ranges=tuple(merged(ranges)))


def _fair_shares(holders: Iterable[Holder]) -> dict[Incarnation, float]:
    slots_by_life = {holder.incarnation: max(1, holder.slots) for holder in holders}
    total = sum(slots_by_life.values())
    return {incarnation: KEY_COUNT * slots / total for incarnation, slots in slots_by_life.items()}


def _gaps(ranges: Iterable[KeyRange]) -> Iterator[tuple[int, int]]:
    following = 0
    for item in ranges:
        if item.first > following:
            yield following, item.first - 1
        following = item.last + 1
    if following < KEY_COUNT:
        yield following, KEY_COUNT - 1


def _take_surplus(
    kept: list[KeyRange],
    size_by_life: dict[Incarnation, int],
    fair_by_life: Mapping[Incarnation, float],
    pooled: int,
) -> tuple[list[KeyRange], list[_Piece]]:
    """Take keys from the fullest holders for those far below their share."""
    needed = 0
    for incarnation, fair in fair_by_life.items():
        if size_by_life[incarnation] < LEAST_FAIR_PART * fair:
            needed += int(fair) - size_by_life[incarnation]
    missing = needed - pooled
    freed: list[_Piece] = []
    while missing > 0:
        fullest = max(
            size_by_life,
            key=lambda incarnation: size_by_life[incarnation] - fair_by_life[incarnation],
        )
        surplus = size_by_life[fullest] - int(fair_by_life[fullest])
        if surplus <= 0:
            break
        item = max((r for r in kept if r.holder == fullest), key=lambda r: r.size)
        # A holder that gave more would itself be far below its share.
        spare = size_by_life[fullest] - ceil(LEAST_FAIR_PART * fair_by_life[fullest])
        least = _least_piece(fair_by_life[fullest])
        amount = min(max(least, min(surplus, missing)), item.size, spare)
        kept.remove(item)
        if amount < item.size:
            kept.append(item.part(item.first, item.last - amount))
        freed.append(_Piece(item, item.last - amount + 1, item.last))
        size_by_life[fullest] -= amount
        missing -= amount
    return kept, freed


def _deal(
    pool: list[_Piece],
    size_by_life: dict[Incarnation, int],
    fair_by_life: Mapping[Incarnation, float],
) -> Iterator[tuple[_Piece, Incarnation]]:
    """Yield the pieces, cut where needed, with the holder that gets each."""
    for piece in sorted(pool, key=lambda item: item.first):
        rest: _Piece | None = piece
        while rest is not None:
            incarnation = max(
                fair_by_life, key=lambda item: fair_by_life[item] - size_by_life[item]
            )
            least = _least_piece(fair_by_life[incarnation])
            room = max(least, round(fair_by_life[incarnation] - size_by_life[incarnation]))
            if rest.size - room < least:
                room = rest.size
            given = replace(rest, last=rest.first + room - 1)
            size_by_life[incarnation] += given.size
            yield given, incarnation
            rest = replace(rest, first=given.last + 1) if given.last < rest.last else None


def _least_piece(fair: float) -> int:
    return max(LEAST_PIECE_KEYS, int(LEAST_PIECE_PART * fair))


def _assigned(piece: _Piece, incarnation: Incarnation, fence: int) -> KeyRange:
    source = piece.source
    if source is None:
        return KeyRange(piece.first, piece.last, incarnation, fence)
    # A holder that still waits for the previous one has been granted nothing.
    previous = source.holder if source.is_settled else source.previous
    return KeyRange(piece.first, piece.last, incarnation, fence, previous)
