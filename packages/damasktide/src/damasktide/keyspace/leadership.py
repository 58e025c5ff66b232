"""Which instance may change the maps: a lease in a row of the store."""

from dataclasses import dataclass
from random import Random

# The leader writes its row this often.
RENEWAL_PERIOD_S = 0.5
# A row unchanged for this long, on the observer's own clock, may be taken over. The store's
# condition allows one winner, so an early takeover costs a change of the leader, never safety.
TAKEOVER_AFTER_S = 1.4
TAKEOVER_JITTER_S = 0.2
# After a conflict the row is awaited from the store before the next try; a store that does not
# answer is tried less often, because each call is paid for.
CONFLICT_RETRY_S = 0.3
WRITE_RETRY_S = 1.0
# A leader that has lost the store renews grants under the unchanged map for this long. It covers
# the outages of some 10 s that the users describe.
RIGHT_S = 15.0
# A row that was read may be this old by the time it is seen.
LONGEST_READ_S = 1.5
# Bound on the difference in rate between two clocks.
CLOCK_RATE_ERROR = 0.01


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The leader as the store has it.

    Attributes
    ----------
    instance, boot
        Name and boot id of the leading process; empty after it resigned.
    version
        Version of the row; 0 if there is none.
    """

    instance: str = ""
    boot: str = ""
    version: int = 0


class Leadership:
    """State machine of one instance's view of the lease.

    Times are seconds on a clock that runs while the machine is suspended.

    Parameters
    ----------
    instance, boot
        Name and boot id of this process.
    rng
        Source of the jitter between candidates.
    """

    def __init__(self, instance: str, boot: str, rng: Random | None = None) -> None:
        self._instance = instance
        self._boot = boot
        self._rng = rng or Random()
        self._record = LeaderRecord()
        self._seen_at: float | None = None
        self._jitter_s = self._rng.random() * TAKEOVER_JITTER_S
        self._asked_at = float("-inf")
        self._is_writing = False
        self._write_again_at = float("-inf")
        self._has_leader_ended = False
        self._takeover_after_s = TAKEOVER_AFTER_S
        self._has_resigned = False
        self._took_over_at = float("-inf")
        self._others_silent_at = float("-inf")
        self._predecessor = LeaderRecord()
        self._is_predecessor_pending = False

    @property
    def record(self) -> LeaderRecord:
        """The leader as last seen."""
        return self._record

    @property
    def is_leader(self) -> bool:
        """Whether the row, as last seen, names this process."""
        return self._seen_at is not None and self._is_own(self._record)

    def may_renew(self, now: float) -> bool:
        """Return whether grants under the known maps may be renewed."""
        return self.is_leader and now < self._asked_at + RIGHT_S

    def took_over_at(self) -> float:
        """Return when the write that made this process the leader was known to have succeeded."""
        return self._took_over_at

    def others_silent_at(self) -> float:
        """Return the time from which no earlier leader renews any grant."""
        return self._others_silent_at

    def seen(self, now: float, record: LeaderRecord) -> None:
        """Take in the row; an older version than a known one is ignored."""
        if self._seen_at is not None and record.version <= self._record.version:
            return
        if self._is_own(record) and not self._is_own(self._record):
            # A write without an answer took effect, perhaps late: a takeover like any other.
            self._take_over(now, self._record)
            self._asked_at = now - LONGEST_READ_S
        self._record = record
        self._has_leader_ended = False
        self._seen_at = now
        self._jitter_s = self._rng.random() * TAKEOVER_JITTER_S

    def absent(self, now: float) -> None:
        """Take in that there is no row."""
        if self._seen_at is None:
            self._seen_at = now

    def ended(self, now: float, instance: str, boot: str) -> None:
        """Take in that ``instance`` now runs as ``boot``: its earlier process has ended."""
        leader = self._record
        if instance == leader.instance and boot != leader.boot:
            self._has_leader_ended = True
        before = self._predecessor
        if self._is_predecessor_pending and instance == before.instance and boot != before.boot:
            self._others_silent_at = min(self._others_silent_at, now)
            self._is_predecessor_pending = False

    def wants_write(self, now: float) -> bool:
        """Return whether the row is to be written now."""
        if self._seen_at is None or self._is_writing or self._has_resigned:
            return False
        if now < self._write_again_at:
            return False
        if self.is_leader:
            return now >= self._asked_at + RENEWAL_PERIOD_S
        if not self._record.instance or self._has_leader_ended or self._is_earlier_self():
            return now >= self._seen_at + self._jitter_s
        return now >= self._seen_at + self._takeover_after_s + self._jitter_s

    def write_begins(self) -> None:
        """Note that a write is on its way."""
        self._is_writing = True

    def wrote(self, now: float, requested_at: float, version: int) -> None:
        """Take in that the row now names this process."""
        self._is_writing = False
        before = self._record
        if not self.is_leader:
            self._take_over(now, before)
        self._asked_at = requested_at
        self._record = LeaderRecord(self._instance, self._boot, version)
        self._seen_at = now

    def set_observation_gap(self, gap_s: float) -> None:
        """Take in how long a change of the row may go unseen here."""
        self._takeover_after_s = TAKEOVER_AFTER_S + gap_s

    def write_failed(self, now: float, is_conflict: bool) -> None:
        """Take in that the write failed; the row is then read again before another try."""
        self._is_writing = False
        self._write_again_at = now + (CONFLICT_RETRY_S if is_conflict else WRITE_RETRY_S)
        self._jitter_s = self._rng.random() * TAKEOVER_JITTER_S

    def resign(self) -> None:
        """Take no part any more."""
        self._has_resigned = True

    @property
    def has_resigned(self) -> bool:
        """Whether this instance takes no part any more."""
        return self._has_resigned

    def _take_over(self, now: float, before: LeaderRecord) -> None:
        self._predecessor = before
        self._took_over_at = now
        if not before.instance or self._has_leader_ended or self._is_earlier_self():
            self._others_silent_at = now
            self._is_predecessor_pending = False
        else:
            self._others_silent_at = now + RIGHT_S * (1.0 + CLOCK_RATE_ERROR)
            self._is_predecessor_pending = True

    def _is_own(self, record: LeaderRecord) -> bool:
        return record.instance == self._instance and record.boot == self._boot

    def _is_earlier_self(self) -> bool:
        return self._record.instance == self._instance and self._record.boot != self._boot
