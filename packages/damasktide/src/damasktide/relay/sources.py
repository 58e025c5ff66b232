"""Decides whether another instance or the store itself is asked; a state machine."""

from dataclasses import dataclass

from damasktide.relay.tree import RelayPeer, parent

# An instance that did not answer is left out for this time, doubled by each further failure.
LEFT_OUT_FIRST_S = 2.0
LEFT_OUT_LONGEST_S = 30.0
# The root asks a lost store this often, and the others less often: they hear of its return from
# the root, and each call is paid for. The root may be cut off alone, so they ask soon enough to
# know a change within 2.5 s.
ROOT_RETRY_S = 0.25
OTHERS_RETRY_S = 0.5
# Age of the store's last answer up to which it is passed on. Targets that leave and new
# configurations must be known within 2.5 s, and a change to another source takes up to 0.8 s.
MAX_AGE_S = 1.2
# Instances below the root that ask the store as soon as the root knows nothing fresh. In a larger
# failure domain the others wait for these, because a whole domain would fill the link between the
# regions with the same answers.
ASK_AT_ONCE = 3
# Each further level of the tree adds at most the wait of one call.
MAX_AGE_A_LEVEL_S = 0.5


@dataclass(frozen=True, slots=True)
class RelaySource:
    """The instance to ask.

    Attributes
    ----------
    peer
        The instance.
    max_age_s
        Greatest age of its news to accept, in seconds.
    """

    peer: RelayPeer
    max_age_s: float


@dataclass(slots=True)
class _Failure:
    count: int
    until: float


class RelaySources:
    """Remembers which instances failed and when the store did.

    Times are seconds on the monotonic clock.

    Parameters
    ----------
    name
        Name of this instance.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._order: tuple[RelayPeer, ...] = ()
        self._failure_by_name: dict[str, _Failure] = {}
        self._store_failed_at: float | None = None

    def set_order(self, order: tuple[RelayPeer, ...]) -> None:
        """Replace the instances of this failure domain, in the order of the tree."""
        self._order = order
        names = {peer.name for peer in order}
        for name in set(self._failure_by_name) - names:
            del self._failure_by_name[name]

    def source(self, now: float) -> RelaySource | None:
        """Return the instance to ask, or None if the store itself is to be asked."""
        found, depth = parent(self._order, self._name, self._left_out(now))
        if found is None:
            return None
        return RelaySource(found, MAX_AGE_S + (depth - 1) * MAX_AGE_A_LEVEL_S)

    def substitute(self, now: float) -> RelaySource | None:
        """Return the instance to ask when the source, or for the root the store, has no news.

        It is the first one below the root, which asks the store as soon as the root knows
        nothing fresh: the store may turn away the root's machine alone. The instances that ask
        the store at once have none.
        """
        names = [peer.name for peer in self._order[: 1 + ASK_AT_ONCE]]
        if len(names) < 2 or self._name in names[1:] or names[1] in self._left_out(now):
            return None
        return RelaySource(self._order[1], MAX_AGE_S)

    @property
    def knows_instances(self) -> bool:
        """Whether the instances of the failure domain are known yet."""
        return bool(self._order)

    @property
    def waits_for_others(self) -> bool:
        """Whether others of a larger failure domain are to ask the store before this one."""
        first = self._order[: 1 + ASK_AT_ONCE]
        return len(self._order) > len(first) and self._name not in {peer.name for peer in first}

    def may_ask_store(self, now: float) -> bool:
        """Return whether the store may be asked; a lost one is only asked now and then."""
        if self._store_failed_at is None:
            return True
        pause_s = ROOT_RETRY_S if self.source(now) is None else OTHERS_RETRY_S
        return now >= self._store_failed_at + pause_s

    def peer_failed(self, now: float, name: str) -> None:
        """Take in that an instance did not answer."""
        failure = self._failure_by_name.setdefault(name, _Failure(0, now))
        if now < failure.until:
            # Another call of the same moment has failed before.
            return
        left_out_s = min(LEFT_OUT_LONGEST_S, LEFT_OUT_FIRST_S * 2.0**failure.count)
        failure.count += 1
        failure.until = now + left_out_s

    def peer_answered(self, name: str) -> None:
        """Take in that an instance answered with news."""
        self._failure_by_name.pop(name, None)

    def store_failed(self, now: float) -> None:
        """Take in that the store did not answer."""
        self._store_failed_at = now

    def store_answered(self) -> None:
        """Take in an answer of the store."""
        self._store_failed_at = None

    def _left_out(self, now: float) -> frozenset[str]:
        return frozenset(
            name for name, failure in self._failure_by_name.items() if now < failure.until
        )
