"""Pure functions that move keys from busy targets to idle ones."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from damasktide.demand.messages import BUCKET_KEYS
from damasktide.keyspace.key_map import Incarnation, KeyMap, KeyRange, merge_adjacent
from damasktide.keyspace.planner import FENCE_STEP, Holder, move
from damasktide.runtime.registry import Registry

# Keys move away from a target that is busier than this, as a share of its capacity, and busier
# than the mean by this factor. Co-located workloads take about a third of the capacity, and
# requests arrive unevenly, so queues form above half of it. A moved key has no owner for a moment.
MIN_UTILISATION = 0.45
MIN_IMBALANCE = 1.15
# Limit on the moves that are under way at once; the keys of each have no owner for a moment.
MAX_MOVES = 8
# A piece has at most this share of the wanted load. Among those with at least the other share, the
# one with the fewest keys for its load moves; if there is none, the one with the most load.
MAX_PIECE_RATIO = 1.15
GOOD_PIECE_RATIO = 0.35
# Smallest load of a piece, in slots.
MIN_PIECE_LOAD = 0.25
# Limit on the ranges of a map: some for each holder, up to a number that a leader can renew. Each
# range costs a call at every renewal.
MIN_MAX_RANGES = 24
MAX_RANGES_PER_HOLDER = 4
MAX_RANGES = 260


@dataclass(frozen=True, slots=True)
class HolderLoad:
    """Load of a holder.

    Attributes
    ----------
    holder
        The holder.
    capacity
        Slots, weighed by speed.
    load
        Slots that its requests occupy at a target of normal speed.
    """

    holder: Holder
    capacity: float
    load: float

    @property
    def utilisation(self) -> float:
        """Load as a share of the capacity."""
        return self.load / self.capacity


@dataclass(frozen=True, slots=True)
class _Piece:
    first: int
    last: int
    load: float

    @property
    def size(self) -> int:
        return self.last - self.first + 1


CapacityPolicy = Callable[[Holder], float]
capacity_policies: Registry[str, CapacityPolicy] = Registry("capacity policy")


@capacity_policies.register("slots")
def slots_only(holder: Holder) -> float:
    """Return the number of slots; all targets count as equally fast."""
    return float(max(1, holder.slots))


@capacity_policies.register("slots_and_speed")
def slots_and_speed(holder: Holder) -> float:
    """Return the number of slots of a target of normal speed that does as much work."""
    return max(1, holder.slots) * holder.speed


def rebalance(
    key_map: KeyMap,
    holders: Sequence[Holder],
    load_by_bucket: Mapping[int, float],
    policy: str = "slots_and_speed",
) -> KeyMap:
    """Return the map in which busy targets have given keys to idle ones.

    Keys whose transfer has not ended stay with their next holder, and count as its load. If
    nothing changes, ``key_map`` itself is returned.

    Parameters
    ----------
    key_map
        The map.
    holders
        The targets that may hold keys.
    load_by_bucket
        Load of each bucket of keys, in slots of a target of normal speed.
    policy
        Name of the policy that rates the capacity of a holder.
    """
    pending = frozenset(
        key_range.fence for key_range in key_map.ranges if not key_range.is_settled
    )
    if not holders or len(pending) >= MAX_MOVES:
        return key_map
    capacity = capacity_policies.get(policy)
    if len(key_map.ranges) >= _max_ranges(holders) - MAX_MOVES:
        joined = _joined(key_map)
        if len(joined.ranges) < len(key_map.ranges):
            return joined
    changed = key_map
    for _ in range(MAX_MOVES - len(pending)):
        loads = _holder_loads(changed, holders, load_by_bucket, capacity)
        moved = _move_from_busiest(changed, loads, load_by_bucket, pending)
        if moved is None:
            break
        changed = moved
    return changed


def _holder_loads(
    key_map: KeyMap,
    holders: Sequence[Holder],
    load_by_bucket: Mapping[int, float],
    capacity: CapacityPolicy,
) -> list[HolderLoad]:
    load_by_incarnation: dict[Incarnation, float] = {}
    for bucket, load in load_by_bucket.items():
        key_range = key_map.find(bucket * BUCKET_KEYS)
        if key_range is not None:
            known = load_by_incarnation.get(key_range.holder, 0.0)
            load_by_incarnation[key_range.holder] = known + load
    return [
        HolderLoad(holder, capacity(holder), load_by_incarnation.get(holder.incarnation, 0.0))
        for holder in holders
    ]


def _move_from_busiest(
    key_map: KeyMap,
    loads: Sequence[HolderLoad],
    load_by_bucket: Mapping[int, float],
    pending: frozenset[int],
) -> KeyMap | None:
    """Return the map with one piece of a busy holder moved to the idlest, or None.

    Ranges whose fencing token is in ``pending`` stay where they are.
    """
    if len(loads) < 2 or len(key_map.ranges) >= _max_ranges(loads):
        return None
    mean = sum(load.load for load in loads) / sum(load.capacity for load in loads)
    idlest = min(loads, key=lambda load: load.utilisation)
    limit = max(MIN_UTILISATION, MIN_IMBALANCE * mean)
    busy = (load for load in loads if load.utilisation > limit)
    for busiest in sorted(busy, key=lambda load: -load.utilisation):
        # Afterwards both would have the same utilisation.
        wanted = (busiest.utilisation - idlest.utilisation) / (
            1.0 / busiest.capacity + 1.0 / idlest.capacity
        )
        ranges = (
            key_range
            for key_range in key_map.ranges
            if key_range.holder == busiest.holder.incarnation and key_range.fence not in pending
        )
        piece = _best_piece(ranges, load_by_bucket, wanted)
        if piece is not None:
            return move(key_map, piece.first, piece.last, idlest.holder.incarnation)
    return None


def _best_piece(
    ranges: Iterable[KeyRange], load_by_bucket: Mapping[int, float], wanted: float
) -> _Piece | None:
    """Return the piece of a holder's ranges that relieves it best, or None.

    A hot key whose load exceeds the wanted one stays where it is, and its neighbours move.
    """
    candidates = [
        piece for key_range in ranges for piece in _pieces(key_range, load_by_bucket, wanted)
    ]
    good = [piece for piece in candidates if piece.load >= GOOD_PIECE_RATIO * wanted]
    if good:
        return min(good, key=lambda piece: piece.size / min(piece.load, wanted))
    return max(candidates, key=lambda piece: piece.load, default=None)


def _pieces(
    key_range: KeyRange, load_by_bucket: Mapping[int, float], wanted: float
) -> list[_Piece]:
    """Return pieces of a range, at the borders of buckets, with about the ``wanted`` load or less.

    Each piece has the most load among those that end with the same bucket.
    """
    first_bucket = -(-key_range.first // BUCKET_KEYS)
    last_bucket = (key_range.last + 1) // BUCKET_KEYS - 1
    loaded = sorted(
        (bucket, load)
        for bucket, load in load_by_bucket.items()
        if first_bucket <= bucket <= last_bucket
    )
    pieces = []
    start, total = 0, 0.0
    for end, (bucket, load) in enumerate(loaded):
        total += load
        while total > MAX_PIECE_RATIO * wanted and start <= end:
            total -= loaded[start][1]
            start += 1
        if start <= end and total >= MIN_PIECE_LOAD:
            first = loaded[start][0] * BUCKET_KEYS
            last = (bucket + 1) * BUCKET_KEYS - 1
            pieces.append(_Piece(first, last, total))
    return pieces


def _joined(key_map: KeyMap) -> KeyMap:
    """Return the map with adjacent ranges of one holder joined, under a new fencing token.

    The keys stay where they are, so only the token of their grant changes.
    """
    fence = key_map.last_fence
    ranges: list[KeyRange] = []
    for key_range in key_map.ranges:
        before = ranges[-1] if ranges else None
        if before is None or not _can_join(before, key_range):
            ranges.append(key_range)
            continue
        fence += FENCE_STEP
        ranges[-1] = replace(before, last=key_range.last, fence=fence)
    return replace(key_map, last_fence=fence, ranges=tuple(merge_adjacent(ranges)))


def _can_join(before: KeyRange, after: KeyRange) -> bool:
    return (
        before.holder == after.holder
        and before.is_settled
        and after.is_settled
        and before.last + 1 == after.first
    )


def _max_ranges(holders: Sequence[object]) -> int:
    wanted = MIN_MAX_RANGES + MAX_RANGES_PER_HOLDER * len(holders)
    # Every holder has a range of its own, and room for a few more.
    return max(len(holders) + MIN_MAX_RANGES, min(MAX_RANGES, wanted))
