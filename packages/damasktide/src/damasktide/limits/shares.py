"""Shares of targets, assigned by a hash that is the same on every instance."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b

from damasktide.balancing.targets import Target
from damasktide.limits.slot_share import NO_SHARE, SlotShare
from damasktide.membership.instances import Instance

_MASK = (1 << 64) - 1
# 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing.
_MULTIPLIER = 0x9E3779B97F4A7C15


def share_by_server(
    own: Instance, sharers: Sequence[Instance], targets: Iterable[Target]
) -> Mapping[str, SlotShare]:
    """Return this instance's share of the slots and connections of each target.

    Slots are assigned in turn, first to instances in the target's failure domain, then to those
    in its region, then to the others. Rendezvous hashing determines the order within each
    group, so a change of one member does not reorder the others.

    Parameters
    ----------
    own
        This instance.
    sharers
        All instances that share, including this one; if empty, this instance has no share.
    targets
        Targets of any service.
    """
    if not sharers:
        return {target.server_id: NO_SHARE for target in targets}
    calculator = _ShareCalculator(own, sharers)
    return {target.server_id: calculator.share_of(target) for target in targets}


def instances_in_slot_order(sharers: Iterable[Instance], target: Target) -> list[Instance]:
    """Return the instances in the order in which the target's slots are assigned to them.

    An instance without a slot can forward keyed work to one of the first.
    """
    target_hash = _hash(target.server_id)

    def order(instance: Instance) -> tuple[int, int]:
        rank = _mix(target_hash, _hash(instance.instance_id))
        return _distance(instance, target), rank

    return sorted(sharers, key=order)


class _ShareCalculator:
    """Computes the shares of this instance without sorting all members for each target."""

    def __init__(self, own: Instance, sharers: Sequence[Instance]) -> None:
        self._own = own
        self._member_count = len(sharers)
        self._own_hash = _hash(own.instance_id)
        self._hash_by_id = {sharer.instance_id: _hash(sharer.instance_id) for sharer in sharers}
        self._sharers = sharers
        self._count_by_domain = Counter((sharer.region, sharer.domain) for sharer in sharers)
        self._count_by_region = Counter(sharer.region for sharer in sharers)
        self._peer_hashes_by_location: dict[tuple[str, str, int], list[int]] = {}

    def share_of(self, target: Target) -> SlotShare:
        distance = _distance(self._own, target)
        target_hash = _hash(target.server_id)
        own_rank = _mix(target_hash, self._own_hash)
        peer_hashes = self._peer_hashes(target, distance)
        ahead = sum(_mix(target_hash, peer_hash) < own_rank for peer_hash in peer_hashes)
        return SlotShare(self._count_nearer(target, distance) + ahead, self._member_count)

    def _count_nearer(self, target: Target, distance: int) -> int:
        if distance == 0:
            return 0
        if distance == 1:
            return self._count_by_domain[target.region, target.domain]
        return self._count_by_region[target.region]

    def _peer_hashes(self, target: Target, distance: int) -> list[int]:
        location = (target.region, target.domain, distance)
        hashes = self._peer_hashes_by_location.get(location)
        if hashes is None:
            hashes = [
                self._hash_by_id[sharer.instance_id]
                for sharer in self._sharers
                if _distance(sharer, target) == distance
            ]
            self._peer_hashes_by_location[location] = hashes
        return hashes


def _distance(instance: Instance, target: Target) -> int:
    if instance.region != target.region:
        return 2
    return 0 if instance.domain == target.domain else 1


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def _mix(first: int, second: int) -> int:
    mixed = ((first ^ second) * _MULTIPLIER) & _MASK
    mixed ^= mixed >> 29
    return (mixed * _MULTIPLIER) & _MASK
