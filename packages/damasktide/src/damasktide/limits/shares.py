"""Shares of targets, dealt out by a hash that every instance computes alike."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b

from damasktide.balancing.targets import Target
from damasktide.limits.slot_share import NOTHING, SlotShare
from damasktide.membership.instances import Instance

_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


def share_by_server(
    own: Instance, sharers: Sequence[Instance], targets: Iterable[Target]
) -> Mapping[str, SlotShare]:
    """Return this instance's share of the slots and connections of each target.

    Slots are dealt to instances in the target's failure domain first, then to those in its
    region, then to the others; within a group in rendezvous order, so that a change of one
    member moves only that member's slots.

    Parameters
    ----------
    own
        This instance.
    sharers
        All instances that share, this one included; empty for no share.
    targets
        Targets of any service.
    """
    if not sharers:
        return {target.server_id: NOTHING for target in targets}
    dealer = _Dealer(own, sharers)
    return {target.server_id: dealer.share_of(target) for target in targets}


def holders(sharers: Iterable[Instance], target: Target) -> list[Instance]:
    """Return the instances in the order in which the target's slots are dealt to them.

    An instance without a slot can pass keyed work to one of the first.
    """
    target_hash = _hash(target.server_id)

    def order(instance: Instance) -> tuple[int, int]:
        rank = _mix(target_hash, _hash(instance.instance_id))
        return _distance(instance, target), rank

    return sorted(sharers, key=order)


class _Dealer:
    """Computes this instance's position without sorting all members for each target."""

    def __init__(self, own: Instance, sharers: Sequence[Instance]) -> None:
        self._own = own
        self._members = len(sharers)
        self._own_hash = _hash(own.instance_id)
        self._hash_by_id = {item.instance_id: _hash(item.instance_id) for item in sharers}
        self._sharers = sharers
        self._count_by_domain = Counter((item.region, item.domain) for item in sharers)
        self._count_by_region = Counter(item.region for item in sharers)
        self._peers_by_place: dict[tuple[str, str, int], list[int]] = {}

    def share_of(self, target: Target) -> SlotShare:
        distance = _distance(self._own, target)
        target_hash = _hash(target.server_id)
        own_rank = _mix(target_hash, self._own_hash)
        peers = self._peers(target, distance)
        ahead = sum(_mix(target_hash, peer) < own_rank for peer in peers)
        return SlotShare(self._nearer(target, distance) + ahead, self._members)

    def _nearer(self, target: Target, distance: int) -> int:
        if distance == 0:
            return 0
        if distance == 1:
            return self._count_by_domain[target.region, target.domain]
        return self._count_by_region[target.region]

    def _peers(self, target: Target, distance: int) -> list[int]:
        place = (target.region, target.domain, distance)
        peers = self._peers_by_place.get(place)
        if peers is None:
            peers = [
                self._hash_by_id[item.instance_id]
                for item in self._sharers
                if _distance(item, target) == distance
            ]
            self._peers_by_place[place] = peers
        return peers


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
