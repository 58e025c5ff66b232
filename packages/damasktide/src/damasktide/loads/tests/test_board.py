"""Load reports that instances tell each other, without network."""

import unittest

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.dispatch.messages import TargetSelection
from damasktide.dispatch.tests.samples import SLOTS, make_dispatcher, make_query, make_target
from damasktide.loads.codec import MalformedReportsError, decode_reports, encode_reports
from damasktide.loads.messages import PeerReport, incarnation_hash
from damasktide.loads.report_cache import KEPT_S, LoadReportCache

IDLE = LoadReport(0, 0, SLOTS)
FULL = LoadReport(SLOTS, 12, SLOTS)


class TestBoard(unittest.TestCase):
    def setUp(self) -> None:
        self.board = LoadReportCache()

    def test_newest_report_wins_whoever_tells_it(self) -> None:
        """Guards against a late message that hides a newer one."""
        self.board.take(10.0, [PeerReport(1, FULL, 0.1)], "near")
        self.assertEqual(self.board.take(10.1, [PeerReport(1, IDLE, 0.9)], "far"), [])
        told = self.board.fresh(10.1, frozenset())
        self.assertEqual([item.report for item in told], [FULL])
        self.assertAlmostEqual(told[0].age_s, 0.2)

    def test_reports_are_not_told_back(self) -> None:
        self.board.take(10.0, [PeerReport(1, FULL, 0.0)], "near")
        self.assertEqual(self.board.fresh(10.0, frozenset({"near"})), [])
        self.assertEqual(len(self.board.told_by(10.0, "near")), 1)

    def test_old_reports_are_not_told(self) -> None:
        """Guards against reports that go round for ever, older each time."""
        self.board.take(10.0, [PeerReport(1, FULL, 0.0)], "near")
        self.assertEqual(self.board.fresh(10.1 + KEPT_S, frozenset()), [])
        self.assertEqual(self.board.take(20.0, [PeerReport(2, FULL, KEPT_S + 0.1)], "near"), [])
        self.board.forget_old(20.0)
        self.assertEqual(self.board.told_by(10.0, "near"), [])

    def test_only_full_targets_and_their_relief_are_told(self) -> None:
        """Guards against calls full of reports that say no more than silence does."""
        self.board.see(10.0, 1, IDLE, "me")
        self.assertEqual(self.board.told_by(10.0, "me"), [])
        self.board.see(10.1, 1, FULL, "me")
        self.assertTrue(self.board.has_full())
        self.board.see(10.2, 1, IDLE, "me")
        self.assertEqual([item.report for item in self.board.told_by(10.2, "me")], [IDLE])
        self.assertFalse(self.board.has_full())

    def test_messages_keep_what_they_hold(self) -> None:
        heard = (PeerReport(4_000_000_000, LoadReport(3, 2, 6, 1.5), 0.25),)
        self.assertEqual(decode_reports(encode_reports(heard)), heard)
        self.assertEqual(decode_reports(encode_reports(())), ())

    def test_broken_message_is_rejected(self) -> None:
        with self.assertRaises(MalformedReportsError):
            decode_reports(b"\xff" * 15)

    def test_lives_have_numbers_of_their_own(self) -> None:
        self.assertNotEqual(incarnation_hash(("t1", 1)), incarnation_hash(("t1", 2)))


class TestDispatch(unittest.TestCase):
    def test_bookings_for_the_other_region_avoid_its_full_targets(self) -> None:
        """Guards against waits at targets whose load only instances near them see."""
        dispatcher = make_dispatcher(make_target("full", "b1"), make_target("idle", "b1"))
        dispatcher.take_peer_reports(1.0, ("full", 1), FULL, 0.2)
        dispatcher.take_peer_reports(1.0, ("idle", 1), IDLE, 0.2)
        for _ in range(4):
            selection = dispatcher.choose(1.1, make_query(regions=frozenset({"b"})))
            assert isinstance(selection, TargetSelection)
            self.assertEqual(selection.entry.target_id, "idle")

    def test_own_newer_report_is_kept(self) -> None:
        dispatcher = make_dispatcher(make_target("t1"), make_target("t2"))
        dispatcher.take_peer_reports(1.0, ("t1", 1), IDLE, 0.0)
        dispatcher.take_peer_reports(1.1, ("t1", 1), FULL, 0.5)
        dispatcher.take_peer_reports(1.1, ("t2", 1), FULL, 0.0)
        selection = dispatcher.choose(1.1, make_query())
        assert isinstance(selection, TargetSelection)
        self.assertEqual(selection.entry.target_id, "t1")

    def test_report_of_another_life_is_ignored(self) -> None:
        dispatcher = make_dispatcher(make_target("t1", incarnation=2))
        dispatcher.take_peer_reports(1.0, ("t1", 1), FULL, 0.0)
        selection = dispatcher.choose(1.0, make_query())
        assert isinstance(selection, TargetSelection)
        self.assertEqual(selection.calls, 0.0)
