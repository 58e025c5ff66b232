"""The list of targets: new lives, leaving, late check-ins, entries that lapse in an outage."""

import unittest

from damasktide.targets.directory import EXPIRED_ENTRY_GRACE_S, TargetDirectory
from damasktide.targets.target import TargetEntry, TargetState


def entry(
    name: str = "t1",
    incarnation: int = 1,
    state: TargetState = TargetState.READY,
    domain: str = "a1",
) -> TargetEntry:
    return TargetEntry(name, incarnation, "desk", domain, (name, 80), 6, state)


def usable(directory: TargetDirectory) -> list[str]:
    return [item.target_id for item in directory.view.usable_by_service.get("desk", ())]


class TestTargetDirectory(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = TargetDirectory()
        self.directory.record_listed(0.0, 1, entry())

    def test_draining_target_gets_nothing_but_stays_known(self) -> None:
        self.directory.record_listed(1.0, 2, entry(state=TargetState.DRAINING))
        self.assertEqual(usable(self.directory), [])
        self.assertIn("t1", self.directory.view.entry_by_id)

    def test_stale_row_does_not_bring_a_draining_target_back(self) -> None:
        """The store may answer with older rows after an outage."""
        self.directory.record_listed(1.0, 5, entry(state=TargetState.DRAINING))
        self.directory.record_listed(2.0, 4, entry())
        self.assertEqual(usable(self.directory), [])

    def test_late_check_in_of_an_earlier_life_changes_nothing(self) -> None:
        self.directory.record_listed(1.0, 2, entry(incarnation=9))
        self.directory.record_listed(1.5, 3, entry(incarnation=1))
        self.assertEqual(self.directory.view.entry_by_id["t1"].started_at_ms, 9)

    def test_unlisted_target_is_gone_at_once(self) -> None:
        self.assertTrue(self.directory.record_unlisted(1.0, 2, "t1"))
        self.assertEqual(usable(self.directory), [])

    def test_entry_that_lapsed_in_an_outage_is_kept_for_the_grace(self) -> None:
        self.directory.record_store_unavailable()
        self.directory.record_store_available(10.0)
        self.directory.record_unlisted(10.1, 2, "t1")
        self.assertEqual(usable(self.directory), ["t1"])
        self.assertEqual(self.directory.expire(10.0 + EXPIRED_ENTRY_GRACE_S + 0.01), ("t1",))
        self.assertEqual(usable(self.directory), [])

    def test_entry_that_is_back_within_the_grace_is_kept(self) -> None:
        self.directory.record_store_unavailable()
        self.directory.record_store_available(10.0)
        self.directory.record_unlisted(10.1, 2, "t1")
        self.directory.record_listed(11.0, 3, entry())
        self.assertEqual(self.directory.expire(20.0), ())
        self.assertEqual(usable(self.directory), ["t1"])

    def test_second_outage_keeps_a_missing_entry_no_longer(self) -> None:
        """Guards against requests to a target that left while this machine was cut off."""
        self.directory.record_store_unavailable()
        self.directory.record_store_available(10.0)
        self.directory.record_unlisted(10.1, 2, "t1")
        self.directory.record_store_unavailable()
        self.directory.record_store_available(11.5)
        self.assertEqual(self.directory.expire(10.0 + EXPIRED_ENTRY_GRACE_S + 0.01), ("t1",))

    def test_entry_that_went_missing_while_the_store_was_away_is_kept_after_its_return(
        self,
    ) -> None:
        self.directory.record_store_unavailable()
        self.directory.record_unlisted(5.0, 2, "t1")
        self.assertEqual(self.directory.expire(9.0), ())
        self.directory.record_store_available(10.0)
        self.assertEqual(self.directory.expire(10.0 + EXPIRED_ENTRY_GRACE_S - 0.01), ())
        self.assertEqual(self.directory.expire(10.0 + EXPIRED_ENTRY_GRACE_S), ("t1",))

    def test_complete_list_without_a_target_drops_it(self) -> None:
        """Changes may be missed when the store drops its history."""
        self.directory.reconcile(1.0, 7, frozenset())
        self.assertEqual(usable(self.directory), [])

    def test_stale_list_drops_nothing(self) -> None:
        self.directory.record_listed(1.0, 9, entry("t2"))
        self.directory.reconcile(2.0, 8, frozenset({"t1"}))
        self.assertEqual(usable(self.directory), ["t1", "t2"])

    def test_evacuated_domain_gets_nothing_until_it_is_taken_back(self) -> None:
        self.directory.set_evacuated(frozenset({"a1"}))
        self.assertEqual(usable(self.directory), [])
        self.directory.set_evacuated(frozenset())
        self.assertEqual(usable(self.directory), ["t1"])
