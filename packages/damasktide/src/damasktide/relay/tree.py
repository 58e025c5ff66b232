"""Relay trees of the failure domains and regions; every instance computes the same trees."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from zlib import crc32

# Number of children of an instance. A failure domain of up to 25 instances needs no second level.
FAN_OUT = 24
# A region is near the store if an instance in it has a shorter round trip to the store. A round
# trip takes 2 ms at most within a region, and 60 ms between two regions.
NEAR_STORE_ROUND_TRIP_S = 0.02


@dataclass(frozen=True, slots=True)
class RelayPeer:
    """An instance that can relay data of the store.

    Attributes
    ----------
    name
        Name of the instance, which is the name of its machine.
    address
        Host and port on which it accepts calls of other instances.
    link_mbps
        Bandwidth of its link in Mbit/s; instances with fast links are near the root.
    store_round_trip_s
        Round trip between its machine and the store in seconds, or None if it was not measured.
    """

    name: str
    address: tuple[str, int]
    link_mbps: float
    store_round_trip_s: float | None = None


@dataclass(frozen=True, slots=True)
class Upstream:
    """Instances that the root of a failure domain far from the store asks before the store.

    Attributes
    ----------
    peers
        Instances in the order in which they are asked; empty in a region near the store.
    region_peers
        Names of those in the same region.
    depth
        Number of instances between the root and the store while all of them respond.
    """

    peers: tuple[RelayPeer, ...] = ()
    region_peers: frozenset[str] = frozenset()
    depth: int = 0


def relay_order(peers: Iterable[RelayPeer]) -> tuple[RelayPeer, ...]:
    """Return the instances of a failure domain in tree order, root first."""
    return tuple(sorted(peers, key=lambda peer: (-peer.link_mbps, crc32(peer.name.encode()))))


def parent(
    order: Sequence[RelayPeer], name: str, excluded: frozenset[str]
) -> tuple[RelayPeer | None, int]:
    """Return the parent of ``name`` in the tree, and the depth of ``name`` below the root.

    The root has no parent. An instance that is not in ``order`` yet is treated as the last one.
    Instances in ``excluded`` are skipped.
    """
    usable = [peer for peer in order if peer.name == name or peer.name not in excluded]
    names = [peer.name for peer in usable]
    index = names.index(name) if name in names else len(usable)
    if index == 0 or not usable:
        return None, 0
    parent_peer = usable[(index - 1) // FAN_OUT]
    return parent_peer, _depth(index)


def subtree_size(order: Sequence[RelayPeer], name: str) -> int:
    """Return how many instances of the tree are ``name`` or below it; at least 1."""
    start = next((index for index, peer in enumerate(order) if peer.name == name), len(order))
    end = start
    count = 1
    while (start := start * FAN_OUT + 1) < len(order):
        end = end * FAN_OUT + FAN_OUT
        count += min(len(order) - 1, end) - start + 1
    return count


def upstream(
    peers_by_domain: Mapping[str, Sequence[RelayPeer]],
    region_by_domain: Mapping[str, str],
    domain: str,
) -> Upstream:
    """Return the instances that the root of ``domain`` asks before the store.

    In a region far from the store, the root of one failure domain asks the roots of a region near
    the store, and the other roots ask it. A large change then crosses the link between the regions
    once, compressed, instead of once for each failure domain.
    """
    region = region_by_domain.get(domain, domain)
    near_regions = frozenset(_near_regions(peers_by_domain, region_by_domain))
    if region in near_regions or not near_regions:
        return Upstream()
    root_by_domain = {
        name: relay_order(peers)[0] for name, peers in peers_by_domain.items() if peers
    }
    region_roots = relay_order(
        root for name, root in root_by_domain.items() if region_by_domain.get(name, name) == region
    )
    near_roots = relay_order(
        root
        for name, root in root_by_domain.items()
        if region_by_domain.get(name, name) in near_regions
    )
    # Only roots that precede this one, so that no two instances ask each other.
    index = region_roots.index(root_by_domain[domain]) if domain in root_by_domain else None
    preceding = region_roots[:index]
    return Upstream(
        (*preceding, *near_roots),
        frozenset(peer.name for peer in preceding),
        2 if preceding else 1,
    )


def _near_regions(
    peers_by_domain: Mapping[str, Sequence[RelayPeer]], region_by_domain: Mapping[str, str]
) -> Iterator[str]:
    for domain, peers in peers_by_domain.items():
        measured = [
            peer.store_round_trip_s for peer in peers if peer.store_round_trip_s is not None
        ]
        if measured and min(measured) < NEAR_STORE_ROUND_TRIP_S:
            yield region_by_domain.get(domain, domain)


def _depth(index: int) -> int:
    depth = 0
    while index > 0:
        index = (index - 1) // FAN_OUT
        depth += 1
    return depth
