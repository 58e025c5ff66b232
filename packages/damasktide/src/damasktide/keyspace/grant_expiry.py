"""When a target that was given keys certainly no longer holds them."""

from collections import Counter

from damasktide.keyspace.key_map import Incarnation, KeyRange

# A target's clock may run two in a hundred slow.
HOLD_CLOCK_ERROR = 0.02

# A holder's life with first key, last key and fencing token of the transfer: a release counts for
# that transfer only, because the same target may be granted the same keys again later.
_ReleaseKey = tuple[Incarnation, int, int, int]


class GrantExpiryTracker:
    """Remembers until when each life may hold keys by grants that this process has sent.

    Times are seconds on the lease clock.

    Parameters
    ----------
    hold_s
        Time for which a grant holds, from its arrival.
    """

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        # By target id: a barrier may go to a later life than the one that held the keys.
        self._open_grants_by_id: Counter[str] = Counter()
        self._last_grant_by_id: dict[str, float] = {}
        self._last_life_by_id: dict[str, Incarnation] = {}
        self._dead_lives: set[Incarnation] = set()
        self._handover_by_release: dict[_ReleaseKey, str | None] = {}

    @property
    def longest_hold_s(self) -> float:
        """Time after its arrival for which a grant may hold."""
        return self._hold_s * (1.0 + HOLD_CLOCK_ERROR)

    def grant_sent(self, incarnation: Incarnation) -> None:
        """Note that a grant is on its way; its arrival is open until it has ended."""
        self._open_grants_by_id[incarnation[0]] += 1
        self._last_life_by_id[incarnation[0]] = incarnation

    def grant_ended(
        self, ended_at: float, incarnation: Incarnation, may_have_arrived: bool
    ) -> None:
        """Note that this grant was given up or answered at ``ended_at``.

        One without an answer may still arrive, and be carried out within its hold.
        """
        target_id = incarnation[0]
        self._open_grants_by_id[target_id] = max(0, self._open_grants_by_id[target_id] - 1)
        if not may_have_arrived:
            return
        last = self._last_grant_by_id.get(target_id, float("-inf"))
        self._last_grant_by_id[target_id] = max(ended_at, last)

    def died(self, incarnation: Incarnation) -> None:
        """Note that the process of this life has ended."""
        self._dead_lives.add(incarnation)

    def is_dead(self, incarnation: Incarnation) -> bool:
        """Return whether the process of this life has ended."""
        return incarnation in self._dead_lives

    def released(
        self, incarnation: Incarnation, first: int, last: int, fence: int, handover: str | None
    ) -> None:
        """Note that the target has given keys back for the transfer with ``fence``."""
        self._handover_by_release[(incarnation, first, last, fence)] = handover

    def is_released(self, incarnation: Incarnation, item: KeyRange) -> bool:
        """Return whether ``incarnation`` has released exactly the keys of ``item``."""
        return _key(incarnation, item) in self._handover_by_release

    def is_silent(
        self,
        now: float,
        item: KeyRange,
        incarnation: Incarnation,
        others_silent_at: float,
        last_arrival_s: float,
    ) -> bool:
        """Return whether ``incarnation`` certainly holds no key of ``item`` any more.

        Parameters
        ----------
        now
            Time on the lease clock.
        item
            The range.
        incarnation
            A previous holder.
        others_silent_at
            Time from which no other instance has sent it a grant.
        last_arrival_s
            How long after its end a grant may still arrive.
        """
        target_id = incarnation[0]
        if self.is_released(incarnation, item):
            # The barrier that went before the release keeps out every older grant.
            return True
        if self._open_grants_by_id[target_id]:
            return False
        if {incarnation, self._last_life_by_id.get(target_id, incarnation)} <= self._dead_lives:
            return True
        last = self._last_grant_by_id.get(target_id, float("-inf"))
        return now >= max(others_silent_at, last) + last_arrival_s + self.longest_hold_s

    def handover(self, item: KeyRange) -> str | None:
        """Return what the previous holder of exactly these keys gave back, or None."""
        for (_, first, last, fence), handover in self._handover_by_release.items():
            if (first, last, fence) == (item.first, item.last, item.fence):
                return handover
        return None

    def forget(self, first: int, last: int, fence: int) -> None:
        """Drop what was noted of a transfer whose keys have been granted."""
        transfer = (first, last, fence)
        for key in [key for key in self._handover_by_release if key[1:] == transfer]:
            del self._handover_by_release[key]


def _key(incarnation: Incarnation, item: KeyRange) -> _ReleaseKey:
    return incarnation, item.first, item.last, item.fence
