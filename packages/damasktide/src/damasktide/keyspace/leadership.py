"""Leader election: a lease in a row of the store decides which instance may change the maps."""

from dataclasses import dataclass, replace
from random import Random

from damasktide.rows.store import era_of

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
    era
        Era of the store in which the row was written.
    lost_renewals_s
        Seconds after the write of the row for which leaders may renew grants by maps that they
        know from before a restore, and that the store may have lost.
    """

    instance: str = ""
    boot: str = ""
    version: int = 0
    earlier_renewals_s: float = 0.0
    era: int = 0
    lost_renewals_s: float = 0.0

    @property
    def is_restored(self) -> bool:
        """Whether nobody has written the row since the store returned from an older copy.

        Other leaders may then have followed, of which the store knows nothing.
        """
        return self.era < era_of(self.version)


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
        self._era: int | None = None
        # When this process noticed that rows of the current era may come from an older copy.
        self._restored_at: float | None = None
        self._is_sole_leader = False
        # Whether this process led when the store was restored, and has led since.
        self._has_continued = False
        self._lost_renewals_end_at = float("-inf")

    @property
    def record(self) -> LeaderRecord:
        """The leader's row as last observed."""
        return self._record

    @property
    def is_leader(self) -> bool:
        """Whether the row, as last observed, names this process."""
        return self._observed_at is not None and self._is_own(self._record)

    @property
    def is_sole_leader(self) -> bool:
        """Whether no other instance can have led since the last write before a restore.

        The maps that this instance knows are then the newest that any leader has written.
        """
        return self._is_sole_leader and self.is_leader

    @property
    def has_seen_restore(self) -> bool:
        """Whether this process has noticed a restore of the store."""
        return self._restored_at is not None

    def random_delay_s(self, min_s: float) -> float:
        """Return a random time between ``min_s`` and twice as long."""
        return min_s * self._rng.uniform(1.0, 2.0)

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
            remaining_s = max(
                self._record.earlier_renewals_s,
                own_lease_s,
                self._lost_renewals_end_after(now, self._record) - now,
            )
        else:
            remaining_s = self.predecessor_renewals_end_at() - now
            if self._has_resigned:
                remaining_s = max(remaining_s, self._renewals_end_at - now)
        return max(0.0, remaining_s) * (1.0 + CLOCK_RATE_ERROR)

    def lost_renewals_end_at(self) -> float:
        """Return the time after which no other leader renews grants by a map the store has lost.

        It holds for maps that no leader has written since the restore.
        """
        return self._lost_renewals_end_at

    def lost_renewals_s(self, now: float) -> float:
        """Return for how many seconds leaders may renew by lost maps, to be put into the row."""
        if not self.is_leader:
            end_at = self._lost_renewals_end_after(now, self._record)
        elif self._has_continued:
            end_at = now + LEADER_RENEWAL_LEASE_S
        else:
            end_at = self._lost_renewals_end_at
        return max(0.0, end_at - now) * (1.0 + CLOCK_RATE_ERROR)

    def observe(self, now: float, record: LeaderRecord) -> None:
        """Apply the row as read from the store, unless its version is not newer."""
        if self._observed_at is not None and record.version <= self._record.version:
            return
        self.observe_era(now, era_of(record.version))
        if record.is_restored and self._restored_at is None:
            self._restored_at = now
        is_new_era = era_of(record.version) > era_of(self._record.version)
        if is_new_era:
            # A resignation that the copy lacks is written again.
            self._is_resignation_written = False
        if self._is_own(record) and self.is_leader and is_new_era:
            self._continue_after_restore(now)
        elif self._is_own(record) and not self._is_own(self._record):
            # A write that got no response took effect, perhaps late: this is a takeover too.
            self._take_over(now, self._record)
            self._write_requested_at = now - MAX_READ_AGE_S
        self._record = record
        self._has_leader_ended = False
        self._observed_at = now
        self._jitter_s = self._rng.random() * TAKEOVER_JITTER_S

    def observe_era(self, now: float, era: int, knows_newest_maps: bool = False) -> None:
        """Record the era of a response; if it has risen, the store has lost its latest writes.

        Parameters
        ----------
        now
            Time in seconds.
        era
            Era of the store.
        knows_newest_maps
            Whether this process, if it leads, knows all maps that leaders before it have written.
        """
        if self._era is not None and era > self._era:
            self._restored_at = now
            # Another instance takes over at the earliest when it has seen the row unchanged for
            # TAKEOVER_AFTER_S. By then the store was in its new era, so no such write was lost.
            takeover_at = self._write_requested_at + TAKEOVER_AFTER_S * (1.0 - CLOCK_RATE_ERROR)
            self._is_sole_leader = self.is_leader and knows_newest_maps and now < takeover_at
        self._era = era if self._era is None else max(era, self._era)

    def record_complete_read(self, now: float, version: int = 0) -> None:
        """Record a complete read of the row's table; if it returned no row, there is none."""
        self.observe_era(now, era_of(version))
        if self._observed_at is None:
            self._observed_at = now
        elif self._record.version and era_of(self._record.version) < era_of(version):
            # The copy is older than the first write of the row.
            self._record = LeaderRecord()
            self._has_leader_ended = False
            self._observed_at = now

    def observe_boot(self, now: float, instance: str, boot: str, version: int) -> None:
        """Record the boot id of ``instance``, as read from a row with ``version``.

        Any earlier process of the instance has ended. A row older than the leader's row may be
        that of an earlier process itself.
        """
        leader = self._record
        if instance == leader.instance and boot != leader.boot and _follows(version, leader):
            self._has_leader_ended = True
        predecessor = self._predecessor
        if (
            self._is_predecessor_pending
            and instance == predecessor.instance
            and boot != predecessor.boot
            and _follows(version, predecessor)
        ):
            self._predecessor_renewals_end_at = min(self._predecessor_renewals_end_at, now)
            self._is_predecessor_pending = False

    def is_write_due(self, now: float) -> bool:
        """Return whether this process should write the row now, to renew or take over."""
        if self._observed_at is None or self._is_writing or now < self._next_write_at:
            return False
        if self._record.version and era_of(self._record.version) < (self._era or 0):
            # The row must be read again first, or the store would refuse the write.
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
        if self._is_lost(version):
            return
        self._is_resignation_written = True
        self._record = replace(self._record, version=version)

    def record_write(self, now: float, requested_at: float, version: int) -> None:
        """Record a successful write: the row now names this process."""
        self._is_writing = False
        if self._is_lost(version):
            return
        self.observe_era(now, era_of(version))
        predecessor = self._record
        if not self.is_leader:
            self._take_over(now, predecessor)
        self._write_requested_at = requested_at
        self._record = LeaderRecord(self._instance, self._boot, version, era=era_of(version))
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

    def _is_lost(self, version: int) -> bool:
        """Return whether a write with ``version`` was lost before its response was handled."""
        return era_of(version) < (self._era or 0)

    def _lost_renewals_end_after(self, now: float, record: LeaderRecord) -> float:
        """Return when leaders before the restore no longer renew grants, as ``record`` shows."""
        is_of_earlier_era = era_of(record.version) < (self._era or 0)
        if self._restored_at is None or not (record.is_restored or is_of_earlier_era):
            return now + record.lost_renewals_s
        return self._restored_at + LEADER_RENEWAL_LEASE_S * (1.0 + CLOCK_RATE_ERROR)

    def _continue_after_restore(self, now: float) -> None:
        """Go on leading, because the restored row names this process too."""
        assert self._restored_at is not None
        # Another instance may have led in the new era if this one did not read the row at once.
        self._is_sole_leader &= now < self._restored_at + TAKEOVER_AFTER_S
        self._has_continued = True
        self._next_write_at = now
        if not self.may_renew(now):
            self._take_over(now, self._record)
        elif not self._is_sole_leader:
            self._lost_renewals_end_at = self._lost_renewals_end_after(now, self._record)
            self._earlier_renewals_end_at = max(
                self._earlier_renewals_end_at, self._lost_renewals_end_at
            )

    def _take_over(self, now: float, predecessor: LeaderRecord) -> None:
        self._predecessor = predecessor
        self._is_sole_leader = False
        self._has_continued = False
        self._lost_renewals_end_at = self._lost_renewals_end_after(now, predecessor)
        self._earlier_renewals_end_at = max(
            now + predecessor.earlier_renewals_s, self._lost_renewals_end_at
        )
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


def _follows(version: int, record: LeaderRecord) -> bool:
    """Return whether a row with ``version`` was written after ``record``."""
    return version > record.version and era_of(version) == era_of(record.version)
