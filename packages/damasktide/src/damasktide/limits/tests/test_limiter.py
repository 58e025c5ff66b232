import time
import unittest
from collections.abc import Iterator
from dataclasses import replace
from random import Random
from unittest.mock import patch

import gevent

from damasktide.admission.refusals import RefusalCode
from damasktide.balancing.targets import Target
from damasktide.limits.fair_queue import FairQueue
from damasktide.limits.limiter import Limiter
from damasktide.limits.members import GROWTH_DELAY_S, Member
from damasktide.limits.messages import (
    Admitted,
    CapacityChanged,
    Entry,
    Leave,
    MembersChanged,
    PeerContacted,
    Refused,
    ServiceTargetsChanged,
    Verdict,
    VolumesChanged,
)
from damasktide.limits.rate_limiter import RateLimiter
from damasktide.limits.service_limiter import ServiceLimiter
from damasktide.limits.slot_share import SlotShare
from damasktide.limits.task import LimiterTask, Shares
from damasktide.limits.tests.overload_model import CAPACITY_PER_S, OverloadModel, arrivals
from damasktide.membership.instances import Instance, InstanceState
from damasktide.runtime.clock import ManualClock

SECONDS = 4.0
UNBOUNDED = 10**9


def refusal_codes(verdicts: list[Verdict]) -> list[RefusalCode | None]:
    return [verdict.refusal.code if isinstance(verdict, Refused) else None for verdict in verdicts]


def admitted_tickets(verdicts: list[Verdict]) -> list[int]:
    return [verdict.ticket for verdict in verdicts if isinstance(verdict, Admitted)]


class OverloadTest(unittest.TestCase):
    @staticmethod
    def goodput(factor: float, seed: int, limiter: ServiceLimiter) -> float:
        rng = Random(seed)
        streams = [
            arrivals(rng, f"c{index}", factor * CAPACITY_PER_S / 4, SECONDS) for index in range(4)
        ]
        return sum(OverloadModel(limiter, rng).run(*streams).in_time.values()) / SECONDS

    def test_goodput_stays_near_its_peak_in_overload(self) -> None:
        """Guards against slots used for requests whose callers no longer wait."""
        for seed in (1, 2, 3):
            peak = max(self.goodput(f, seed, ServiceLimiter()) for f in (0.8, 1.0, 1.2))
            for factor in (2.0, 5.0):
                ratio = self.goodput(factor, seed, ServiceLimiter()) / peak
                self.assertGreater(ratio, 0.9, (seed, factor))
        # Control: with an unbounded queue and no early refusal, goodput collapses.
        naive = ServiceLimiter(FairQueue(UNBOUNDED, UNBOUNDED), refuses_early=False)
        self.assertLess(self.goodput(2.0, 1, naive) / peak, 0.5)


class SingleCustomerLimiter(ServiceLimiter):
    """Control that treats all requests as those of one customer."""

    def enter(self, now: float, entry: Entry) -> Iterator[Verdict]:
        yield from super().enter(now, replace(entry, customer="everyone"))


class FairnessTest(unittest.TestCase):
    @staticmethod
    def calm_success(limiter: ServiceLimiter, flood_owner: str | None, seed: int) -> float:
        """Return the lowest success fraction of nine calm customers during a flood by a tenth."""
        rng = Random(seed)
        calm = [f"c{index}" for index in range(9)]
        streams = [arrivals(rng, name, CAPACITY_PER_S / 20, SECONDS) for name in calm]
        streams.append(arrivals(rng, "flood", 10 * CAPACITY_PER_S, SECONDS, flood_owner))
        tally = OverloadModel(limiter, rng).run(*streams)
        return min(tally.success_fraction(name) for name in calm)

    def test_flood_by_one_customer_does_not_affect_the_others(self) -> None:
        """Guards against one customer that takes the slots and the queue places of the others."""
        for seed in (1, 2, 3):
            self.assertGreater(self.calm_success(ServiceLimiter(), None, seed), 0.99, seed)
        self.assertLess(self.calm_success(SingleCustomerLimiter(), None, 1), 0.5)

    def test_keyed_flood_does_not_affect_unkeyed_work_of_others(self) -> None:
        """Guards against keyed work that starves unkeyed work because it has priority."""
        for seed in (1, 2, 3):
            self.assertGreater(self.calm_success(ServiceLimiter(), "s0", seed), 0.99, seed)
        with patch("damasktide.limits.fair_queue.KEYED_LEAD_CALLS", 1e9):
            self.assertLess(self.calm_success(ServiceLimiter(), "s0", 1), 0.5)

    def test_full_queue_drops_from_the_longest_backlog(self) -> None:
        """Guards against a flood that fills the queue so that other customers are refused."""
        queue = FairQueue(max_queued=4, max_per_customer=4)
        for ticket in range(4):
            queue.push(Entry(ticket, "flood", "desk", 10.0 + ticket))
        victim = queue.push(Entry(9, "calm", "desk", 99.0))
        assert victim is not None
        self.assertEqual((victim.customer, victim.ticket, len(queue)), ("flood", 3, 4))
        again = Entry(10, "flood", "desk", 1.0)
        self.assertIs(queue.push(again), again)


class OrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limiter = ServiceLimiter()
        list(self.limiter.set_capacity(0.0, 1, {"s0": 1, "s1": 1}))

    def enter(self, ticket: int, deadline: float, owner: str | None = None) -> list[Verdict]:
        return list(self.limiter.enter(0.0, Entry(ticket, "c", "desk", deadline, owner)))

    def test_keyed_work_runs_first_then_earliest_deadline(self) -> None:
        """Guards against keyed work behind unkeyed work, and early deadlines behind later ones."""
        self.assertEqual(admitted_tickets(self.enter(1, 9.0)), [1])
        for ticket, deadline, owner in ((2, 5.0, None), (3, 3.0, None), (4, 8.0, "s0")):
            self.assertEqual(self.enter(ticket, deadline, owner), [])
        order = [
            admitted_tickets(list(self.limiter.leave(0.01, ticket)))[0] for ticket in (1, 4, 3)
        ]
        self.assertEqual(order, [4, 3, 2])

    def test_work_for_a_busy_owner_does_not_block_other_work(self) -> None:
        """Guards against one hot owner that blocks the queue of the service."""
        list(self.limiter.set_capacity(0.0, 3, {"s0": 1, "s1": 2}))
        self.assertEqual(admitted_tickets(self.enter(1, 9.0)), [1])
        self.limiter.place(1, "s0")
        self.assertEqual(self.enter(2, 9.0, "s0"), [])
        self.assertEqual(admitted_tickets(self.enter(3, 9.0, "s1")), [3])
        self.assertEqual(admitted_tickets(self.enter(4, 9.0)), [4])
        self.assertEqual(admitted_tickets(list(self.limiter.leave(0.1, 1))), [2])

    def test_deadline_that_cannot_be_met_is_refused_at_once(self) -> None:
        """Guards against callers that wait in vain and are refused only at their deadline."""
        self.assertEqual(refusal_codes(self.enter(1, 9.0)), [None])
        list(self.limiter.leave(1.0, 1))
        self.assertEqual(refusal_codes(self.enter(2, 0.5)), [RefusalCode.DEADLINE_TOO_SHORT])
        self.assertEqual(refusal_codes(self.enter(3, 1.5)), [None])
        self.assertEqual(refusal_codes(self.enter(4, 1.5)), [RefusalCode.OVERLOADED])
        self.assertEqual(self.enter(5, 3.5), [])
        self.assertEqual(refusal_codes(list(self.limiter.expire(3.0))), [RefusalCode.OVERLOADED])

    def test_caller_that_gives_up_leaves_the_queue(self) -> None:
        """Guards against a slot assigned to a caller that no longer waits."""
        self.enter(1, 9.0)
        self.enter(2, 8.0)
        self.enter(3, 9.0)
        self.assertEqual(list(self.limiter.leave(0.1, 2)), [])
        self.assertEqual(admitted_tickets(list(self.limiter.leave(0.2, 1))), [3])


class LimiterTest(unittest.TestCase):
    def test_volume_and_missing_targets_have_their_own_codes(self) -> None:
        """Guards against refusals that give the caller the wrong reason."""
        limiter = Limiter(RateLimiter(1.0))
        entry = Entry(1, "c", "desk", 9.0)
        self.assertEqual(refusal_codes(list(limiter.enter(0.0, entry))), [RefusalCode.NO_TARGET])
        limiter.rates.set_rates(0.0, {"c": 1.0})
        list(limiter.set_capacity(0.0, CapacityChanged("desk", 1, {"s0": 1})))
        self.assertEqual(refusal_codes(list(limiter.enter(0.0, entry))), [None])
        second = Entry(2, "c", "desk", 9.0)
        self.assertEqual(
            refusal_codes(list(limiter.enter(0.0, second))), [RefusalCode.VOLUME_EXCEEDED]
        )

    def test_refused_request_does_not_use_up_volume(self) -> None:
        """Guards against charging a customer's volume for requests refused because of overload."""
        limiter = Limiter(RateLimiter(1.0))
        limiter.rates.set_rates(0.0, {"c": 1.0})
        list(limiter.set_capacity(0.0, CapacityChanged("desk", 1, {"s0": 1})))
        keyed = Entry(1, "c", "desk", 9.0, "s9")
        self.assertEqual(refusal_codes(list(limiter.enter(0.0, keyed))), [RefusalCode.OVERLOADED])
        self.assertEqual(
            refusal_codes(list(limiter.enter(0.0, Entry(2, "c", "desk", 9.0)))), [None]
        )

    def test_forwarded_request_counts_only_where_it_was_received(self) -> None:
        """Guards against a customer with one key that gets only one instance's share of volume."""
        limiter = Limiter(RateLimiter(1.0))
        limiter.rates.set_rates(0.0, {"c": 1.0})
        list(limiter.set_capacity(0.0, CapacityChanged("desk", 3, {"s0": 3})))
        for ticket in (1, 2):
            entry = Entry(ticket, "c", "desk", 9.0, counts_volume=False)
            self.assertEqual(refusal_codes(list(limiter.enter(0.0, entry))), [None])
        self.assertIsNone(limiter.take_volume(0.0, "c"))
        refusal = limiter.take_volume(0.0, "c")
        assert refusal is not None
        self.assertEqual(refusal.code, RefusalCode.VOLUME_EXCEEDED)


class LimiterTaskTest(unittest.TestCase):
    def test_requests_and_shares_go_through_the_task(self) -> None:
        """Guards against a waiting caller that never gets its verdict."""
        own, peer = (Instance(f"i{n}", "a", "north", "127.0.0.1", 1, 2) for n in range(2))
        published: list[Shares] = []
        clock = ManualClock()
        task = LimiterTask(own, published.append, clock)
        task.start()
        desk = Target("s0", "desk", "a", "north", "127.0.0.1", 1)
        alive = tuple(Member(instance, InstanceState.ALIVE) for instance in (own, peer))
        task.ask(ServiceTargetsChanged("desk", (desk,)))
        task.ask(VolumesChanged({"trust": 100.0}))
        task.ask(MembersChanged(alive))
        self.assertEqual(published[-1].share_by_server["s0"].of(6), 0)
        clock.advance(GROWTH_DELAY_S)
        task.ask(PeerContacted())
        task.ask(MembersChanged(alive))
        self.assertEqual(published[-1].fraction, 0.5)
        self.assertIn(published[-1].share_by_server["s0"], (SlotShare(0, 2), SlotShare(1, 2)))
        task.ask(CapacityChanged("desk", 1, {"s0": 1}))
        first = task.enter("trust", "desk", 60.0)
        waiting = gevent.spawn(task.enter, "trust", "desk", 60.0)
        late = gevent.spawn(task.enter, "trust", "desk", 2.01)
        gevent.sleep(0)
        task.ask(PeerContacted())
        clock.advance(0.02)
        self.assertEqual(refusal_codes([late.get(timeout=1.0)]), [RefusalCode.OVERLOADED])
        task.tell(Leave(first.ticket))
        self.assertIsInstance(waiting.get(timeout=1.0), Admitted)
        task.stop()


class HotPathTest(unittest.TestCase):
    def test_enter_and_leave_without_a_queue_are_cheap(self) -> None:
        """Guards against limits that take a noticeable part of the time of a request."""
        limiter = Limiter(RateLimiter(1.0))
        limiter.rates.set_rates(0.0, {"c": 1e9})
        list(limiter.set_capacity(0.0, CapacityChanged("desk", 100, {"s0": 100})))
        best = float("inf")
        for round_index in range(20):
            started = time.perf_counter()
            for ticket in range(100):
                list(limiter.enter(round_index, Entry(ticket, "c", "desk", 1e9)))
                list(limiter.leave(round_index, ticket))
            best = min(best, (time.perf_counter() - started) / 100)
        self.assertLess(best, 50e-6)


if __name__ == "__main__":
    unittest.main()
