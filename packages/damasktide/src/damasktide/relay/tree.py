"""Relay tree of a failure domain; every instance computes the same tree."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

# Number of children of an instance. A failure domain of up to 25 instances needs no second level.
FAN_OUT = 24


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
    """

    name: str
    address: tuple[str, int]
    link_mbps: float


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


def _depth(index: int) -> int:
    depth = 0
    while index > 0:
        index = (index - 1) // FAN_OUT
        depth += 1
    return depth
