"""Follows a table: one complete read, then its changes."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import monotonic

from loguru import logger

from damasktide.rows.snapshot import RowFingerprint, TableSnapshot, value_fingerprint
from damasktide.rows.store import (
    Changes,
    HistoryLostError,
    Row,
    RowStore,
    StoreNotCalledError,
    StoreUnavailableError,
    TableState,
    era_of,
)
from damasktide.runtime.clock import LeaseClock
from damasktide.runtime.published import Published
from damasktide.runtime.task import Task, handles

# Initial and maximum backoff after a failed call; each failure doubles it. The pause is a random
# 50 to 100 % of the backoff.
INITIAL_RETRY_S = 0.2
MAX_RETRY_S = 0.4


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """How often a table is polled for changes; each call to the store is billed.

    Attributes
    ----------
    gap_s
        Normal pause between two calls, and so the longest delay until a change is noticed. The
        pause is shorter if the store is slow, see ``max_age_s``.
    wait_s
        Longest time for which one call waits for a change. It is short for a table that changes
        constantly, because an unresponsive store is noticed only after this time.
    relayed_gap_s
        Pause between two calls to another instance, which replies when there are changes.
    max_age_s
        Maximum age of the latest data when the next response arrives, counted from the start of
        the call that returned it, without the time that calls wait for changes. If the store is
        slow, the next call starts earlier, because the data would otherwise become too old to be
        relayed.
    """

    gap_s: float
    wait_s: float
    relayed_gap_s: float = 0.02
    max_age_s: float = float("inf")


# Shortest pause between calls to a slow store.
MIN_GAP_S = 0.05
# Longest wait of a call while the store is unavailable, because the call may hang on an
# unresponsive connection.
UNAVAILABLE_WAIT_S = 0.3
# The list of targets changes often, and its short calls notice an unresponsive store. The maximum
# age must not exceed damasktide.relay.sources.MAX_AGE_S, which other instances accept.
BUSY_POLL_SCHEDULE = PollSchedule(gap_s=0.6, wait_s=0.2, max_age_s=1.2)
# Changes by operators and of the key maps are rare, and must be noticed at once. A connection that
# went silent is noticed after the wait, and machines have to be up to date again after 4 s.
QUIET_POLL_SCHEDULE = PollSchedule(gap_s=0.05, wait_s=3.0)


@dataclass(frozen=True, slots=True)
class TableRead:
    """The complete table has been read, at the start or because changes were missed.

    Attributes
    ----------
    table
        Name of the table.
    state
        Its rows.
    requested_at
        Time on the lease clock at which the rows were requested from the store.
    """

    table: str
    state: TableState
    requested_at: float

    @property
    def rows(self) -> tuple[Row, ...]:
        """The rows of the table."""
        return self.state.rows

    @property
    def relayed_by(self) -> str:
        """Name of the instance that relayed the rows; empty for the store."""
        return self.state.relayed_by


@dataclass(frozen=True, slots=True)
class TableChanged:
    """Rows have changed; the attributes are as in :class:`TableRead`."""

    table: str
    changes: Changes
    requested_at: float

    @property
    def rows(self) -> tuple[Row, ...]:
        """The changed rows."""
        return self.changes.rows

    @property
    def relayed_by(self) -> str:
        """Name of the instance that relayed the rows; empty for the store."""
        return self.changes.relayed_by


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store does not respond."""

    table: str
    detail: str


@dataclass(frozen=True, slots=True)
class StoreAvailable:
    """The store responds again."""

    table: str


FollowerMessage = TableRead | TableChanged
AvailabilityMessage = StoreUnavailable | StoreAvailable


def provenance(message: FollowerMessage, now: float) -> dict[str, object]:
    """Return the fields of a log line that tell where rows came from and how old they are.

    Parameters
    ----------
    message
        Message with the rows.
    now
        Time on the lease clock in seconds at which the rows are applied.
    """
    return {
        "source": message.relayed_by or "store",
        "age_s": round(now - message.requested_at, 3),
    }


@dataclass(frozen=True, slots=True)
class _ReadNow:
    """Wakes the follower, whose next call is due."""


class TableFollower(Task):
    """Notifies another task of changes in a table; owns its connection to the store.

    Other instances get the changes from the snapshot that it publishes.

    Parameters
    ----------
    store
        Client that only this task uses.
    table
        Name of the table.
    notify
        Called with a :class:`TableRead` or :class:`TableChanged` message after each successful
        call.
    poll_schedule
        How often the table is polled for changes.
    on_availability_change
        Receives a message when the store becomes unavailable or available again.
    fingerprint
        Returns the part of a row that matters to other instances.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        notify: Callable[[FollowerMessage], None],
        poll_schedule: PollSchedule = QUIET_POLL_SCHEDULE,
        on_availability_change: Callable[[AvailabilityMessage], None] = lambda message: None,
        fingerprint: RowFingerprint = value_fingerprint,
    ) -> None:
        super().__init__(f"follow-{table}")
        self.snapshot: Published[TableSnapshot | None] = Published(None)
        self._fingerprint = fingerprint
        self._store = store
        self._table = table
        self._notify = notify
        self._poll_schedule = poll_schedule
        self._on_availability_change = on_availability_change
        self._version: int | None = None
        self._retry_s = INITIAL_RETRY_S
        self._is_store_unavailable = False
        self._is_full_read_requested = False
        self._is_history_lost = False
        self._due_at = 0.0
        self._clock = LeaseClock()
        self._random = Random()

    def interrupt(self) -> None:
        """Interrupt a pending call, unless the store is already known to be unavailable."""
        if not self._is_store_unavailable:
            self._store.interrupt()

    def request_full_read(self) -> None:
        """Read the complete table in the next call, and :meth:`interrupt` a pending one."""
        self._version = None
        self._is_full_read_requested = True
        self._due_at = 0.0
        self.interrupt()
        # Ends the pause between two calls, which takes seconds on an observer of the leader's row.
        self.tell(_ReadNow())

    def set_poll_schedule(self, poll_schedule: PollSchedule) -> None:
        """Replace the schedule from the next call on."""
        self._poll_schedule = poll_schedule

    @handles(_ReadNow)
    def _read_now(self, message: _ReadNow) -> None:
        """Do nothing; the task makes the call that is due after each message."""

    def next_wake_at(self) -> float | None:
        """Return when the next call is due."""
        return self._due_at

    def on_wake(self) -> None:
        """Make the next call."""
        requested_at = self._clock.now()
        self._is_full_read_requested = False
        try:
            message = self._call(requested_at)
        except HistoryLostError:
            logger.bind(table=self._table, version=self._version).info(
                "the requested changes are no longer known; reading the complete table"
            )
            self._version = None
            self._is_history_lost = True
            return
        except StoreNotCalledError:
            # The next call finds out whether the store is available to this follower.
            self._schedule_retry()
            return
        except StoreUnavailableError as error:
            if self._is_full_read_requested:
                # The call was interrupted in order to read the complete table.
                return
            self._record_failure(str(error))
            return
        except Exception as error:
            # A response that was not foreseen must not end the task.
            logger.bind(table=self._table, version=self._version).exception("cannot read changes")
            self._record_failure(str(error))
            return
        self._record_success()
        self._notify(message)

    def _call(self, requested_at: float) -> FollowerMessage:
        if self._version is None:
            return self._read(requested_at)
        started_at = monotonic()
        wait_s = self._wait_s()
        changes = self._store.wait_for_changes(self._table, self._version, wait_s)
        if changes.is_complete:
            logger.bind(table=self._table, source=changes.relayed_by).info(
                "the changes are no longer known; got the complete table"
            )
            self._is_history_lost = True
            state = TableState(
                changes.rows, changes.version, changes.relayed_age_s, changes.relayed_by
            )
            return self._table_read(state, requested_at, started_at)
        # None if request_full_read was called during the call.
        if self._version is not None:
            self._version = max(self._version, changes.version)
        if changes.relayed_age_s is None:
            # The store sends a response without rows only at the end of the wait.
            self._due_at = self._due_after_call(started_at, 0.0 if changes.rows else wait_s)
        else:
            self._due_at = monotonic() + self._poll_schedule.relayed_gap_s
        requested_at += changes.waited_s - (changes.relayed_age_s or 0.0)
        known = self.snapshot.value
        assert known is not None
        self.snapshot.publish(known.updated(changes, requested_at, self._fingerprint))
        return TableChanged(self._table, changes, requested_at)

    def _read(self, requested_at: float) -> FollowerMessage:
        started_at = monotonic()
        state = self._store.read_table(self._table)
        known = self.snapshot.value
        if known is not None and era_of(state.version) < era_of(known.version):
            # From another instance that does not know yet that the store was restored.
            raise StoreUnavailableError("the table was read before the store was restored")
        return self._table_read(state, requested_at, started_at)

    def _table_read(
        self, state: TableState, requested_at: float, started_at: float
    ) -> FollowerMessage:
        self._version = state.version
        if state.relayed_age_s is None:
            self._due_at = self._due_after_call(started_at)
        else:
            self._due_at = monotonic() + self._poll_schedule.relayed_gap_s
        requested_at -= state.relayed_age_s or 0.0
        known = self.snapshot.value
        if known is None:
            self.snapshot.publish(TableSnapshot.of(state, requested_at, self._fingerprint))
        else:
            self.snapshot.publish(
                known.reread(state, requested_at, self._fingerprint, self._is_history_lost)
            )
        self._is_history_lost = False
        return TableRead(self._table, state, requested_at)

    def _due_after_call(self, started_at: float, waited_s: float = 0.0) -> float:
        """Return when to call the store again.

        The next response is assumed to take as long as the last one. The age of a response counts
        from the start of its call, so both durations reduce the gap.
        """
        now = monotonic()
        response_s = now - started_at - waited_s
        fresh_gap_s = max(MIN_GAP_S, self._poll_schedule.max_age_s - 2.0 * response_s)
        return now + min(self._poll_schedule.gap_s, fresh_gap_s)

    def _wait_s(self) -> float:
        return (
            min(UNAVAILABLE_WAIT_S, self._poll_schedule.wait_s)
            if self._is_store_unavailable
            else self._poll_schedule.wait_s
        )

    def _record_failure(self, detail: str) -> None:
        if not self._is_store_unavailable:
            self._is_store_unavailable = True
            logger.bind(table=self._table, detail=detail).warning("store unavailable")
            self._on_availability_change(StoreUnavailable(self._table, detail))
        self._schedule_retry()

    def _schedule_retry(self) -> None:
        self._due_at = monotonic() + self._retry_s * self._random.uniform(0.5, 1.0)
        self._retry_s = min(MAX_RETRY_S, 2.0 * self._retry_s)

    def _record_success(self) -> None:
        self._retry_s = INITIAL_RETRY_S
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            logger.bind(table=self._table).info("store available again")
            self._on_availability_change(StoreAvailable(self._table))
