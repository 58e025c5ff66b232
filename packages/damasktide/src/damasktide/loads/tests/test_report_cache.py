"""Cache and codec of load reports exchanged between instances, without a network."""

import unittest

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.dispatch.messages import TargetSelection
from damasktide.dispatch.tests.samples import SLOTS, make_dispatcher, make_query, make_target
from damasktide.loads.codec import MalformedReportsError, decode_reports, encode_reports
from damasktide.loads.messages import PeerReport, incarnation_hash
from damasktide.loads.report_cache import MAX_REPORT_AGE_S, LoadReportCache

IDLE = LoadReport(0, 0, SLOTS)
FULL = LoadReport(SLOTS, 12, SLOTS)


class TestLoadReportCache(unittest.TestCase):
    def setUp(self) -> None:
        self.cache = LoadReportCache()

    def test_newest_report_is_kept_regardless_of_its_source(self) -> None:
        """Guards against a delayed message that replaces a newer report."""
        self.cache.merge(10.0, [PeerReport(1, FULL, 0.1)], "near")
        self.assertEqual(self.cache.merge(10.1, [PeerReport(1, IDLE, 0.9)], "far"), [])
        reports = self.cache.reports_excluding(10.1, frozenset())
        self.assertEqual([item.report for item in reports], [FULL])
        self.assertAlmostEqual(reports[0].age_s, 0.2)

    def test_reports_are_not_returned_to_their_source(self) -> None:
        self.cache.merge(10.0, [PeerReport(1, FULL, 0.0)], "near")
        self.assertEqual(self.cache.reports_excluding(10.0, frozenset({"near"})), [])
        self.assertEqual(len(self.cache.reports_from(10.0, "near")), 1)

    def test_expired_reports_are_not_sent(self) -> None:
        """Guards against reports that circulate indefinitely as they age."""
        self.cache.merge(10.0, [PeerReport(1, FULL, 0.0)], "near")
        self.assertEqual(self.cache.reports_excluding(10.1 + MAX_REPORT_AGE_S, frozenset()), [])
        self.assertEqual(
            self.cache.merge(20.0, [PeerReport(2, FULL, MAX_REPORT_AGE_S + 0.1)], "near"), []
        )
        self.cache.drop_expired(20.0)
        self.assertEqual(self.cache.reports_from(10.0, "near"), [])

    def test_only_targets_that_are_or_were_full_are_reported(self) -> None:
        """Guards against messages full of reports of targets that are assumed idle anyway."""
        self.cache.record_own(10.0, 1, IDLE, "self")
        self.assertEqual(self.cache.reports_from(10.0, "self"), [])
        self.cache.record_own(10.1, 1, FULL, "self")
        self.assertTrue(self.cache.has_full_target())
        self.cache.record_own(10.2, 1, IDLE, "self")
        self.assertEqual([item.report for item in self.cache.reports_from(10.2, "self")], [IDLE])
        self.assertFalse(self.cache.has_full_target())

    def test_encoding_preserves_all_fields(self) -> None:
        reports = (PeerReport(4_000_000_000, LoadReport(3, 2, 6, 1.5), 0.25),)
        self.assertEqual(decode_reports(encode_reports(reports)), reports)
        self.assertEqual(decode_reports(encode_reports(())), ())

    def test_malformed_message_is_rejected(self) -> None:
        with self.assertRaises(MalformedReportsError):
            decode_reports(b"\xff" * 15)

    def test_incarnations_have_different_hashes(self) -> None:
        self.assertNotEqual(incarnation_hash(("t1", 1)), incarnation_hash(("t1", 2)))


class TestDispatch(unittest.TestCase):
    def test_full_targets_of_another_region_are_avoided(self) -> None:
        """Guards against queueing at targets whose load only nearby instances observe."""
        dispatcher = make_dispatcher(make_target("full", "b1"), make_target("idle", "b1"))
        dispatcher.record_peer_report(1.0, ("full", 1), FULL, 0.2)
        dispatcher.record_peer_report(1.0, ("idle", 1), IDLE, 0.2)
        for _ in range(4):
            selection = dispatcher.choose(1.1, make_query(regions=frozenset({"b"})))
            assert isinstance(selection, TargetSelection)
            self.assertEqual(selection.entry.target_id, "idle")

    def test_newer_report_is_kept(self) -> None:
        dispatcher = make_dispatcher(make_target("t1"), make_target("t2"))
        dispatcher.record_peer_report(1.0, ("t1", 1), IDLE, 0.0)
        dispatcher.record_peer_report(1.1, ("t1", 1), FULL, 0.5)
        dispatcher.record_peer_report(1.1, ("t2", 1), FULL, 0.0)
        selection = dispatcher.choose(1.1, make_query())
        assert isinstance(selection, TargetSelection)
        self.assertEqual(selection.entry.target_id, "t1")

    def test_report_of_another_incarnation_is_ignored(self) -> None:
        dispatcher = make_dispatcher(make_target("t1", incarnation=2))
        dispatcher.record_peer_report(1.0, ("t1", 1), FULL, 0.0)
        selection = dispatcher.choose(1.0, make_query())
        assert isinstance(selection, TargetSelection)
        self.assertEqual(selection.calls, 0.0)
