"""When a target that was given keys certainly no longer holds them."""

from collections import Counter

from damasktide.keyspace.key_map import KeyRange, Life

# A target's clock may run two in a hundred slow.
HOLD_CLOCK_ERROR = 0.02
# Bytes that were sent before a connection was reset may still arrive for this time.
LAST_ARRIVAL_S = 0.15


# A holder's life with first key, last key and fencing token of the transfer: a release counts for
# that transfer only, because the same target may be granted the same keys again later.
_ReleaseKey = tuple[Life, int, int, int]


class SilenceRecord:
    """Remembers until when each life may hold keys by grants that this process has sent.

    Times are seconds on the lease clock.

    Parameters
    ----------
    hold_s
        Time for which a grant holds, from its arrival.
    """

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        self._open_grants: Counter[Life] = Counter()
        self._held_until_by_life: dict[Life, float] = {}
        self._late_until_by_life: dict[Life, float] = {}
        self._dead_lives: set[Life] = set()
        self._handover_by_release: dict[_ReleaseKey, str | None] = {}

    @property
    def longest_hold_s(self) -> float:
        """Time after its last possible arrival for which a grant may hold."""
        return self._hold_s * (1.0 + HOLD_CLOCK_ERROR) + LAST_ARRIVAL_S

    def grant_sent(self, life: Life) -> None:
        """Note that a grant is on its way; its arrival is open until it has ended."""
        self._open_grants[life] += 1

    def grant_ended(self, ended_at: float, life: Life, is_answered: bool) -> None:
        """Note that this grant cannot arrive after ``ended_at``.

        One without an answer may be carried out late, after a release, within its hold.
        """
        self._open_grants[life] = max(0, self._open_grants[life] - 1)
        until = ended_at + self.longest_hold_s
        self._held_until_by_life[life] = max(until, self._held_until_by_life.get(life, 0.0))
        if not is_answered:
            self._late_until_by_life[life] = self._held_until_by_life[life]

    def died(self, life: Life) -> None:
        """Note that the process of this life has ended."""
        self._dead_lives.add(life)

    def is_dead(self, life: Life) -> bool:
        """Return whether the process of this life has ended."""
        return life in self._dead_lives

    def released(
        self, life: Life, first: int, last: int, fence: int, handover: str | None
    ) -> None:
        """Note that the target has given keys back for the transfer with ``fence``."""
        self._handover_by_release[(life, first, last, fence)] = handover

    def is_released(self, life: Life, item: KeyRange) -> bool:
        """Return whether ``life`` has given back exactly the keys of ``item`` for its transfer."""
        return _key(life, item) in self._handover_by_release

    def is_silent(self, now: float, item: KeyRange, life: Life, others_silent_at: float) -> bool:
        """Return whether ``life`` certainly holds no key of ``item`` any more.

        Parameters
        ----------
        now
            Time on the lease clock.
        item
            The range.
        life
            A previous holder.
        others_silent_at
            Time from which no other instance has sent it a grant.
        """
        if life in self._dead_lives:
            return True
        if self.is_released(life, item):
            return now >= self._late_until_by_life.get(life, float("-inf"))
        if self._open_grants[life]:
            return False
        unknown_until = others_silent_at + self.longest_hold_s
        return now >= max(unknown_until, self._held_until_by_life.get(life, float("-inf")))

    def handover(self, item: KeyRange) -> str | None:
        """Return what the last holder of exactly these keys gave back, or None."""
        if not item.previous:
            return None
        return self._handover_by_release.get(_key(item.previous[-1], item))

    def forget(self, item: KeyRange) -> None:
        """Drop what was noted of the previous holders of a range that has been granted."""
        for life in item.previous:
            self._handover_by_release.pop(_key(life, item), None)


def _key(life: Life, item: KeyRange) -> _ReleaseKey:
    return life, item.first, item.last, item.fence
