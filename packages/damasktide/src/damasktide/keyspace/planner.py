"""Pure functions that assign keys to targets with few changes."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from math import ceil

from damasktide.keyspace.key_map import KEY_COUNT, Incarnation, KeyMap, KeyRange, merge_adjacent

# A target with less than this part of its fair share gets keys from the fullest targets.
MIN_FAIR_SHARE_RATIO = 0.8
# The same while the load of the keys is known: then only a target with hardly any keys gets some
# by their number, and the others by their load.
MIN_FAIR_SHARE_RATIO_BY_LOAD = 0.1
# Smallest piece that may be split off, as a number of keys and as a share of a holder's fair
# share; the larger one applies. Each range costs a call at every renewal.
MIN_PIECE_KEYS = 512
MIN_PIECE_SHARE_RATIO = 0.2
# Leaves a token free below that of the next holder, for the barrier sent to the previous one.
FENCE_STEP = 2


@dataclass(frozen=True, slots=True)
class Holder:
    """A target that can hold keys.

    Attributes
    ----------
    incarnation
        Incarnation of the target.
    slots
        Requests that it runs at once; its fair share is proportional to this number.
    speed
        Work that it does per slot, relative to a typical target.
    """

    incarnation: Incarnation
    slots: int = 1
    speed: float = 1.0


@dataclass(frozen=True, slots=True)
class _Piece:
    """Keys to be assigned to another holder."""

    source: KeyRange | None
    first: int
    last: int

    @property
    def size(self) -> int:
        return self.last - self.first + 1


def plan(
    key_map: KeyMap,
    holders: Sequence[Holder],
    min_fair_share_ratio: float = MIN_FAIR_SHARE_RATIO,
) -> KeyMap:
    """Return the map in which each key is held by one of ``holders``.

    Keys that are unassigned or whose holder is missing go to the holders furthest below their
    fair share. A holder with less than ``min_fair_share_ratio`` of its fair share gets keys from
    the fullest ones. All other keys stay where they are. If nothing changes, ``key_map`` itself
    is returned.
    """
    if not holders:
        return key_map
    holder_by_incarnation = {holder.incarnation: holder for holder in holders}
    fair_share_by_incarnation = _fair_shares(holders)
    kept = [key_range for key_range in key_map.ranges if key_range.holder in holder_by_incarnation]
    pool = [_Piece(None, first, last) for first, last in _gaps(key_map.ranges)]
    pool += [
        _Piece(key_range, key_range.first, key_range.last)
        for key_range in key_map.ranges
        if key_range.holder not in holder_by_incarnation
    ]
    size_by_incarnation = dict.fromkeys(holder_by_incarnation, 0)
    for key_range in kept:
        size_by_incarnation[key_range.holder] += key_range.size
    kept, freed = _free_surplus(
        kept,
        size_by_incarnation,
        fair_share_by_incarnation,
        sum(p.size for p in pool),
        min_fair_share_ratio,
    )
    pool += freed
    if not pool:
        return key_map
    fence = key_map.last_fence
    added = []
    for piece, incarnation in _distribute(pool, size_by_incarnation, fair_share_by_incarnation):
        fence += FENCE_STEP
        added.append(_assigned(piece, incarnation, fence))
    ranges = sorted((*kept, *added), key=lambda key_range: key_range.first)
    return replace(key_map, last_fence=fence, ranges=tuple(merge_adjacent(ranges)))


def move(key_map: KeyMap, first: int, last: int, incarnation: Incarnation) -> KeyMap:
    """Return the map in which ``incarnation`` holds the keys from ``first`` to ``last``."""
    fence = key_map.last_fence + FENCE_STEP
    ranges: list[KeyRange] = []
    for key_range in key_map.ranges:
        if key_range.last < first or key_range.first > last or key_range.holder == incarnation:
            ranges.append(key_range)
            continue
        if key_range.first < first:
            ranges.append(key_range.part(key_range.first, first - 1))
        start, end = max(first, key_range.first), min(last, key_range.last)
        ranges.append(_assigned(_Piece(key_range, start, end), incarnation, fence))
        if key_range.last > last:
            ranges.append(key_range.part(last + 1, key_range.last))
    return replace(key_map, last_fence=fence, ranges=tuple(merge_adjacent(ranges)))


def _fair_shares(holders: Iterable[Holder]) -> dict[Incarnation, float]:
    slots_by_incarnation = {holder.incarnation: max(1, holder.slots) for holder in holders}
    total = sum(slots_by_incarnation.values())
    return {
        incarnation: KEY_COUNT * slots / total
        for incarnation, slots in slots_by_incarnation.items()
    }


def _gaps(ranges: Iterable[KeyRange]) -> Iterator[tuple[int, int]]:
    next_key = 0
    for key_range in ranges:
        if key_range.first > next_key:
            yield next_key, key_range.first - 1
        next_key = key_range.last + 1
    if next_key < KEY_COUNT:
        yield next_key, KEY_COUNT - 1


def _free_surplus(
    kept: list[KeyRange],
    size_by_incarnation: dict[Incarnation, int],
    fair_share_by_incarnation: Mapping[Incarnation, float],
    pooled_keys: int,
    min_fair_share_ratio: float,
) -> tuple[list[KeyRange], list[_Piece]]:
    """Free keys of the fullest holders for those far below their fair share.

    ``pooled_keys`` is the number of keys that are to be assigned anyway. Returns the ranges that
    stay and the freed pieces.
    """
    needed = 0
    for incarnation, fair_share in fair_share_by_incarnation.items():
        if size_by_incarnation[incarnation] < min_fair_share_ratio * fair_share:
            needed += int(fair_share) - size_by_incarnation[incarnation]
    missing = needed - pooled_keys
    freed: list[_Piece] = []
    while missing > 0:
        fullest = max(
            size_by_incarnation,
            key=lambda incarnation: (
                size_by_incarnation[incarnation] - fair_share_by_incarnation[incarnation]
            ),
        )
        surplus = size_by_incarnation[fullest] - int(fair_share_by_incarnation[fullest])
        if surplus <= 0:
            break
        key_range = max((r for r in kept if r.holder == fullest), key=lambda r: r.size)
        # A holder that gave up more would itself be far below its fair share.
        spare = size_by_incarnation[fullest] - ceil(
            min_fair_share_ratio * fair_share_by_incarnation[fullest]
        )
        min_keys = _min_piece_keys(fair_share_by_incarnation[fullest])
        amount = min(max(min_keys, min(surplus, missing)), key_range.size, spare)
        kept.remove(key_range)
        if amount < key_range.size:
            kept.append(key_range.part(key_range.first, key_range.last - amount))
        freed.append(_Piece(key_range, key_range.last - amount + 1, key_range.last))
        size_by_incarnation[fullest] -= amount
        missing -= amount
    return kept, freed


def _distribute(
    pool: list[_Piece],
    size_by_incarnation: dict[Incarnation, int],
    fair_share_by_incarnation: Mapping[Incarnation, float],
) -> Iterator[tuple[_Piece, Incarnation]]:
    """Yield each piece, split where needed, with the holder that gets it."""
    for piece in sorted(pool, key=lambda piece: piece.first):
        rest: _Piece | None = piece
        while rest is not None:
            incarnation = max(
                fair_share_by_incarnation,
                key=lambda candidate: (
                    fair_share_by_incarnation[candidate] - size_by_incarnation[candidate]
                ),
            )
            min_keys = _min_piece_keys(fair_share_by_incarnation[incarnation])
            room = max(
                min_keys,
                round(fair_share_by_incarnation[incarnation] - size_by_incarnation[incarnation]),
            )
            if rest.size - room < min_keys:
                room = rest.size
            given = replace(rest, last=rest.first + room - 1)
            size_by_incarnation[incarnation] += given.size
            yield given, incarnation
            rest = replace(rest, first=given.last + 1) if given.last < rest.last else None


def _min_piece_keys(fair_share: float) -> int:
    return max(MIN_PIECE_KEYS, int(MIN_PIECE_SHARE_RATIO * fair_share))


def _assigned(piece: _Piece, incarnation: Incarnation, fence: int) -> KeyRange:
    source = piece.source
    if source is None:
        return KeyRange(piece.first, piece.last, incarnation, fence)
    # A holder that still waits for the release by the previous one has no grant.
    previous = source.holder if source.is_settled else source.previous
    return KeyRange(piece.first, piece.last, incarnation, fence, previous)
