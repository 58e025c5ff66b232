"""Simulation of instances in one process, with simulated time and network."""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import count
from random import Random

from damasktide.membership.datagrams import Datagram
from damasktide.membership.instances import Instance, InstanceState
from damasktide.membership.messages import AnnounceVersion, MembershipChanged, VersionObserved
from damasktide.membership.outbox import SendDatagram
from damasktide.membership.sizing import DatagramSizing
from damasktide.membership.swim import (
    TICK_INTERVAL_S,
    DatagramReceived,
    Effect,
    Event,
    SwimState,
    Tick,
)

SEEDS = (("10.0.0.1", 7946), ("10.0.0.2", 7946))
# Time until an instance has fetched and adopted a version that it observed at a peer.
PULL_DELAY_S = 0.01

# Transforms a datagram between sender and receiver, for instance by encoding and decoding it.
# None drops the datagram.
Transport = Callable[[str, Datagram], Datagram | None]


def make_instance(number: int, incarnation: str = "0") -> Instance:
    host = f"10.0.{number // 250}.{number % 250 + 1}"
    name = f"ondo-{'ab'[number % 2]}-{number}#{incarnation}"
    return Instance(name, f"ondo-{'ab'[number % 2]}", "ondo", host, 7946, 7947)


@dataclass(frozen=True)
class StateChange:
    """An observer's recorded state of an instance has changed."""

    at: float
    observer_id: str
    instance_id: str
    state: InstanceState | None


class InProcessNetwork:
    def __init__(
        self,
        instances: int,
        seed: int,
        delay_s: float = 0.001,
        loss: float = 0.0,
        transport: Transport = lambda _sender_id, datagram: datagram,
    ) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.delay_s = delay_s
        self.loss = loss
        self.transport = transport
        self.swim_state_by_id: dict[str, SwimState] = {}
        self.state_changes: list[StateChange] = []
        self.observed_versions: list[tuple[str, VersionObserved]] = []
        self.partition_by_id: dict[str, int] = {}
        self.partitioned_pair: set[str] = set()
        self._id_by_address: dict[tuple[str, int], str] = {}
        self._paused_until_by_id: dict[str, float] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._last_states_by_id: dict[str, dict[str, InstanceState]] = {}
        self.ids = [self.add(make_instance(number)) for number in range(instances)]

    def add(self, instance: Instance) -> str:
        instance_id = instance.instance_id
        seed = self.random.getrandbits(32)
        self.swim_state_by_id[instance_id] = SwimState(instance, SEEDS, DatagramSizing(), seed)
        self._id_by_address[(instance.host, instance.gossip_port)] = instance_id
        self._last_states_by_id[instance_id] = {}
        self._schedule(
            self.now + self.random.uniform(0, TICK_INTERVAL_S), lambda: self._tick(instance_id)
        )
        return instance_id

    def kill(self, instance_id: str) -> None:
        del self.swim_state_by_id[instance_id]

    def pause(self, instance_id: str, seconds: float) -> None:
        self._paused_until_by_id[instance_id] = self.now + seconds

    def step(self, instance_id: str, event: Event) -> None:
        for effect in self.effects_of(instance_id, event):
            if isinstance(effect, SendDatagram):
                self._send(instance_id, effect)
            elif isinstance(effect, MembershipChanged):
                self._record(instance_id, dict(effect.view.state_by_id))
            else:
                self.observed_versions.append((instance_id, effect))
                self._schedule(self.now + PULL_DELAY_S, self._adoption(instance_id, effect))

    def effects_of(self, instance_id: str, event: Event) -> tuple[Effect, ...]:
        return self.swim_state_by_id[instance_id].step(event, self.now)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def run_until(self, is_done: Callable[[], bool], limit_s: float) -> bool:
        end = self.now + limit_s
        while not is_done():
            if self.now >= end:
                return False
            self.run(TICK_INTERVAL_S)
        return True

    def ids_in_state(self, observer_id: str, state: InstanceState) -> set[str]:
        view = self.swim_state_by_id[observer_id].view
        return {peer_id for peer_id, peer_state in view.state_by_id.items() if peer_state is state}

    def all_views_match(self, ids: set[str]) -> bool:
        return all(self.ids_in_state(observer, InstanceState.ALIVE) == ids for observer in ids)

    def failures(self, since: float = 0.0) -> Iterator[StateChange]:
        return (
            change
            for change in self.state_changes
            if change.state is InstanceState.FAILED and change.at >= since
        )

    def _adoption(self, instance_id: str, observed: VersionObserved) -> Callable[[], None]:
        return lambda: self.step(instance_id, AnnounceVersion(observed.name, observed.version))

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._sequence), action))

    def _tick(self, instance_id: str) -> None:
        if instance_id not in self.swim_state_by_id:
            return
        resumes_at = self._paused_until_by_id.get(instance_id, 0.0)
        if resumes_at > self.now:
            self._schedule(resumes_at, lambda: self._tick(instance_id))
            return
        self.step(instance_id, Tick())
        self._schedule(self.now + TICK_INTERVAL_S, lambda: self._tick(instance_id))

    def _send(self, sender_id: str, effect: SendDatagram) -> None:
        receiver_id = self._id_by_address.get(effect.address)
        if receiver_id is None or self.random.random() < self.loss:
            return
        if self.partitioned_pair == {sender_id, receiver_id}:
            return
        if self.partition_by_id.get(sender_id, 0) != self.partition_by_id.get(receiver_id, 0):
            return
        datagram = self.transport(sender_id, effect.datagram)
        if datagram is not None:
            delay_s = self.delay_s * self.random.uniform(0.8, 1.2)
            self._schedule(self.now + delay_s, lambda: self._deliver(receiver_id, datagram))

    def _deliver(self, receiver_id: str, datagram: Datagram) -> None:
        if receiver_id not in self.swim_state_by_id:
            return
        resumes_at = self._paused_until_by_id.get(receiver_id, 0.0)
        if resumes_at > self.now:
            # The datagram stays in the socket buffer of the paused process.
            self._schedule(resumes_at, lambda: self._deliver(receiver_id, datagram))
        else:
            self.step(receiver_id, DatagramReceived(datagram))

    def _record(self, observer_id: str, state_by_id: dict[str, InstanceState]) -> None:
        before = self._last_states_by_id[observer_id]
        for instance_id in state_by_id.keys() | before.keys():
            state = state_by_id.get(instance_id)
            if state is not before.get(instance_id):
                self.state_changes.append(StateChange(self.now, observer_id, instance_id, state))
        self._last_states_by_id[observer_id] = state_by_id
