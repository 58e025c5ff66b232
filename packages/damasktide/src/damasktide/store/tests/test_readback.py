import unittest

from damasktide.store.readback import Finished, ReadBack, SendWrites, WriteProgress, WriteResponse
from damasktide.store.rows import Row, StoreError, StoreErrorKind, WriteRow

OURS = WriteRow("configuration", '{"n": 1}', 3, "ours")
UNAVAILABLE = StoreError(StoreErrorKind.UNAVAILABLE, "down")


def row_after(*change_ids: str, first_version: int = 1) -> Row:
    row = Row("configuration", first_version - 1, "", "")
    for version, change_id in enumerate(change_ids, first_version):
        row = WriteRow("configuration", "{}", version - 1, change_id).applied_to(row.changes)
    return row


def lost_write() -> WriteProgress:
    progress, step = WriteProgress((OURS,), retry_until=10.0).on_rows((row_after("a", "b", "c"),))
    assert isinstance(step, SendWrites)
    progress, step = progress.on_response(WriteResponse.LOST, "lost", now=0.0)
    assert isinstance(step, ReadBack)
    return progress


class LostResponseTest(unittest.TestCase):
    def test_write_that_was_overwritten_is_still_recognised(self) -> None:
        """Guards against reporting a conflict for a write that took effect."""
        _, step = lost_write().on_rows((row_after("a", "b", "c", "ours", "other"),))
        assert isinstance(step, Finished)
        written = step.result.unwrap()[0]
        self.assertEqual((written.version, written.body), (4, OURS.body))
        self.assertEqual(written.changes[-1].change_id, "ours")

    def test_write_that_did_not_take_effect_is_sent_again(self) -> None:
        """Guards against losing a change when the request never arrived."""
        _, step = lost_write().on_rows((row_after("a", "b", "c"),))
        self.assertIsInstance(step, SendWrites)

    def test_other_write_at_our_version_is_a_conflict(self) -> None:
        """Guards against taking another operator's change for ours."""
        current = row_after("a", "b", "c", "other")
        _, step = lost_write().on_rows((current,))
        assert isinstance(step, Finished)
        error = step.result.failure()
        self.assertEqual((error.kind, error.current), (StoreErrorKind.CONFLICT, current))

    def test_version_older_than_the_history_is_unresolved(self) -> None:
        """Guards against a false conflict after more changes than the history holds."""
        later = row_after(*(f"x{i}" for i in range(30)))
        _, step = lost_write().on_rows((later,))
        assert isinstance(step, Finished)
        self.assertIs(step.result.failure().kind, StoreErrorKind.UNRESOLVED)

    def test_outcome_stays_unknown_after_a_later_attempt_that_was_not_applied(self) -> None:
        """Guards against reporting 'not written' although an earlier response was lost."""
        progress, step = lost_write().on_rows((row_after("a", "b", "c"),))
        progress, step = progress.on_response(WriteResponse.NOT_APPLIED, "refused", now=1.0)
        self.assertIsInstance(step, ReadBack)
        _, step = progress.on_read_failure(UNAVAILABLE, now=9.99)
        assert isinstance(step, Finished)
        self.assertIs(step.result.failure().kind, StoreErrorKind.UNRESOLVED)

    def test_store_that_was_never_reached_is_unavailable(self) -> None:
        """Guards against reporting an unknown outcome for a write that was never sent."""
        progress, _ = WriteProgress((OURS,), retry_until=10.0).on_rows((row_after("a", "b", "c"),))
        _, step = progress.on_response(WriteResponse.NOT_APPLIED, "refused", now=0.0)
        assert isinstance(step, Finished)
        self.assertIs(step.result.failure().kind, StoreErrorKind.UNAVAILABLE)

    def test_delays_grow_during_an_outage(self) -> None:
        """Guards against a busy loop of reads while the store is down."""
        progress, delays = lost_write(), []
        for _ in range(6):
            progress, step = progress.on_read_failure(UNAVAILABLE, now=0.0)
            assert isinstance(step, ReadBack)
            delays.append(step.delay_s)
        self.assertEqual(delays, [0.1, 0.2, 0.4, 0.4, 0.4, 0.4])


if __name__ == "__main__":
    unittest.main()
