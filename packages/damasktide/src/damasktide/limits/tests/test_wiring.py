import unittest
from random import Random

import gevent

from damasktide.balancing.locality import Locality
from damasktide.balancing.messages import (
    AskStatus,
    BalancerStatus,
    CallOutcome,
    Done,
    NoPick,
    Pick,
    Picked,
    SharesChanged,
    TargetsChanged,
)
from damasktide.balancing.targets import Target
from damasktide.balancing.task import BalancerTask
from damasktide.limits.members import GROWTH_DELAY_S, Member
from damasktide.limits.messages import (
    Admitted,
    CapacityChanged,
    Leave,
    MembersChanged,
    PeerContacted,
    Placed,
    ServiceTargetsChanged,
)
from damasktide.limits.slot_share import NO_SHARE
from damasktide.limits.task import LimiterTask, Shares
from damasktide.membership.instances import Instance, InstanceState
from damasktide.runtime.clock import ManualClock

TARGETS = tuple(Target(f"s{n}", "desk", "a", "north", "127.0.0.1", 1) for n in range(25))
OWN_LOCALITY = Locality("a", "north")


class WiringTest(unittest.TestCase):
    """Connects both tasks as an instance does, with one peer instance."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        own, peer = (Instance(f"i{n}", "a", "north", "127.0.0.1", 1, 2) for n in range(2))
        self.members = tuple(Member(instance, InstanceState.ALIVE) for instance in (own, peer))
        self.limiter = LimiterTask(own, self.pass_shares, self.clock)
        self.balancer = BalancerTask(
            "desk",
            OWN_LOCALITY,
            "power_of_two",
            0.0,
            Random(1),
            self.clock,
            initial_share=NO_SHARE,
            on_status=self.pass_capacity,
        )
        self.limiter.start()
        self.balancer.start()
        self.balancer.ask(TargetsChanged(TARGETS))
        self.limiter.ask(ServiceTargetsChanged("desk", TARGETS))
        self.join()

    def tearDown(self) -> None:
        self.limiter.stop()
        self.balancer.stop()

    def pass_shares(self, shares: Shares) -> None:
        self.balancer.tell(SharesChanged(shares.share_by_server, 0.0))

    def pass_capacity(self, status: BalancerStatus) -> None:
        self.limiter.tell(CapacityChanged.from_status("desk", status))

    def join(self) -> None:
        self.limiter.ask(MembersChanged(self.members))
        self.clock.advance(GROWTH_DELAY_S)
        self.limiter.ask(PeerContacted())
        self.limiter.ask(MembersChanged(self.members))
        self.balancer.ask(AskStatus())

    def start_call(self) -> tuple[int, str]:
        verdict = self.limiter.enter("trust", "desk", self.clock.now() + 1.0)
        assert isinstance(verdict, Admitted), verdict
        picked = self.balancer.ask(Pick())
        assert isinstance(picked, Picked), picked
        self.limiter.tell(Placed(verdict.ticket, picked.target.server_id))
        return verdict.ticket, picked.target.server_id

    def test_admitted_requests_get_a_target_within_the_share(self) -> None:
        """Guards against limits and balancing that count the same slots differently."""
        # Half of the 150 slots belong to this instance.
        slots = sum(
            target.limit for target in self.balancer.ask(AskStatus()).status_by_server.values()
        )
        self.assertEqual(slots, 75)
        running = [self.start_call() for _ in range(slots)]
        self.assertIsInstance(self.balancer.ask(Pick()), NoPick)
        ticket, server_id = running[0]
        deadline = self.clock.now() + 1.0
        waiting = gevent.spawn(self.limiter.enter, "trust", "desk", deadline, server_id)
        gevent.sleep(0)
        self.limiter.ask(PeerContacted())
        self.assertFalse(waiting.ready())
        self.balancer.tell(Done(server_id, 0.01, CallOutcome.OK))
        self.limiter.tell(Leave(ticket))
        self.assertIsInstance(waiting.get(timeout=1.0), Admitted)
        self.assertIsInstance(self.balancer.ask(Pick(owner=server_id)), Picked)


if __name__ == "__main__":
    unittest.main()
