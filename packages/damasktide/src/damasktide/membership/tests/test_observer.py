import unittest
from collections.abc import Iterator
from dataclasses import replace

from damasktide.membership.claims import Claim, Health
from damasktide.membership.datagrams import Datagram, Gossip, Ping
from damasktide.membership.exchange import MAX_CHALLENGES_PER_S, NO_PROBE_ID
from damasktide.membership.instances import InstanceState
from damasktide.membership.outbox import SendDatagram
from damasktide.membership.sizing import DatagramSizing
from damasktide.membership.swim import (
    PAUSE_THRESHOLD_S,
    TICK_INTERVAL_S,
    DatagramReceived,
    SwimState,
    Tick,
)
from damasktide.membership.table import SUSPICION_TIMEOUT_S
from damasktide.membership.tests.in_process import make_instance

OWN, SENDER, *OTHERS = (Claim(make_instance(number)) for number in range(40))
SUBJECT = OTHERS[0]


class ObserverTest(unittest.TestCase):
    """Steps one instance manually; its peers send only the datagrams of the test."""

    def setUp(self) -> None:
        self.state = SwimState(OWN.instance, (), DatagramSizing(), seed=1)
        self.now = 100.0
        self.sent: list[Datagram] = []
        self.receive(*OTHERS)

    def receive(self, *claims: Claim) -> None:
        datagram = Datagram(SENDER, OWN.instance_id, Gossip(), claims, {})
        self.record(self.state.step(DatagramReceived(datagram), self.now))

    def tick(self, seconds: float = TICK_INTERVAL_S) -> None:
        self.now += seconds
        self.record(self.state.step(Tick(), self.now))

    def record(self, effects: tuple[object, ...]) -> None:
        self.sent += [effect.datagram for effect in effects if isinstance(effect, SendDatagram)]

    def ids_in_state(self, state: InstanceState) -> set[str]:
        view = self.state.view
        return {peer_id for peer_id, peer_state in view.state_by_id.items() if peer_state is state}

    def pings_about_subject(self) -> Iterator[Datagram]:
        """Yield the pings to the subject that are no probes and carry a claim about it."""
        for datagram in self.sent:
            is_about_subject = SUBJECT.instance_id in {
                claim.instance_id for claim in datagram.claims
            }
            is_to_subject = datagram.recipient_id == SUBJECT.instance_id
            if is_about_subject and is_to_subject and datagram.body == Ping(NO_PROBE_ID):
                yield datagram

    def test_a_short_pause_of_the_observer_fails_no_probe(self) -> None:
        """Guards against suspecting peers whose acks a busy observer has not read yet."""
        self.tick()
        self.assertTrue(any(isinstance(datagram.body, Ping) for datagram in self.sent))
        self.tick(PAUSE_THRESHOLD_S - 0.01)
        self.assertEqual(self.ids_in_state(InstanceState.SUSPECT), set())

    def test_a_paused_observer_refutes_and_restarts_its_suspicions(self) -> None:
        """Guards against a resumed process that acts on suspicions from before the pause."""
        self.receive(replace(SUBJECT, health=Health.SUSPECT))
        for _ in range(10):
            self.tick()
        self.sent.clear()
        self.tick(10.0)
        self.assertEqual({datagram.sender.incarnation for datagram in self.sent}, {1})
        resumed_at = self.now
        while self.now < resumed_at + SUSPICION_TIMEOUT_S - 2 * TICK_INTERVAL_S:
            self.tick()
            self.assertNotIn(SUBJECT.instance_id, self.ids_in_state(InstanceState.FAILED))
        self.tick()
        self.tick()
        self.assertIn(SUBJECT.instance_id, self.ids_in_state(InstanceState.FAILED))

    def test_the_observer_pings_a_suspect_before_it_declares_it_failed(self) -> None:
        """Guards against false failures when a refutation spreads slower than the suspicion."""
        self.receive(replace(SUBJECT, health=Health.SUSPECT))
        while SUBJECT.instance_id not in self.ids_in_state(InstanceState.FAILED):
            self.tick()
        self.assertEqual(len(list(self.pings_about_subject())), 1)

    def test_an_instance_listed_as_failed_but_alive_at_others_is_challenged(self) -> None:
        """Guards against a partition whose sides never rejoin, and against floods of pings."""
        self.receive(replace(SUBJECT, health=Health.FAILED, leaving=True))
        self.assertEqual(self.ids_in_state(InstanceState.FAILED), {SUBJECT.instance_id})
        for _ in range(3 * MAX_CHALLENGES_PER_S):
            self.receive(SUBJECT)
        self.assertEqual(len(list(self.pings_about_subject())), MAX_CHALLENGES_PER_S)


if __name__ == "__main__":
    unittest.main()
