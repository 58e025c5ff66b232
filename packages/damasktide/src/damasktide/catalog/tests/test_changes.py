import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import gevent

from damasktide.catalog.changes import (
    Applied,
    ApplyErrorKind,
    ApplyResult,
    Change,
    apply_change,
    read_configuration,
)
from damasktide.catalog.tests.samples import LISTS, OTHER_LISTS
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.messages import ReadRow
from damasktide.store.object_client import object_name
from damasktide.store.store_task import StoreTask
from damasktide_standins.platform.server import PlatformServer

ADA_CHANGE = Change("ada", "change-ada", "lists", lists=LISTS)
BISI_CHANGE = Change("bisi", "change-bisi", "lists", lists=OTHER_LISTS)


class InterruptedStore:
    """Applies another change right after the first read."""

    def __init__(self, store: StoreTask, other_change: Callable[[], object]) -> None:
        self._store = store
        self._other_changes = [other_change]

    def ask(self, message: object, timeout_s: float) -> Any:
        result = self._store.ask(message, timeout_s)
        if isinstance(message, ReadRow) and self._other_changes:
            self._other_changes.pop()()
        return result


class ApplyChangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = PlatformServer()
        self.platform.start()
        self.addCleanup(self.platform.stop)
        self.store, self.other_store = self.start_store(), self.start_store()

    def start_store(self) -> StoreTask:
        url = self.platform.url
        store = StoreTask(StoreEndpoints(url, url, timeout_s=0.5))
        store.start()
        self.addCleanup(store.stop)
        return store

    def version(self) -> int:
        return read_configuration(self.other_store).unwrap()[1].version

    def test_row_references_a_stored_object(self) -> None:
        """Guards against a version whose lists cannot be fetched."""
        self.assertEqual(apply_change(self.store, ADA_CHANGE).unwrap(), Applied(1, 0, True))
        _, configuration = read_configuration(self.store).unwrap()
        self.assertEqual(configuration.object_name, object_name(LISTS))
        path = f"damasktide/{configuration.object_name}"
        self.assertEqual(self.platform.app.object_by_path[path], LISTS)

    def test_concurrent_changes_have_one_winner_that_the_conflict_names(self) -> None:
        """Guards against the change of one operator silently overwriting that of another."""
        jobs = [
            gevent.spawn(apply_change, self.store, replace(ADA_CHANGE, based_on=0)),
            gevent.spawn(apply_change, self.other_store, replace(BISI_CHANGE, based_on=0)),
        ]
        results: list[ApplyResult] = [job.get(timeout=5) for job in jobs]
        losers = [r.failure() for r in results if r.value_or(None) is None]
        self.assertEqual([error.kind for error in losers], [ApplyErrorKind.CONFLICT])
        winner = read_configuration(self.store).unwrap()[1]
        self.assertEqual(losers[0].current, winner)
        self.assertIn(f"{winner.author} has made version 1", losers[0].detail)
        self.assertEqual(winner.version, 1)

    def test_stale_base_is_a_conflict(self) -> None:
        """Guards against undoing a change that the author is not aware of."""
        apply_change(self.store, ADA_CHANGE).unwrap()
        error = apply_change(self.other_store, replace(BISI_CHANGE, based_on=0)).failure()
        self.assertIs(error.kind, ApplyErrorKind.CONFLICT)
        self.assertEqual((error.based_on, self.version()), (0, 1))

    def test_row_that_changes_between_read_and_write_is_a_conflict(self) -> None:
        """Guards against writing a body derived from an older row with a newer base."""
        apply_change(self.store, ADA_CHANGE).unwrap()
        store = InterruptedStore(self.store, lambda: apply_change(self.other_store, BISI_CHANGE))
        out = Change("chidi", "change-chidi", "domain-out", "ondo-a", based_on=2)
        self.assertIs(apply_change(store, out).failure().kind, ApplyErrorKind.CONFLICT)
        _, current = read_configuration(self.store).unwrap()
        self.assertEqual((current.author, current.domains_out), ("bisi", ()))

    def test_lost_response_followed_by_a_change_of_another_operator(self) -> None:
        """Guards against a false conflict, or a second application, after a lost response."""
        apply_change(self.store, ADA_CHANGE).unwrap()
        self.platform.app.change_faults({"drop_answers": 1})
        job = gevent.spawn(apply_change, self.store, replace(BISI_CHANGE, based_on=1))
        while self.platform.app.faults.current.drop_answers:
            gevent.sleep(0.001)
        out = Change("chidi", "change-chidi", "domain-out", "ondo-a", based_on=2)
        self.assertEqual(apply_change(self.other_store, out).unwrap().version, 3)
        self.assertEqual(job.get(timeout=5).unwrap(), Applied(2, 1, True))
        _, current = read_configuration(self.store).unwrap()
        self.assertEqual((current.version, current.author), (3, "chidi"))
        self.assertEqual(current.object_name, object_name(OTHER_LISTS))

    def test_repeat_with_the_same_change_id_never_applies_twice(self) -> None:
        """Guards against a repeat that reverts changes made in the meantime."""
        change = replace(ADA_CHANGE, based_on=0)
        apply_change(self.store, change).unwrap()
        apply_change(self.other_store, BISI_CHANGE).unwrap()
        self.assertEqual(apply_change(self.other_store, change).unwrap(), Applied(1, 0, True))
        for number in range(20):
            edit = "domain-out" if number % 2 else "domain-in"
            name = f"d{number // 2}" if number % 2 else f"d{number // 2 - 1}"
            apply_change(self.store, Change("ada", f"n{number}", edit, name)).unwrap()
        before = self.version()
        self.assertGreater(before, 17)
        error = apply_change(self.other_store, replace(change, repeated=True)).failure()
        self.assertEqual((error.kind, self.version()), (ApplyErrorKind.HISTORY_EXCEEDED, before))

    def test_outage_reports_whether_the_change_may_have_taken_effect(self) -> None:
        """Guards against reporting 'not applied' for a change that may have been applied."""
        apply_change(self.store, ADA_CHANGE).unwrap()
        job = gevent.spawn(apply_change, self.store, BISI_CHANGE)
        self.platform.app.change_faults({"drop_answers": 1})
        while self.platform.app.faults.current.drop_answers:
            gevent.sleep(0.001)
        self.platform.app.change_faults({"down": True})
        self.assertIs(job.get(timeout=8).failure().kind, ApplyErrorKind.UNRESOLVED)
        again = replace(BISI_CHANGE, based_on=1, repeated=True)
        self.assertIs(apply_change(self.store, again).failure().kind, ApplyErrorKind.UNRESOLVED)
        error = apply_change(self.store, BISI_CHANGE).failure()
        self.assertIs(error.kind, ApplyErrorKind.UNAVAILABLE)

    def test_domains_and_instances_out_of_service(self) -> None:
        """Guards against edits that undo other edits, and against versions without a change."""
        early = apply_change(self.store, Change("ada", "c0", "domain-out", "ondo-a"))
        self.assertIs(early.failure().kind, ApplyErrorKind.REFUSED)
        apply_change(self.store, ADA_CHANGE).unwrap()
        steps = [("domain-out", "ondo-a"), ("instance-out", "i-1"), ("domain-out", "oyo-a")]
        for number, (edit, name) in enumerate([*steps, ("domain-in", "oyo-a")]):
            apply_change(self.store, Change("ada", f"n{number}", edit, name)).unwrap()
        again = apply_change(self.store, Change("ada", "again", "domain-out", "ondo-a"))
        self.assertEqual(again.unwrap(), Applied(5, 5, False))
        _, current = read_configuration(self.store).unwrap()
        self.assertEqual((current.domains_out, current.instances_out), (("ondo-a",), ("i-1",)))
        self.assertEqual(current.object_name, object_name(LISTS))


if __name__ == "__main__":
    unittest.main()
