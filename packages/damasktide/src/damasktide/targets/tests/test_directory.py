"""The list of targets: new incarnations, leaving, late check-ins, expiry in store outages."""

import unittest
from dataclasses import replace

from damasktide.rows.store import version_of
from damasktide.targets.directory import (
    EARLIER_START_CONFIRMATION_S,
    EXPIRED_ENTRY_GRACE_S,
    MAX_LEAVING,
    TargetDirectory,
)
from damasktide.targets.target import TargetEntry, TargetState

COLD_S = 3.0


def entry(
    name: str = "t1",
    incarnation: int = 1,
    state: TargetState = TargetState.READY,
    domain: str = "a1",
) -> TargetEntry:
    return TargetEntry(name, incarnation, "desk", domain, (name, 80), 6, state)


def cold_entry(name: str) -> TargetEntry:
    return replace(entry(name), cold_start_remaining_s=1.5)


def usable_ids(directory: TargetDirectory) -> list[str]:
    return [target.target_id for target in directory.view.usable_by_service.get("desk", ())]


class TestTargetDirectory(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = TargetDirectory()
        self.directory.record_listed(0.0, 1, entry())

    def test_draining_target_gets_no_work_but_stays_known(self) -> None:
        self.directory.record_listed(1.0, 2, entry(state=TargetState.DRAINING))
        self.assertEqual(usable_ids(self.directory), [])
        self.assertIn("t1", self.directory.view.entry_by_id)

    def test_target_that_announced_its_end_in_a_response_gets_no_work(self) -> None:
        """Guards against requests to a leaving target while the store is away."""
        self.directory.record_store_unavailable()
        self.assertTrue(self.directory.record_leaving(1.0, ("t1", 1)))
        self.assertFalse(self.directory.record_leaving(2.0, ("t1", 1)))
        self.assertEqual(usable_ids(self.directory), [])
        self.assertEqual(self.directory.view.leaving_since_by_id, {"t1": 1.0})

    def test_announcement_outlasts_the_entry(self) -> None:
        """Guards against an entry that lapses, returns, and lists the target as ready again."""
        self.directory.record_leaving(1.0, ("t1", 1))
        self.directory.record_unlisted(2.0, 2, "t1")
        self.directory.record_listed(5.0, 3, entry())
        self.assertEqual(usable_ids(self.directory), [])
        self.assertEqual(self.directory.view.leaving_since_by_id, {"t1": 1.0})

    def test_announcement_does_not_hold_for_the_next_incarnation(self) -> None:
        self.directory.record_leaving(1.0, ("t1", 1))
        self.directory.record_listed(2.0, 2, entry(incarnation=2))
        self.assertEqual(usable_ids(self.directory), ["t1"])
        self.assertEqual(self.directory.view.leaving_since_by_id, {})

    def test_number_of_remembered_announcements_is_limited(self) -> None:
        for number in range(MAX_LEAVING + 10):
            self.directory.record_leaving(1.0, (f"x{number}", 1))
        self.assertFalse(self.directory.record_leaving(2.0, (f"x{MAX_LEAVING + 9}", 1)))
        self.assertTrue(self.directory.record_leaving(2.0, ("x0", 1)))

    def test_stale_row_does_not_make_a_draining_target_usable(self) -> None:
        """The store may return older rows after an outage."""
        self.directory.record_listed(1.0, 5, entry(state=TargetState.DRAINING))
        self.directory.record_listed(2.0, 4, entry())
        self.assertEqual(usable_ids(self.directory), [])

    def test_late_check_in_of_an_earlier_incarnation_changes_nothing(self) -> None:
        self.directory.record_listed(1.0, 2, entry(incarnation=9))
        self.directory.record_listed(1.5, 3, entry(incarnation=1))
        self.assertEqual(self.directory.view.entry_by_id["t1"].started_at_ms, 9)

    def test_target_that_started_again_with_an_earlier_time_can_drain(self) -> None:
        """Guards against requests to a target whose drain is ignored (review/9).

        The time of day of its machine was set back between its two starts.
        """
        self.directory.record_listed(1.0, 2, entry(incarnation=9))
        self.directory.record_listed(2.0, 3, entry(incarnation=5))
        self.directory.record_listed(8.0, 4, entry(incarnation=5))
        self.assertEqual(self.directory.withdraw_earlier_starts(8.0), ())
        draining = entry(incarnation=5, state=TargetState.DRAINING)
        self.directory.record_listed(9.0, 5, draining)
        self.assertEqual(self.directory.withdraw_earlier_starts(9.1), ("t1",))
        self.assertEqual(self.directory.withdraw_earlier_starts(9.2), ())
        self.assertEqual(usable_ids(self.directory), [])

    def test_earlier_start_does_not_replace_the_known_incarnation(self) -> None:
        """Guards against a second holder of keys, while the known incarnation is cut off.

        A row of an ended incarnation may return with a restored store (soak seed 18).
        """
        self.directory.record_listed(1.0, 2, entry(incarnation=9))
        self.directory.record_listed(2.0, 3, entry(incarnation=5))
        self.directory.withdraw_earlier_starts(60.0)
        self.assertEqual(self.directory.view.entry_by_id["t1"].started_at_ms, 9)
        self.directory.record_listed(61.0, 4, entry(incarnation=5, state=TargetState.DRAINING))
        self.directory.withdraw_earlier_starts(62.0)
        self.assertEqual(self.directory.view.entry_by_id["t1"].started_at_ms, 9)

    def test_late_drain_of_an_ended_incarnation_withdraws_nothing(self) -> None:
        """Guards against a target that gets no work because an earlier incarnation drained."""
        drained = entry(incarnation=1, state=TargetState.DRAINING)
        self.directory.record_listed(1.0, 2, entry(incarnation=9))
        self.directory.record_listed(2.0, 3, drained)
        confirmed_at = 2.0 + EARLIER_START_CONFIRMATION_S
        self.assertEqual(self.directory.withdraw_earlier_starts(confirmed_at - 0.1), ())
        self.directory.record_listed(2.8, 4, entry(incarnation=9))
        self.assertEqual(self.directory.withdraw_earlier_starts(confirmed_at), ())
        self.assertEqual(usable_ids(self.directory), ["t1"])

    def test_late_drain_withdraws_nothing_while_targets_cannot_check_in(self) -> None:
        drained = entry(incarnation=1, state=TargetState.DRAINING)
        self.directory.record_listed(1.0, 2, entry(incarnation=9))
        self.directory.record_listed(2.0, 3, drained)
        self.directory.record_store_unavailable()
        self.assertEqual(self.directory.withdraw_earlier_starts(9.0), ())
        self.directory.record_store_available(10.0)
        self.assertEqual(self.directory.withdraw_earlier_starts(11.0), ())
        self.directory.record_listed(11.5, 4, entry(incarnation=9))
        self.assertEqual(self.directory.withdraw_earlier_starts(20.0), ())

    def test_unlisted_target_is_removed_at_once(self) -> None:
        self.assertTrue(self.directory.record_unlisted(1.0, 2, "t1"))
        self.assertEqual(usable_ids(self.directory), [])

    def test_entry_that_expired_in_an_outage_is_kept_for_the_grace_period(self) -> None:
        self.directory.record_store_unavailable()
        self.directory.record_store_available(10.0)
        self.directory.record_unlisted(10.1, 2, "t1")
        self.assertEqual(usable_ids(self.directory), ["t1"])
        self.assertEqual(
            self.directory.remove_expired(10.0 + EXPIRED_ENTRY_GRACE_S + 0.01), ("t1",)
        )
        self.assertEqual(usable_ids(self.directory), [])

    def test_entry_is_not_kept_after_an_interruption_in_which_none_can_expire(self) -> None:
        """Guards against requests to a target that left while a connection to the store was lost.

        Seen when the store discarded its history and cut the connections that waited for changes.
        """
        directory = TargetDirectory(shortest_outage_s=1.74)
        directory.record_listed(0.0, 1, entry())
        directory.record_listed(0.0, 2, entry("t2"))
        directory.record_store_unavailable()
        directory.record_unlisted(9.9, 3, "t2")
        directory.record_store_available(10.0, unconfirmed_s=1.7)
        directory.record_unlisted(10.1, 4, "t1")
        self.assertEqual(directory.remove_expired(10.1), ("t2",))
        self.assertEqual(usable_ids(directory), [])

    def test_entry_is_kept_after_an_outage_in_which_it_can_expire(self) -> None:
        """Guards against refusing requests because live targets could not check in."""
        directory = TargetDirectory(shortest_outage_s=1.74)
        directory.record_listed(0.0, 1, entry())
        directory.record_store_unavailable()
        directory.record_store_available(10.0, unconfirmed_s=1.8)
        directory.record_unlisted(10.1, 2, "t1")
        self.assertEqual(usable_ids(directory), ["t1"])

    def test_entry_that_is_listed_again_within_the_grace_period_is_kept(self) -> None:
        self.directory.record_store_unavailable()
        self.directory.record_store_available(10.0)
        self.directory.record_unlisted(10.1, 2, "t1")
        self.directory.record_listed(11.0, 3, entry())
        self.assertEqual(self.directory.remove_expired(20.0), ())
        self.assertEqual(usable_ids(self.directory), ["t1"])

    def test_second_outage_does_not_extend_the_grace_period_of_a_missing_entry(self) -> None:
        """Guards against requests to a target that left while this machine was isolated."""
        self.directory.record_store_unavailable()
        self.directory.record_store_available(10.0)
        self.directory.record_unlisted(10.1, 2, "t1")
        self.directory.record_store_unavailable()
        self.directory.record_store_available(11.5)
        self.assertEqual(
            self.directory.remove_expired(10.0 + EXPIRED_ENTRY_GRACE_S + 0.01), ("t1",)
        )

    def test_entry_that_disappeared_while_the_store_was_unavailable_is_kept_after_its_return(
        self,
    ) -> None:
        self.directory.record_store_unavailable()
        self.directory.record_unlisted(5.0, 2, "t1")
        self.assertEqual(self.directory.remove_expired(9.0), ())
        self.directory.record_store_available(10.0)
        self.assertEqual(self.directory.remove_expired(10.0 + EXPIRED_ENTRY_GRACE_S - 0.01), ())
        self.assertEqual(self.directory.remove_expired(10.0 + EXPIRED_ENTRY_GRACE_S), ("t1",))

    def test_complete_list_without_a_target_removes_it(self) -> None:
        """Changes may be missed when the store discards its history."""
        self.directory.reconcile(1.0, 7, frozenset())
        self.assertEqual(usable_ids(self.directory), [])

    def test_stale_list_removes_nothing(self) -> None:
        self.directory.record_listed(1.0, 9, entry("t2"))
        self.directory.reconcile(2.0, 8, frozenset({"t1"}))
        self.assertEqual(usable_ids(self.directory), ["t1", "t2"])

    def test_evacuated_domain_gets_no_work_until_the_evacuation_ends(self) -> None:
        self.directory.set_evacuated(1.0, frozenset({"a1"}), {})
        self.assertEqual(usable_ids(self.directory), [])
        self.directory.set_evacuated(2.0, frozenset(), {"a1": 5})
        self.assertEqual(usable_ids(self.directory), ["t1"])


class TestReturnOfADomain(unittest.TestCase):
    """Targets may have become cold shortly before the evacuation of their domain ends."""

    def setUp(self) -> None:
        self.directory = TargetDirectory(cold_s=lambda service: COLD_S)
        for version, listed in enumerate((entry(), entry("t2"), entry("t3", domain="a2")), 1):
            self.directory.record_listed(0.0, version, listed)
        self.directory.set_evacuated(1.0, frozenset({"a1"}), {})

    def unconfirmed(self) -> dict[str, float]:
        return dict(self.directory.view.unconfirmed_since_by_id)

    def test_targets_are_unconfirmed_until_their_entries_state_a_cold_start(self) -> None:
        """Guards against full load by an instance that has noticed no outage (review/7, seed 5).

        The entries were from before an outage of the store.
        """
        self.directory.set_evacuated(9.0, frozenset(), {"a1": 20})
        self.assertEqual(self.unconfirmed(), {"t1": 9.0, "t2": 9.0})
        self.directory.record_listed(9.5, 21, cold_entry("t1"))
        self.assertEqual(self.unconfirmed(), {"t2": 9.0})

    def test_check_in_that_is_written_late_confirms_nothing(self) -> None:
        """Guards against 17 to 20 requests a second at a cold target while writes were late.

        Its entry was deleted and written again after the return, as it had been before.
        """
        self.directory.set_evacuated(9.0, frozenset(), {"a1": 20})
        self.directory.record_unlisted(9.5, 21, "t1")
        self.assertEqual(self.unconfirmed(), {"t2": 9.0})
        self.directory.record_listed(9.6, 22, entry("t1"))
        self.directory.record_listed(9.6, 23, replace(entry("t2"), slots=7))
        self.assertEqual(self.unconfirmed(), {"t1": 9.0, "t2": 9.0})

    def test_target_that_is_new_long_after_a_return_is_used(self) -> None:
        self.directory.set_evacuated(9.0, frozenset(), {"a1": 20})
        self.directory.record_listed(9.0 + COLD_S, 22, entry("t4"))
        self.assertNotIn("t4", self.unconfirmed())

    def test_report_confirms_its_target(self) -> None:
        self.directory.set_evacuated(9.0, frozenset(), {"a1": 20})
        self.assertTrue(self.directory.record_cold_start(("t1", 1), 9.0, 1.5))
        self.assertEqual(self.unconfirmed(), {"t2": 9.0})
        self.assertEqual(self.directory.view.entry_by_id["t1"].cold_start_remaining_s, 1.5)

    def test_report_of_an_earlier_return_or_process_confirms_nothing(self) -> None:
        """Guards against a late response to a probe."""
        self.directory.set_evacuated(9.0, frozenset(), {"a1": 20})
        self.directory.set_evacuated(15.0, frozenset(), {"a1": 30})
        self.assertFalse(self.directory.record_cold_start(("t1", 1), 9.0, 0.0))
        self.assertFalse(self.directory.record_cold_start(("t1", 0), 15.0, 0.0))
        self.assertFalse(self.directory.record_cold_start(("gone", 1), 15.0, 0.0))
        self.assertEqual(self.unconfirmed(), {"t1": 15.0, "t2": 15.0})

    def test_targets_are_warm_once_a_cold_start_would_have_ended(self) -> None:
        """Guards against a lasting limit on targets whose entries do not change."""
        self.directory.set_evacuated(9.0, frozenset(), {"a1": 20})
        self.directory.confirm_warm(9.0 + COLD_S - 0.1)
        self.assertEqual(self.unconfirmed(), {"t1": 9.0, "t2": 9.0})
        self.directory.confirm_warm(9.0 + COLD_S)
        self.assertEqual(self.unconfirmed(), {})

    def test_check_in_from_before_the_return_confirms_nothing(self) -> None:
        """Guards against a check-in that is read late, and says nothing about the cold start."""
        self.directory.set_evacuated(9.0, frozenset(), {"a1": 20})
        self.directory.record_listed(9.5, 19, cold_entry("t1"))
        self.assertEqual(self.unconfirmed(), {"t1": 9.0, "t2": 9.0})

    def test_restored_entry_confirms_nothing(self) -> None:
        """Guards against an older copy of the store, whose rows are in a later era."""
        self.directory.set_evacuated(9.0, frozenset(), {"a1": 20})
        self.directory.record_listed(9.5, version_of(1, 2), cold_entry("t2"))
        self.assertIn("t2", self.unconfirmed())
        later = replace(entry("t2"), cold_start_remaining_s=0.5)
        self.directory.record_listed(10.0, version_of(1, 21), later)
        self.assertNotIn("t2", self.unconfirmed())

    def test_evacuation_that_was_missed_counts(self) -> None:
        """Guards against full load by an instance that learns of an evacuation at its end."""
        self.directory.set_evacuated(1.5, frozenset(), {})
        self.directory.set_evacuated(9.0, frozenset(), {"a2": 20})
        self.assertEqual(self.unconfirmed(), {"t3": 9.0})

    def test_return_that_is_already_known_starts_nothing(self) -> None:
        """Guards against a limit that each later evacuation of another domain starts again."""
        self.directory.set_evacuated(9.0, frozenset(), {"a1": 20})
        self.directory.set_evacuated(11.0, frozenset({"a2"}), {"a1": 20})
        self.assertEqual(self.unconfirmed(), {"t1": 9.0, "t2": 9.0})

    def test_each_return_is_confirmed_anew(self) -> None:
        self.directory.set_evacuated(9.0, frozenset(), {"a1": 20})
        self.directory.record_listed(9.5, 21, cold_entry("t1"))
        self.directory.record_listed(9.5, 22, cold_entry("t2"))
        self.assertEqual(self.unconfirmed(), {})
        self.directory.set_evacuated(10.0, frozenset({"a1"}), {"a1": 20})
        self.directory.set_evacuated(15.0, frozenset(), {"a1": 30})
        self.assertEqual(self.unconfirmed(), {"t1": 15.0, "t2": 15.0})
