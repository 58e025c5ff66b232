"""The gaps between calls to a slow store, without network."""

import unittest
from collections.abc import Sequence
from time import monotonic

import gevent

from damasktide.relay.sources import MAX_AGE_S
from damasktide.rows.follower import (
    BUSY_POLL_SCHEDULE,
    MIN_GAP_S,
    FollowerMessage,
    PollSchedule,
    StoreUnavailable,
    TableFollower,
    TableRead,
)
from damasktide.rows.store import (
    Changes,
    ExpectedRow,
    HistoryLostError,
    Row,
    RowWrite,
    StoreNotCalledError,
    StoreUnavailableError,
    TableState,
    version_of,
)

RESPONSE_S = 0.2
ROW = Row("t1", b"checked in", 2)


class SlowStore:
    """A store that responds to each call after :data:`RESPONSE_S`."""

    def __init__(self) -> None:
        self.rows: tuple[Row, ...] = (ROW,)

    def read_table(self, table: str) -> TableState:
        gevent.sleep(RESPONSE_S)
        return TableState((), 1)

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        gevent.sleep(RESPONSE_S if self.rows else RESPONSE_S + wait_s)
        return Changes(self.rows, after)

    def interrupt(self) -> None:
        raise AssertionError("unexpected interrupt of a call")

    def write(self, writes: Sequence[RowWrite], expected: Sequence[ExpectedRow] = ()) -> int:
        raise AssertionError("a follower must not write")

    def round_trip_s(self) -> float | None:
        raise AssertionError("a follower does not measure the round trip")


class FailingStore(SlowStore):
    """A store whose calls fail with ``error`` once the table has been read."""

    error: StoreUnavailableError = StoreUnavailableError("down")

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        raise self.error


class CompleteStore(SlowStore):
    """Answers a call for changes with the complete table, as another instance does."""

    def read_table(self, table: str) -> TableState:
        return TableState((ROW, Row("t2", b"", 3)), 3)

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        return Changes((ROW,), 9, 0.1, "peer", is_complete=True)


class TestCompleteTable(unittest.TestCase):
    def test_complete_table_replaces_the_known_one(self) -> None:
        """Guards against a target that left while changes were not known."""
        messages: list[FollowerMessage] = []
        follower = TableFollower(CompleteStore(), "reg", messages.append)
        follower.on_wake()
        follower.on_wake()
        self.assertIsInstance(messages[-1], TableRead)
        snapshot = follower.snapshot.value
        assert snapshot is not None
        self.assertEqual([row.key for row in snapshot.rows], ["t1"])
        self.assertEqual((snapshot.version, snapshot.complete_since), (9, 9))


class OutdatedStore(CompleteStore):
    """Loses its history once, then returns the table of ``states``, then none."""

    def __init__(self, *states: TableState) -> None:
        super().__init__()
        self.states = list(states)

    def read_table(self, table: str) -> TableState:
        return self.states.pop(0)

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        raise HistoryLostError(table)


class InterruptedStore(SlowStore):
    """A store without pending calls."""

    def interrupt(self) -> None:
        pass


class TestRestoredStore(unittest.TestCase):
    def test_table_of_an_instance_that_does_not_know_of_the_restore_is_not_applied(self) -> None:
        """Guards against rows of the era before, which count as confirmed."""
        messages: list[FollowerMessage] = []
        states = (
            TableState((ROW,), version_of(2, 9)),
            TableState((), version_of(1, 9), 0.1, "peer"),
        )
        follower = TableFollower(OutdatedStore(*states), "reg", messages.append)
        for _ in range(3):
            follower.on_wake()
        self.assertEqual(len(messages), 1)

    def test_requested_read_ends_a_pause(self) -> None:
        """Guards against a leader that reads its restored row only after a pause of seconds."""
        messages: list[FollowerMessage] = []
        schedule = PollSchedule(gap_s=60.0, wait_s=0.1)
        follower = TableFollower(InterruptedStore(), "reg", messages.append, schedule)
        follower.start()
        self.addCleanup(follower.stop)
        gevent.sleep(2.0 * RESPONSE_S)
        follower.request_full_read()
        gevent.sleep(2.0 * RESPONSE_S)
        self.assertEqual(len(messages), 2)


class TestAvailability(unittest.TestCase):
    def reported(self, error: StoreUnavailableError) -> list[type]:
        store = FailingStore()
        store.error = error
        messages: list[object] = []
        follower = TableFollower(
            store, "reg", lambda message: None, on_availability_change=messages.append
        )
        follower.on_wake()
        follower.on_wake()
        due_at = follower.next_wake_at()
        assert due_at is not None
        self.assertGreater(due_at, monotonic())
        return [type(message) for message in messages]

    def test_failed_call_is_reported(self) -> None:
        self.assertEqual(self.reported(StoreUnavailableError("down")), [StoreUnavailable])

    def test_call_that_was_not_made_is_not_reported(self) -> None:
        """Guards against an outage of all tables because a call about one of them failed."""
        self.assertEqual(self.reported(StoreNotCalledError()), [])


class TestPollScheduleOfASlowStore(unittest.TestCase):
    def setUp(self) -> None:
        self.store = SlowStore()

    def gap_s(self, poll_schedule: PollSchedule) -> float:
        """Return the scheduled gap after a call that waits for changes."""
        follower = TableFollower(self.store, "reg", lambda message: None, poll_schedule)
        follower.on_wake()
        before = monotonic()
        follower.on_wake()
        due_at = follower.next_wake_at()
        assert due_at is not None
        self.assertGreaterEqual(due_at, before + RESPONSE_S + MIN_GAP_S)
        return due_at - monotonic()

    def test_last_response_stays_fresh_enough_to_be_relayed(self) -> None:
        """Guards against every instance polling a slow store because relayed data is too old."""
        poll_schedule = PollSchedule(gap_s=30.0, wait_s=0.1, max_age_s=20.0)
        self.assertLessEqual(self.gap_s(poll_schedule), 20.0 - 2.0 * RESPONSE_S)

    def test_gap_of_a_fast_enough_store_is_not_shortened(self) -> None:
        """Guards against needless calls to the store; each one is billed."""
        poll_schedule = PollSchedule(gap_s=10.0, wait_s=0.1, max_age_s=40.0)
        self.assertGreater(self.gap_s(poll_schedule), 9.0)

    def test_wait_for_a_change_does_not_count_as_slowness(self) -> None:
        self.store.rows = ()
        poll_schedule = PollSchedule(gap_s=10.0, wait_s=1.0, max_age_s=11.5)
        self.assertGreater(self.gap_s(poll_schedule), 9.0)

    def test_very_slow_store_is_polled_with_the_shortest_gap(self) -> None:
        poll_schedule = PollSchedule(gap_s=10.0, wait_s=0.1, max_age_s=RESPONSE_S)
        self.assertLessEqual(self.gap_s(poll_schedule), MIN_GAP_S)

    def test_busy_table_stays_fresh_enough_to_be_relayed(self) -> None:
        self.assertLessEqual(BUSY_POLL_SCHEDULE.max_age_s, MAX_AGE_S)
