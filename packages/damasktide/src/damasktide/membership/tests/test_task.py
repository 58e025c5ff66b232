import unittest
from typing import Any

import gevent
from gevent import socket

from damasktide.membership.claims import Claim
from damasktide.membership.datagrams import Datagram, Gossip
from damasktide.membership.guard import DatagramGuard
from damasktide.membership.instances import Instance, InstanceState
from damasktide.membership.messages import (
    AnnounceVersion,
    Depart,
    GetLastContact,
    GetView,
    Leave,
    MembershipChanged,
    VersionObserved,
)
from damasktide.membership.task import MembershipTask, Subscribe
from damasktide.runtime.task import TaskFailed

KEY = b"shared key of all instances 0123"


def instance_on_free_port(name: str) -> Instance:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return Instance(name, "ondo-a", "ondo", "127.0.0.1", probe.getsockname()[1], 1)


class Inbox:
    def __init__(self) -> None:
        self.messages: list[Any] = []

    def tell(self, message: object) -> None:
        self.messages.append(message)

    def of_type(self, message_type: type) -> list[Any]:
        return [message for message in self.messages if isinstance(message, message_type)]


class MembershipTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.instances = [instance_on_free_port(f"ondo-a-{number}#0") for number in range(2)]
        seeds = [("127.0.0.1", self.instances[0].gossip_port)]
        self.tasks = [
            MembershipTask(instance, seeds, KEY, seed)
            for seed, instance in enumerate(self.instances)
        ]
        self.inbox = Inbox()
        for task in self.tasks:
            task.start()
            self.addCleanup(task.stop)
        self.tasks[0].tell(Subscribe(self.inbox))
        self.wait_for(InstanceState.ALIVE)

    def state_of_peer(self) -> InstanceState | None:
        views = [message.view for message in self.inbox.of_type(MembershipChanged)]
        state: InstanceState | None = None
        if views:
            state = views[-1].state_by_id.get(self.instances[1].instance_id)
        return state

    def wait_for(self, state: InstanceState) -> None:
        with gevent.Timeout(4.0):
            while self.state_of_peer() is not state:
                gevent.sleep(0.01)

    def send(self, key: bytes, times: int = 1) -> None:
        """Send a datagram from an instance that is unknown to the others."""
        sender = instance_on_free_port("ondo-a-9#0")
        recipient = self.instances[0]
        datagram = Datagram(Claim(sender), recipient.instance_id, Gossip(), (), {"map": times})
        data = DatagramGuard(key).seal(datagram)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(times):
                sock.sendto(data, ("127.0.0.1", recipient.gossip_port))
        gevent.sleep(0.05)

    def test_subscribers_are_notified_of_versions_and_states_of_peers(self) -> None:
        """Guards against subscribers that miss events of peers."""
        self.tasks[1].tell(AnnounceVersion("configuration", 7))
        gevent.sleep(0.3)
        expected = VersionObserved("configuration", 7, self.instances[1].instance_id)
        self.assertEqual(self.inbox.of_type(VersionObserved), [expected])
        self.tasks[1].tell(Leave())
        self.wait_for(InstanceState.LEAVING)
        self.tasks[1].tell(Depart())
        self.wait_for(InstanceState.FAILED)

    def test_instance_whose_task_has_stopped_is_declared_failed(self) -> None:
        """Guards against a task whose timers do not run, and against a stale last contact."""
        before = self.tasks[0].ask(GetLastContact())
        gevent.sleep(0.3)
        self.assertGreater(self.tasks[0].last_contact, before)
        self.tasks[1].stop()
        self.wait_for(InstanceState.FAILED)

    def test_unauthenticated_and_replayed_datagrams_are_dropped(self) -> None:
        """Guards against members that do not have the key and against datagrams handled twice."""
        self.send(b"another key")
        self.assertEqual(len(self.tasks[0].ask(GetView()).instance_by_id), 2)
        received: list[Datagram] = []
        receive = self.tasks[0]._receive
        self.tasks[0]._receive = lambda datagram: received.append(datagram) or receive(datagram)  # type: ignore[method-assign, func-returns-value]
        self.send(KEY, times=3)
        self.assertEqual(len(self.tasks[0].ask(GetView()).instance_by_id), 3)
        accepted = [datagram for datagram in received if "map" in datagram.version_by_name]
        self.assertEqual(len(accepted), 1)

    def test_a_port_in_use_is_reported(self) -> None:
        """Guards against an instance that keeps running without membership."""
        failures: list[TaskFailed] = []
        second = MembershipTask(self.instances[0], [], KEY, 0, on_failure=failures.append)
        second.start()
        gevent.sleep(0.05)
        self.assertEqual([failure.task_name for failure in failures], ["membership"])


if __name__ == "__main__":
    unittest.main()
