"""Selection of the source of changes, the store or another instance; a state machine."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import islice

from damasktide.relay.tree import RelayPeer, Upstream, parent, subtree_size

# An instance that did not reply is excluded for this time, doubled by each further failure.
MIN_PEER_BACKOFF_S = 2.0
MAX_PEER_BACKOFF_S = 30.0
# Retry intervals of an unavailable store. Each call is billed, and the other instances learn from
# the root that the store is available again, so they retry less often than the root. If only the
# root is isolated, their interval is still short enough to receive a change within 2.5 s.
ROOT_STORE_RETRY_S = 0.25
NON_ROOT_STORE_RETRY_S = 0.5
# Maximum age of the store's last response for it to be relayed. Targets that leave and new
# configurations must be known within 2.5 s, and a switch to another source takes up to 0.8 s.
MAX_AGE_S = 1.5
# Number of instances after the root in tree order that call the store as soon as the root has
# nothing fresh. In a larger failure domain the others wait for these, because sending the same
# responses to every instance would saturate the link between the regions.
IMMEDIATE_FALLBACK_INSTANCES = 3
# Increase of the maximum age for each further level of the tree, which passes on each confirmation
# at once. The bound is shared by all levels: the last one calls the store at an age of 2.2 s.
MAX_AGE_INCREASE_PER_LEVEL_S = 0.1
# Increase of the maximum age in a region far from the store, whose link to the other region may be
# full of long responses.
MAX_AGE_INCREASE_FAR_S = 0.1
# Time allowed for a reply in addition to the requested wait, and for one from another region.
REPLY_MARGIN_S = 0.35
CROSS_REGION_REPLY_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class RelaySource:
    """The instance to request changes from.

    Attributes
    ----------
    peer
        Instance that relays the changes.
    max_age_s
        Maximum age of its data to accept, in seconds.
    reply_margin_s
        Time allowed for a reply in addition to the requested wait, in seconds.
    """

    peer: RelayPeer
    max_age_s: float
    reply_margin_s: float = REPLY_MARGIN_S


@dataclass(slots=True)
class _Failure:
    count: int
    until: float


class RelaySourceSelector:
    """Selects the source of changes; tracks failures of other instances and of the store.

    Times are seconds on the monotonic clock.

    Parameters
    ----------
    name
        Name of this instance, as in :class:`damasktide.relay.tree.RelayPeer`.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._order: tuple[RelayPeer, ...] = ()
        self._upstream = Upstream()
        self._failure_by_name: dict[str, _Failure] = {}
        self._store_failed_at: float | None = None

    def set_order(self, order: tuple[RelayPeer, ...], upstream: Upstream | None = None) -> None:
        """Replace the instances of this failure domain, given in the order of the tree.

        ``upstream`` are the instances that the root of the tree asks before the store.
        """
        self._order = order
        self._upstream = upstream or Upstream()
        names = {peer.name for peer in (*order, *self._upstream.peers)}
        for name in set(self._failure_by_name) - names:
            del self._failure_by_name[name]

    def source(self, now: float) -> RelaySource | None:
        """Return the instance to request changes from, or None if the store is to be called."""
        return self.domain_source(now) or next(self._upstream_sources(now), None)

    def subtree_size(self, name: str) -> int:
        """Return how many instances are ``name`` or below it in the tree of this domain."""
        return subtree_size(self._order, name)

    def domain_source(self, now: float) -> RelaySource | None:
        """Return the parent in the tree of this failure domain, or None for its root."""
        peer, depth = parent(self._order, self._name, self._excluded_names(now))
        if peer is None:
            return None
        return RelaySource(peer, self._max_age_s(depth))

    def fallback_source(self, now: float) -> RelaySource | None:
        """Return the instance to use if the source, or the store for the root, has nothing fresh.

        This is the second instance in tree order, which calls the store as soon as the root has
        nothing fresh, because the store may be unreachable from the root's machine only. The
        result is None for the instances that then call the store themselves, and if the second
        instance does not exist or did not reply recently. Far from the store, the root falls back
        to the next instance upstream.
        """
        if self._upstream.peers and self.domain_source(now) is None:
            fallback = next(islice(self._upstream_sources(now), 1, None), None)
            # The data has reached the maximum age by now, so there is no time for a long margin.
            return fallback and replace(fallback, reply_margin_s=REPLY_MARGIN_S)
        names = [peer.name for peer in self._order[: 1 + IMMEDIATE_FALLBACK_INSTANCES]]
        if len(names) < 2 or self._name in names[1:] or names[1] in self._excluded_names(now):
            return None
        return RelaySource(self._order[1], self._max_age_s(1))

    def may_retry_sources(self, now: float) -> bool:
        """Return whether to ask the sources again for a while if they have nothing fresh."""
        return self.domain_source(now) is not None and self.fallback_source(now) is not None

    @property
    def is_order_known(self) -> bool:
        """Whether the instances of the failure domain and their tree order are known."""
        return bool(self._order)

    @property
    def defers_to_others(self) -> bool:
        """Whether other instances of a large failure domain call the store before this one."""
        first = self._order[: 1 + IMMEDIATE_FALLBACK_INSTANCES]
        return len(self._order) > len(first) and self._name not in {peer.name for peer in first}

    @property
    def reads_from_peers(self) -> bool:
        """Whether a large table is read from another instance at a start, if one has it."""
        return self.defers_to_others or bool(self._upstream.peers)

    def may_call_store(self, now: float) -> bool:
        """Return whether the store may be called; an unavailable one is called less often."""
        if self._store_failed_at is None:
            return True
        pause_s = ROOT_STORE_RETRY_S if self.source(now) is None else NON_ROOT_STORE_RETRY_S
        return now >= self._store_failed_at + pause_s

    def record_peer_failure(self, now: float, name: str) -> None:
        """Record that a call to an instance failed."""
        failure = self._failure_by_name.setdefault(name, _Failure(0, now))
        if now < failure.until:
            # A concurrent call to the instance has already failed.
            return
        backoff_s = min(MAX_PEER_BACKOFF_S, MIN_PEER_BACKOFF_S * 2.0**failure.count)
        failure.count += 1
        failure.until = now + backoff_s

    def record_peer_reply(self, name: str) -> None:
        """Record that an instance replied with changes."""
        self._failure_by_name.pop(name, None)

    def record_store_failure(self, now: float) -> None:
        """Record that a call to the store failed."""
        self._store_failed_at = now

    def record_store_response(self) -> None:
        """Record a response of the store."""
        self._store_failed_at = None

    def _upstream_sources(self, now: float) -> Iterator[RelaySource]:
        excluded = self._excluded_names(now)
        for peer in self._upstream.peers:
            if peer.name not in excluded:
                is_in_region = peer.name in self._upstream.region_peers
                margin_s = REPLY_MARGIN_S if is_in_region else CROSS_REGION_REPLY_MARGIN_S
                yield RelaySource(peer, self._max_age_s(0), margin_s)

    def _excluded_names(self, now: float) -> frozenset[str]:
        return frozenset(
            name for name, failure in self._failure_by_name.items() if now < failure.until
        )

    def _max_age_s(self, depth: int) -> float:
        """Return the maximum age of data for an instance ``depth`` levels below the root."""
        levels = max(0, depth + self._upstream.depth - 1)
        far_s = MAX_AGE_INCREASE_FAR_S if self._upstream.peers else 0.0
        return MAX_AGE_S + far_s + levels * MAX_AGE_INCREASE_PER_LEVEL_S
