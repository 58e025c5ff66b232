import unittest
from collections.abc import Iterator
from dataclasses import replace

from damasktide.membership.claims import Claim, Health
from damasktide.membership.datagrams import Datagram, Gossip, Ping
from damasktide.membership.exchange import MAX_CHALLENGES_PER_S, NO_PROBE_ID
from damasktide.membership.instances import InstanceState
from damasktide.membership.outbox import SendDatagram
from damasktide.membership.sizing import DatagramSizing
from damasktide.membership.swim import PAUSE_S, TICK_PERIOD_S, DatagramReceived, SwimState, Tick
from damasktide.membership.table import SUSPICION_S
from damasktide.membership.tests.in_process import make_instance

OWN, FRIEND, *OTHERS = (Claim(make_instance(number)) for number in range(40))
SUBJECT = OTHERS[0]


class ObserverTest(unittest.TestCase):
    """Steps one instance by hand; its peers say only what the test says."""

    def setUp(self) -> None:
        self.state = SwimState(OWN.instance, (), DatagramSizing(), seed=1)
        self.now = 100.0
        self.sent: list[Datagram] = []
        self.hear(*OTHERS)

    def hear(self, *claims: Claim) -> None:
        datagram = Datagram(FRIEND, OWN.instance_id, Gossip(), claims, {})
        self.record(self.state.step(DatagramReceived(datagram), self.now))

    def tick(self, seconds: float = TICK_PERIOD_S) -> None:
        self.now += seconds
        self.record(self.state.step(Tick(), self.now))

    def record(self, effects: tuple[object, ...]) -> None:
        self.sent += [effect.datagram for effect in effects if isinstance(effect, SendDatagram)]

    def seen(self, state: InstanceState) -> set[str]:
        view = self.state.view
        return {other for other, held in view.state_by_id.items() if held is state}

    def accusations(self) -> Iterator[Datagram]:
        """Yield the pings outside the probe order that tell the subject what is held of it."""
        for datagram in self.sent:
            told = SUBJECT.instance_id in {claim.instance_id for claim in datagram.claims}
            to_subject = datagram.recipient_id == SUBJECT.instance_id
            if told and to_subject and datagram.body == Ping(NO_PROBE_ID):
                yield datagram

    def test_a_short_hold_up_of_the_observer_fails_no_probe(self) -> None:
        """Guards against a busy process that suspects the peers whose acks it has not read."""
        self.tick()
        self.assertTrue(any(isinstance(datagram.body, Ping) for datagram in self.sent))
        self.tick(PAUSE_S - 0.01)
        self.assertEqual(self.seen(InstanceState.SUSPECT), set())

    def test_a_paused_observer_refutes_and_gives_suspects_their_time_again(self) -> None:
        """Guards against a resumed process that acts on what it believed before the pause."""
        self.hear(replace(SUBJECT, health=Health.SUSPECT))
        for _ in range(10):
            self.tick()
        self.sent.clear()
        self.tick(10.0)
        self.assertEqual({datagram.sender.incarnation for datagram in self.sent}, {1})
        resumed_at = self.now
        while self.now < resumed_at + SUSPICION_S - 2 * TICK_PERIOD_S:
            self.tick()
            self.assertNotIn(SUBJECT.instance_id, self.seen(InstanceState.FAILED))
        self.tick()
        self.tick()
        self.assertIn(SUBJECT.instance_id, self.seen(InstanceState.FAILED))

    def test_the_observer_asks_a_suspect_itself_before_it_declares_it_failed(self) -> None:
        """Guards against a failure because a refutation spread more slowly than the suspicion."""
        self.hear(replace(SUBJECT, health=Health.SUSPECT))
        while SUBJECT.instance_id not in self.seen(InstanceState.FAILED):
            self.tick()
        self.assertEqual(len(list(self.accusations())), 1)

    def test_an_instance_that_others_see_is_told_that_it_is_held_to_have_failed(self) -> None:
        """Guards against a healed partition whose sides never learn of it, and against floods."""
        self.hear(replace(SUBJECT, health=Health.FAILED, leaving=True))
        self.assertEqual(self.seen(InstanceState.FAILED), {SUBJECT.instance_id})
        for _ in range(3 * MAX_CHALLENGES_PER_S):
            self.hear(SUBJECT)
        self.assertEqual(len(list(self.accusations())), MAX_CHALLENGES_PER_S)


if __name__ == "__main__":
    unittest.main()
