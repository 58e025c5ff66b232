"""The pace of calls to a slow store, without network."""

import unittest
from collections.abc import Sequence
from time import monotonic

import gevent

from damasktide.relay.sources import MAX_AGE_S
from damasktide.rows.follower import (
    BUSY_POLL_SCHEDULE,
    MIN_GAP_S,
    PollSchedule,
    TableFollower,
)
from damasktide.rows.store import Changes, ExpectedRow, Row, RowWrite, TableState

RESPONSE_S = 0.2
ROW = Row("t1", b"checked in", 2)


class SlowStore:
    """A store that answers each question after :data:`RESPONSE_S`."""

    def __init__(self) -> None:
        self.rows: tuple[Row, ...] = (ROW,)

    def read_table(self, table: str) -> TableState:
        gevent.sleep(RESPONSE_S)
        return TableState((), 1)

    def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        gevent.sleep(RESPONSE_S if self.rows else RESPONSE_S + wait_s)
        return Changes(self.rows, after)

    def interrupt(self) -> None:
        raise AssertionError("no call is to be ended")

    def write(self, writes: Sequence[RowWrite], expected: Sequence[ExpectedRow] = ()) -> int:
        raise AssertionError("a follower writes nothing")


class TestPollScheduleOfASlowStore(unittest.TestCase):
    def setUp(self) -> None:
        self.store = SlowStore()

    def gap_s(self, poll_schedule: PollSchedule) -> float:
        """Return the gap after an answer about changes."""
        follower = TableFollower(self.store, "reg", lambda message: None, poll_schedule)
        follower.on_wake()
        before = monotonic()
        follower.on_wake()
        due_at = follower.next_wake_at()
        assert due_at is not None
        self.assertGreaterEqual(due_at, before + RESPONSE_S + MIN_GAP_S)
        return due_at - monotonic()

    def test_last_answer_stays_young_enough_to_be_passed_on(self) -> None:
        """Guards against each machine of a region asking a slow store for itself."""
        poll_schedule = PollSchedule(gap_s=30.0, wait_s=0.1, max_age_s=20.0)
        self.assertLessEqual(self.gap_s(poll_schedule), 20.0 - 2.0 * RESPONSE_S)

    def test_gap_of_a_store_that_answers_soon_enough_is_whole(self) -> None:
        """Guards against more calls to the store than needed; each one is paid for."""
        poll_schedule = PollSchedule(gap_s=10.0, wait_s=0.1, max_age_s=40.0)
        self.assertGreater(self.gap_s(poll_schedule), 9.0)

    def test_wait_for_a_change_is_no_slowness(self) -> None:
        self.store.rows = ()
        poll_schedule = PollSchedule(gap_s=10.0, wait_s=1.0, max_age_s=11.5)
        self.assertGreater(self.gap_s(poll_schedule), 9.0)

    def test_very_slow_store_is_not_asked_without_a_gap(self) -> None:
        poll_schedule = PollSchedule(gap_s=10.0, wait_s=0.1, max_age_s=RESPONSE_S)
        self.assertLessEqual(self.gap_s(poll_schedule), MIN_GAP_S)

    def test_busy_table_stays_young_enough_for_the_relay(self) -> None:
        self.assertLessEqual(BUSY_POLL_SCHEDULE.max_age_s, MAX_AGE_S)
