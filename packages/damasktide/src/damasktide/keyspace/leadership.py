"""Leader election: a lease in a row of the store decides which instance may change the maps."""

from dataclasses import dataclass, replace
from random import Random

# Interval at which the leader rewrites its row.
LEADER_WRITE_INTERVAL_S = 0.5
# Leadership may be taken over if the row is unchanged for this long on the observer's own clock.
# The conditional write allows only one winner, so a premature takeover costs a change of the
# leader, but never safety.
TAKEOVER_AFTER_S = 1.4
TAKEOVER_JITTER_S = 0.2
# After a conflict, the new row is read from the store before the next attempt. A store that does
# not respond is retried less often, because each call is billed.
CONFLICT_RETRY_S = 0.3
WRITE_RETRY_S = 1.0
# A leader that cannot reach the store renews grants under the unchanged map for this long. This
# covers store outages of some 10 s, which users report.
LEADER_RENEWAL_LEASE_S = 15.0
# A leader that resigned renews grants for this long. A successor takes over within two polls of
# the row, its jitter, and a read of the maps.
RESIGNED_RENEWAL_S = 1.5
# Upper bound on the age of a row when its read completes, also if other instances relay it.
MAX_READ_AGE_S = 3.0
# Upper bound on the difference in rate between two clocks.
CLOCK_RATE_ERROR = 0.01
# A leader may act as the only one for this long after its last write. Another instance takes over
# after TAKEOVER_AFTER_S at the earliest.
SOLE_LEADER_S = 1.2


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The leader's row in the store.

    Attributes
    ----------
    instance, boot
        Name and boot id of the leading process; empty after it resigned.
    version
        Version of the row; 0 if there is none.
    earlier_renewals_s
        Seconds after the write of the row for which leaders before that one may renew grants.
    """

    instance: str = ""
    boot: str = ""
    version: int = 0
    earlier_renewals_s: float = 0.0


class Leadership:
    """State machine of the lease, as one instance sees it.

    Times are seconds on a clock that keeps running while the machine is suspended.

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
        self._observed_at: float | None = None
        self._jitter_s = self._rng.random() * TAKEOVER_JITTER_S
        self._write_requested_at = float("-inf")
        self._is_writing = False
        self._next_write_at = float("-inf")
        self._has_leader_ended = False
        self._takeover_after_s = TAKEOVER_AFTER_S
        self._has_resigned = False
        self._is_resignation_written = False
        self._renewals_end_at = float("inf")
        self._took_over_at = float("-inf")
        self._predecessor_renewals_end_at = float("-inf")
        # End of the renewals of the leaders before the predecessor.
        self._earlier_renewals_end_at = float("-inf")
        self._predecessor = LeaderRecord()
        self._is_predecessor_pending = False

    @property
    def record(self) -> LeaderRecord:
        """The leader's row as last observed."""
        return self._record

    @property
    def is_leader(self) -> bool:
        """Whether the row, as last observed, names this process."""
        return self._observed_at is not None and self._is_own(self._record)

    def may_renew(self, now: float) -> bool:
        """Return whether this process may renew grants under the known maps."""
        lease_ends_at = self._write_requested_at + LEADER_RENEWAL_LEASE_S
        return self.is_leader and now < min(lease_ends_at, self._renewals_end_at)

    def may_allocate(self, now: float) -> bool:
        """Return whether this process is the leader and no other one can be."""
        is_recent = now < self._write_requested_at + SOLE_LEADER_S
        return is_recent and self.is_leader and not self._has_resigned

    def took_over_at(self) -> float:
        """Return when this process learned that its write had made it the leader."""
        return self._took_over_at

    def predecessor_renewals_end_at(self) -> float:
        """Return the time after which no earlier leader renews any grant."""
        return max(self._predecessor_renewals_end_at, self._earlier_renewals_end_at)

    def earlier_renewals_s(self, now: float) -> float:
        """Return for how many seconds earlier leaders may renew, to be written into the row.

        A successor observes the row after its write, so it can count the time from then.
        """
        if not self.is_leader:
            own_lease_s = 0.0 if self._has_predecessor_ended() else LEADER_RENEWAL_LEASE_S
            remaining_s = max(self._record.earlier_renewals_s, own_lease_s)
        else:
            remaining_s = self.predecessor_renewals_end_at() - now
            if self._has_resigned:
                remaining_s = max(remaining_s, self._renewals_end_at - now)
        return max(0.0, remaining_s) * (1.0 + CLOCK_RATE_ERROR)

    def observe(self, now: float, record: LeaderRecord) -> None:
        """Apply the row as read from the store, unless its version is not newer."""
        if self._observed_at is not None and record.version <= self._record.version:
            return
        if self._is_own(record) and not self._is_own(self._record):
            # A write that got no response took effect, perhaps late: this is a takeover too.
            self._take_over(now, self._record)
            self._write_requested_at = now - MAX_READ_AGE_S
        self._record = record
        self._has_leader_ended = False
        self._observed_at = now
        self._jitter_s = self._rng.random() * TAKEOVER_JITTER_S

    def record_complete_read(self, now: float) -> None:
        """Record a complete read of the row's table; if it returned no row, there is none."""
        if self._observed_at is None:
            self._observed_at = now

    def observe_boot(self, now: float, instance: str, boot: str) -> None:
        """Record the boot id of ``instance``; any earlier process of it has ended."""
        leader = self._record
        if instance == leader.instance and boot != leader.boot:
            self._has_leader_ended = True
        predecessor = self._predecessor
        if (
            self._is_predecessor_pending
            and instance == predecessor.instance
            and boot != predecessor.boot
        ):
            self._predecessor_renewals_end_at = min(self._predecessor_renewals_end_at, now)
            self._is_predecessor_pending = False

    def is_write_due(self, now: float) -> bool:
        """Return whether this process should write the row now, to renew or take over."""
        if self._observed_at is None or self._is_writing or now < self._next_write_at:
            return False
        if self._has_resigned:
            return self.is_leader and not self._is_resignation_written
        if self.is_leader:
            return now >= self._write_requested_at + LEADER_WRITE_INTERVAL_S
        if self._has_predecessor_ended():
            return now >= self._observed_at + self._jitter_s
        return now >= self._observed_at + self._takeover_after_s + self._jitter_s

    @property
    def is_writing(self) -> bool:
        """Whether a write of the row is in flight."""
        return self._is_writing

    def record_write_started(self) -> None:
        """Record that a write is in flight."""
        self._is_writing = True

    def record_resignation(self, version: int) -> None:
        """Record a successful write of a row that names no leader."""
        self._is_writing = False
        self._is_resignation_written = True
        self._record = replace(self._record, version=version)

    def record_write(self, now: float, requested_at: float, version: int) -> None:
        """Record a successful write: the row now names this process."""
        self._is_writing = False
        predecessor = self._record
        if not self.is_leader:
            self._take_over(now, predecessor)
        self._write_requested_at = requested_at
        self._record = LeaderRecord(self._instance, self._boot, version)
        self._observed_at = now

    def set_observation_delay(self, delay_s: float) -> None:
        """Set the longest delay with which this instance notices a change of the row."""
        self._takeover_after_s = TAKEOVER_AFTER_S + delay_s

    def record_write_failure(self, now: float, is_conflict: bool) -> None:
        """Record a failed write and delay the next attempt."""
        self._is_writing = False
        self._next_write_at = now + (CONFLICT_RETRY_S if is_conflict else WRITE_RETRY_S)
        self._jitter_s = self._rng.random() * TAKEOVER_JITTER_S

    def resign(self, now: float) -> None:
        """Stop taking part in the election, and stop renewing soon after.

        Renewals go on until a successor has taken over, so that no hold expires in between. A
        leader has to write its resignation into the row.
        """
        self._has_resigned = True
        self._next_write_at = now
        self._renewals_end_at = now + RESIGNED_RENEWAL_S

    @property
    def has_resigned(self) -> bool:
        """Whether this instance no longer takes part in the election."""
        return self._has_resigned

    def _take_over(self, now: float, predecessor: LeaderRecord) -> None:
        self._predecessor = predecessor
        self._earlier_renewals_end_at = now + predecessor.earlier_renewals_s
        self._took_over_at = now
        if self._has_predecessor_ended():
            self._predecessor_renewals_end_at = now
            self._is_predecessor_pending = False
        else:
            self._predecessor_renewals_end_at = now + LEADER_RENEWAL_LEASE_S * (
                1.0 + CLOCK_RATE_ERROR
            )
            self._is_predecessor_pending = True

    def _is_own(self, record: LeaderRecord) -> bool:
        return record.instance == self._instance and record.boot == self._boot

    def _has_predecessor_ended(self) -> bool:
        """Return whether the process that the row names, if any, has resigned or ended."""
        return (
            not self._record.instance or self._has_leader_ended or self._is_own_earlier_process()
        )

    def _is_own_earlier_process(self) -> bool:
        return self._record.instance == self._instance and self._record.boot != self._boot
