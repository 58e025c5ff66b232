"""Failures of the exchange of call summaries, without a network."""

import unittest
from math import log

from damasktide.capacity.codec import (
    MAX_RECORDS,
    MalformedSummariesError,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from damasktide.capacity.messages import CallSummary, Scope, SummaryReply, SummaryRequest
from damasktide.capacity.summary_table import MAX_INSTANCE_WEIGHT, MAX_SILENCE_S, SummaryTable

TARGET, OTHER = 7, 8
SLOW = log(3.0)
LIMIT = 1000.0


def exchange(now: float, child: SummaryTable, parent: SummaryTable, lost: str = "") -> int:
    """Exchange summaries; return the number of records sent. ``lost`` names a lost message."""
    request, version = child.request(now, "parent", Scope.REST)
    if lost == "request":
        return 0
    received = decode_request(encode_request(request))
    reply = parent.serve(now, "child", received, MAX_INSTANCE_WEIGHT)
    if lost != "reply":
        child.merge_reply(now, "parent", request, version, decode_reply(encode_reply(reply)))
    return len(request.records) + len(reply.records)


class TestSummaryTable(unittest.TestCase):
    def setUp(self) -> None:
        self.child, self.parent = SummaryTable(1), SummaryTable(2)
        self.child.record_call(1.0, TARGET, SLOW, 1.0, False)

    def weight(self, table: SummaryTable, now: float = 1.0, target: int = TARGET) -> float:
        return table.summary(now, target).weight

    def test_lost_request_is_sent_again(self) -> None:
        exchange(1.0, self.child, self.parent, lost="request")
        exchange(1.0, self.child, self.parent)
        self.assertAlmostEqual(self.weight(self.parent), 1.0)

    def test_request_that_is_repeated_after_a_lost_reply_counts_once(self) -> None:
        exchange(1.0, self.child, self.parent, lost="reply")
        exchange(1.0, self.child, self.parent)
        self.assertAlmostEqual(self.weight(self.parent), 1.0)

    def test_own_calls_do_not_return_from_the_parent(self) -> None:
        """Guards against a call that is counted again on its way down."""
        self.parent.record_call(1.0, TARGET, SLOW, 1.0, False)
        for _ in range(3):
            exchange(1.0, self.child, self.parent)
        self.assertAlmostEqual(self.weight(self.child), 2.0, 1)
        self.assertAlmostEqual(self.weight(self.parent), 2.0, 1)

    def test_only_changes_are_sent(self) -> None:
        self.parent.record_call(1.0, OTHER, SLOW, 1.0, False)
        exchange(1.0, self.child, self.parent)
        exchange(1.0, self.child, self.parent)
        self.assertEqual(exchange(1.5, self.child, self.parent), 0)
        # What is not sent again decays in the same way at both.
        weights = [self.weight(table, 9.0) for table in (self.child, self.parent)]
        self.assertAlmostEqual(weights[0], weights[1], 2)

    def test_restarted_parent_gets_all_records_again(self) -> None:
        exchange(1.0, self.child, self.parent)
        restarted = SummaryTable(3)
        exchange(1.1, self.child, restarted)
        self.assertTrue(self.child.must_send_all("parent"))
        exchange(1.1, self.child, restarted)
        self.assertGreater(self.weight(restarted, 1.1), 0.9)

    def test_restarted_child_learns_all_in_its_first_exchange(self) -> None:
        for target in range(100):
            self.parent.record_call(1.0, target, SLOW, 1.0, False)
        restarted = SummaryTable(3)
        exchange(1.1, restarted, self.parent)
        self.assertTrue(all(self.weight(restarted, 1.1, target) > 0.9 for target in range(100)))

    def test_silent_child_is_dropped_and_sends_all_when_it_returns(self) -> None:
        """Guards against a call that is counted at the former and at the present parent."""
        exchange(1.0, self.child, self.parent)
        now = 1.1 + MAX_SILENCE_S
        self.parent.drop_silent(now)
        self.assertAlmostEqual(self.weight(self.parent, now), 0.0)
        exchange(now, self.child, self.parent)
        self.assertAlmostEqual(self.weight(self.parent, now), self.weight(self.child, now), 1)

    def test_former_parent_does_not_count_beside_the_present_one(self) -> None:
        self.parent.record_call(1.0, OTHER, SLOW, 1.0, False)
        exchange(1.0, self.child, self.parent)
        request, version = self.child.request(1.0, "other", Scope.REST)
        reply = self.parent.serve(1.0, "child", request, LIMIT)
        self.child.merge_reply(1.0, "other", request, version, reply)
        self.child.retain_upstream(["other"])
        self.assertAlmostEqual(self.weight(self.child, 1.0, OTHER), 1.0, 1)

    def test_wrong_report_of_one_instance_does_not_dominate(self) -> None:
        for _ in range(20):
            for sender in range(24):
                other = CallSummary(1.0, 0.0)
                request = SummaryRequest(Scope.REST, 0, 0, ((TARGET, other),))
                self.parent.serve(1.0, f"i{sender}", request, MAX_INSTANCE_WEIGHT)
        wrong = SummaryRequest(Scope.REST, 0, 0, ((TARGET, CallSummary(900.0, 30 * 900.0)),))
        received = decode_request(encode_request(wrong))
        self.parent.serve(1.0, "wrong", received, MAX_INSTANCE_WEIGHT)
        summary = self.parent.summary(1.0, TARGET)
        self.assertLess(summary.low_sum / summary.low_weight, log(1.35))

    def test_shared_summaries_decay_when_the_exchange_is_lost(self) -> None:
        self.parent.record_call(1.0, OTHER, SLOW, 1.0, False)
        exchange(1.0, self.child, self.parent)
        self.child.record_call(13.0, TARGET, SLOW, 1.0, False)
        self.assertLess(self.weight(self.child, 13.0, OTHER), 0.1)
        self.assertGreater(self.weight(self.child, 13.0), 0.9)

    def test_table_stays_exact_for_an_hour(self) -> None:
        """Guards against weights that overflow or lose precision at a fixed reference time."""
        for second in range(2, 3602):
            self.child.record_call(float(second), TARGET, SLOW, 0.1, False)
            if second % 100 == 0:
                exchange(float(second), self.child, self.parent)
        summary = self.child.summary(3601.0, TARGET)
        self.assertAlmostEqual(summary.low_sum / summary.low_weight, SLOW, 5)
        self.assertAlmostEqual(summary.weight, 0.1 / (1.0 - 2.718281828 ** (-0.25)), 2)


class TestCodec(unittest.TestCase):
    def test_malformed_messages_are_refused(self) -> None:
        request = encode_request(SummaryRequest(Scope.REST, 1, 2, ((TARGET, CallSummary(1.0)),)))
        reply = encode_reply(SummaryReply(1, 2, ((TARGET, CallSummary(1.0)),)))
        for data in (b"", b"\x07" + request[1:], request[:-1], request + bytes(12 * MAX_RECORDS)):
            self.assertRaises(MalformedSummariesError, decode_request, data)
        for data in (b"", reply[:-1], reply + bytes(12 * MAX_RECORDS)):
            self.assertRaises(MalformedSummariesError, decode_reply, data)

    def test_size_is_bounded_and_the_rest_follows(self) -> None:
        """Guards against records beyond the limit of a message that are never sent."""
        child, parent = SummaryTable(1), SummaryTable(2)
        for target in range(MAX_RECORDS + 10):
            child.record_call(1.0, target, SLOW, 1.0, False)
        for _ in range(2):
            request, _ = child.request(1.0, "parent", Scope.REST)
            self.assertLessEqual(len(encode_request(request)), 12 * MAX_RECORDS + 9)
            exchange(1.0, child, parent)
        self.assertGreater(parent.summary(1.0, MAX_RECORDS + 9).weight, 0.9)
