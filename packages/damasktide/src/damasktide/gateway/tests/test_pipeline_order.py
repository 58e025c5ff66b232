"""Decisions on pipelined requests, without sockets."""

import unittest

from damasktide.gateway.pipeline_order import (
    MAX_BUFFERED_BYTES,
    MAX_REQUESTS,
    RESPONSE_RESERVE_BYTES,
    BufferBudget,
    PipelineOrder,
    Verdict,
)

RESERVE = RESPONSE_RESERVE_BYTES


class PipelineOrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = BufferBudget(10 * RESERVE)
        self.order = PipelineOrder(self.budget)
        self.order.set_predecessor(True)

    def start(self, count: int, body_bytes: int = 0) -> list[int]:
        return [self.order.start(body_bytes, keeps_alive=True) for _ in range(count)]

    def verdict(self) -> Verdict:
        return self.order.verdict(is_stopping=False)


class TestOrder(PipelineOrderTest):
    def test_only_the_first_may_write(self) -> None:
        first, second = self.start(2)
        self.assertFalse(self.order.may_write(first))
        self.order.set_predecessor(False)
        self.assertTrue(self.order.may_write(first))
        self.assertFalse(self.order.may_write(second))
        self.order.finish(first, keeps_alive=True)
        self.assertTrue(self.order.may_write(second))

    def test_nothing_is_written_behind_the_end(self) -> None:
        first, second = self.start(2)
        self.order.set_predecessor(False)
        self.order.finish(first, keeps_alive=False)
        self.assertFalse(self.order.may_write(second))
        self.assertIs(self.verdict(), Verdict.ENDED)

    def test_nothing_starts_behind_a_request_that_closes(self) -> None:
        self.order.start(0, keeps_alive=False)
        self.assertIs(self.verdict(), Verdict.ENDED)

    def test_nothing_starts_during_a_planned_stop(self) -> None:
        (only,) = self.start(1)
        self.assertIs(self.order.verdict(is_stopping=True), Verdict.ENDED)
        self.assertTrue(self.order.is_last(only))


class TestBounds(PipelineOrderTest):
    def test_requests(self) -> None:
        """Guards against a bound that does not count the request served first."""
        self.start(MAX_REQUESTS - 1)
        self.assertIs(self.verdict(), Verdict.REQUESTS)
        self.order.set_predecessor(False)
        self.assertIs(self.verdict(), Verdict.START)

    def test_bytes_of_the_connection(self) -> None:
        self.start(2, body_bytes=MAX_BUFFERED_BYTES // 2 - RESERVE)
        self.assertIs(self.verdict(), Verdict.CONNECTION_BYTES)

    def test_bytes_of_the_instance(self) -> None:
        self.start(6)
        other = PipelineOrder(self.budget)
        other.set_predecessor(True)
        for _ in range(4):
            self.assertIs(other.verdict(is_stopping=False), Verdict.START)
            other.start(0, keeps_alive=True)
        self.assertIs(other.verdict(is_stopping=False), Verdict.INSTANCE_BYTES)

    def test_response_within_its_reserve_is_always_held(self) -> None:
        """Guards against a started request that waits for memory."""
        numbers = self.start(MAX_REQUESTS - 1)
        self.budget.used_bytes *= 2
        self.assertTrue(self.order.hold(numbers[-1], RESERVE))

    def test_long_response_is_held_up_to_the_bound(self) -> None:
        first, second = self.start(2)
        self.assertTrue(self.order.hold(first, MAX_BUFFERED_BYTES - RESERVE))
        self.assertFalse(self.order.hold(second, RESERVE + 1))
        self.order.release(first)
        self.assertTrue(self.order.hold(second, 1))

    def test_everything_is_given_back(self) -> None:
        """Guards against a budget that shrinks with each connection."""
        first, second = self.start(2, body_bytes=100)
        self.order.hold(first, 3 * RESERVE)
        self.order.release(first)
        self.order.hold(second, 2 * RESERVE)
        self.order.finish(second, keeps_alive=False)
        self.order.finish(first, keeps_alive=False)
        self.assertEqual(self.budget.used_bytes, 0)

    def test_budget_derives_from_the_memory(self) -> None:
        self.assertTrue(BufferBudget.for_machine(160.0).has_room(10_000_000))
        self.assertFalse(BufferBudget.for_machine(160.0).has_room(10_000_001))
        self.assertTrue(BufferBudget.for_machine(0.0).has_room(12_500_000))
