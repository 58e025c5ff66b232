"""Tracks when the grants of a target have certainly expired."""

from collections import Counter

from damasktide.keyspace.key_map import Incarnation, KeyRange

# A target's clock may run up to 2 % slow.
HOLD_CLOCK_ERROR = 0.02

# A holder's incarnation, the first and last key and the fencing token of the transfer. A release
# is valid for that transfer only, because the same target may get the same keys again later.
_ReleaseKey = tuple[Incarnation, int, int, int]


class GrantExpiryTracker:
    """Tracks until when each incarnation may hold keys under grants sent by this process.

    Times are seconds on the lease clock.

    Parameters
    ----------
    hold_s
        Time for which a grant holds, from its arrival.
    """

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        # By target id: a barrier may go to a later incarnation than the one that held the keys.
        self._pending_grant_count_by_id: Counter[str] = Counter()
        self._last_grant_ended_at_by_id: dict[str, float] = {}
        self._last_incarnation_by_id: dict[str, Incarnation] = {}
        self._ended_incarnations: set[Incarnation] = set()
        self._handover_by_release: dict[_ReleaseKey, str | None] = {}

    @property
    def longest_hold_s(self) -> float:
        """Longest time for which a grant may hold after its arrival."""
        return self._hold_s * (1.0 + HOLD_CLOCK_ERROR)

    def record_grant_sent(self, incarnation: Incarnation) -> None:
        """Record that a grant was sent; it may arrive at any time until it has ended."""
        self._pending_grant_count_by_id[incarnation[0]] += 1
        self._last_incarnation_by_id[incarnation[0]] = incarnation

    def record_grant_ended(
        self, ended_at: float, incarnation: Incarnation, may_have_arrived: bool
    ) -> None:
        """Record that a grant was answered or abandoned at ``ended_at``.

        An abandoned grant may still arrive, and then holds for its full time.
        """
        target_id = incarnation[0]
        self._pending_grant_count_by_id[target_id] = max(
            0, self._pending_grant_count_by_id[target_id] - 1
        )
        if not may_have_arrived:
            return
        last_ended_at = self._last_grant_ended_at_by_id.get(target_id, float("-inf"))
        self._last_grant_ended_at_by_id[target_id] = max(ended_at, last_ended_at)

    def record_process_end(self, incarnation: Incarnation) -> None:
        """Record that the process of this incarnation has ended."""
        self._ended_incarnations.add(incarnation)

    def has_process_ended(self, incarnation: Incarnation) -> bool:
        """Return whether the process of this incarnation has ended."""
        return incarnation in self._ended_incarnations

    def record_release(
        self, incarnation: Incarnation, first: int, last: int, fence: int, handover: str | None
    ) -> None:
        """Record that the target has released keys for the transfer with ``fence``."""
        self._handover_by_release[(incarnation, first, last, fence)] = handover

    def is_released(self, incarnation: Incarnation, key_range: KeyRange) -> bool:
        """Return whether ``incarnation`` has released exactly the keys of ``key_range``."""
        return _release_key(incarnation, key_range) in self._handover_by_release

    def has_expired(
        self,
        now: float,
        key_range: KeyRange,
        incarnation: Incarnation,
        predecessor_renewals_end_at: float,
        max_arrival_delay_s: float,
    ) -> bool:
        """Return whether ``incarnation`` certainly no longer holds any key of ``key_range``.

        Parameters
        ----------
        now
            Time on the lease clock.
        key_range
            The range.
        incarnation
            A previous holder.
        predecessor_renewals_end_at
            Time on the lease clock after which no earlier leader renews any grant.
        max_arrival_delay_s
            Longest time after its end at which a grant may still arrive, in seconds.
        """
        target_id = incarnation[0]
        if self.is_released(incarnation, key_range):
            # The barrier that preceded the release makes the target refuse every older grant.
            return True
        if self._pending_grant_count_by_id[target_id]:
            return False
        if {
            incarnation,
            self._last_incarnation_by_id.get(target_id, incarnation),
        } <= self._ended_incarnations:
            return True
        last_ended_at = self._last_grant_ended_at_by_id.get(target_id, float("-inf"))
        return (
            now
            >= max(predecessor_renewals_end_at, last_ended_at)
            + max_arrival_delay_s
            + self.longest_hold_s
        )

    def handover(self, key_range: KeyRange) -> str | None:
        """Return the handover from the previous holder of exactly these keys, or None."""
        for (_, first, last, fence), handover in self._handover_by_release.items():
            if (first, last, fence) == (key_range.first, key_range.last, key_range.fence):
                return handover
        return None

    def forget_transfer(self, first: int, last: int, fence: int) -> None:
        """Forget the releases of a transfer whose keys have been granted."""
        transfer = (first, last, fence)
        for key in [key for key in self._handover_by_release if key[1:] == transfer]:
            del self._handover_by_release[key]


def _release_key(incarnation: Incarnation, key_range: KeyRange) -> _ReleaseKey:
    return incarnation, key_range.first, key_range.last, key_range.fence
