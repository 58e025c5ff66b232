"""Which instance asks which: a tree in each failure domain, computed alike everywhere."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

# Instances that one instance answers; a failure domain of up to 25 needs no second level.
FAN_OUT = 24


@dataclass(frozen=True, slots=True)
class RelayPeer:
    """An instance that can pass on what the store says.

    Attributes
    ----------
    name
        Name of its machine.
    address
        Host and port for calls of other instances.
    link_mbps
        Bandwidth of its link in Mbit/s; wide links stand near the root.
    """

    name: str
    address: tuple[str, int]
    link_mbps: float


def relay_order(peers: Iterable[RelayPeer]) -> tuple[RelayPeer, ...]:
    """Return the instances of a failure domain in the order of the tree, the root first."""
    return tuple(sorted(peers, key=lambda peer: (-peer.link_mbps, crc32(peer.name.encode()))))


def parent(
    order: Sequence[RelayPeer], name: str, left_out: frozenset[str]
) -> tuple[RelayPeer | None, int]:
    """Return the instance that ``name`` is to ask, and the levels between it and the store.

    The root has none. An instance that is not in ``order`` yet stands at its end.
    """
    usable = [peer for peer in order if peer.name == name or peer.name not in left_out]
    names = [peer.name for peer in usable]
    index = names.index(name) if name in names else len(usable)
    if index == 0 or not usable:
        return None, 0
    found = usable[(index - 1) // FAN_OUT]
    return found, _depth(index)


def _depth(index: int) -> int:
    depth = 0
    while index > 0:
        index = (index - 1) // FAN_OUT
        depth += 1
    return depth
