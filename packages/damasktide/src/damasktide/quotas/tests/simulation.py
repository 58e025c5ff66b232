"""Simulation of the usage caps over all instances, on a virtual clock.

The exchange, the holder and the allocator are the real ones. Simulated are callers, links and the
leader's row, with instances that are frozen, cut off, killed or started, and store outages.
"""

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from functools import partial
from random import Random
from typing import Any
from unittest.mock import patch

from prometheus_client import CollectorRegistry

from damasktide.keyspace.table import InstanceRecord
from damasktide.organisations.organisation import Organisation
from damasktide.quotas.limits import QuotaLimits
from damasktide.quotas.task import QuotaExchange
from damasktide.relay.sources import RelaySourceSelector
from damasktide.relay.tests.virtual_time import VirtualTime
from damasktide.relay.tree import RelayPeer, relay_order

DOMAINS = ("a1", "a2", "b1", "b2")
LIMITS = QuotaLimits()
WRITE_INTERVAL_S = 0.5
TAKEOVER_AFTER_S = 1.5
RENEWAL_S = 15.0
# Instances that are not roots of their domain learn of a new leader this late.
OBSERVER_DELAY_S = 3.0


class Term:
    """One term of a leader, as its own process sees it."""

    def __init__(self, at: float) -> None:
        self.at = at
        self.written_at = at


class Instance:
    """One run of an instance's process; also its role and its links to the others."""

    def __init__(self, world: "World", peer: RelayPeer, boot: int) -> None:
        self.name, self.domain = peer.name, peer.name[:2]
        self.paused_until = 0.0
        self.has_ended = False
        self.term: Term | None = None
        self.sources = RelaySourceSelector(peer.name)
        own_domain = [other for other in world.peers if other.name[:2] == self.domain]
        self.sources.set_order(relay_order(own_domain), world.no_upstream)
        self.other_roots = [peer for peer in world.roots if peer.name[:2] != self.domain]
        self._world = world
        self._woken: Any = world.event_type()
        self.exchange = QuotaExchange(
            peer.name,
            str(boot),
            self,  # type: ignore[arg-type]
            lambda: world.known_leader(self),
            self,
            LIMITS,
            CollectorRegistry(),
        )
        self.exchange.tell = self._tell  # type: ignore[method-assign,assignment]
        self.exchange.set_instances(world.records)
        self.exchange.set_organisations(world.organisations)
        world.time.spawn(self, self._run)

    def may_allocate(self, now: float) -> bool:
        return self.term is not None and now < self.term.written_at + 1.2

    def may_renew(self, now: float) -> bool:
        return self.term is not None and now < self.term.written_at + RENEWAL_S

    def took_over_at(self) -> float:
        return self.term.at if self.term is not None else 0.0

    def serve(self, _kind: str, handler: Callable[[str, bytes], bytes]) -> None:
        self.handler = handler

    def drop_link(self, peer: RelayPeer) -> None:
        pass

    def call(self, peer: RelayPeer, _kind: str, body: bytes, timeout_s: float) -> bytes | None:
        """Carry a call and its reply; either is lost while the link is cut."""
        world = self._world
        world.calls += 1
        replies: list[bytes] = []
        done = world.event_type()
        receiver = world.instance_by_name[peer.name]
        sender_id = self.exchange._own_id

        def serve() -> None:
            reply = receiver.handler(sender_id, body)

            def arrive() -> None:
                replies.append(reply)
                done.set()

            world.transmit(receiver, self, arrive)

        world.transmit(self, receiver, lambda: world.time.spawn(receiver, serve))
        done.wait(timeout_s)
        if replies:
            return replies[0]
        # The relay notices the failure as well.
        self.sources.record_peer_failure(world.time.now(), peer.name)
        return None

    def _tell(self, _message: object) -> None:
        self.exchange._is_woken = False
        self._woken.set()

    def _run(self) -> None:
        while True:
            due_at = self.exchange.next_wake_at()
            now = self._world.time.now()
            if due_at is not None and due_at <= now:
                self.exchange.on_wake()
                continue
            self._woken = self._world.event_type()
            self._woken.wait(None if due_at is None else due_at - now)


class World:
    """All instances, their links, the leader and the callers.

    Attributes
    ----------
    admitted_at
        Times of the admitted requests by organisation.
    refused, arrived
        Numbers of refused and of all requests by organisation.
    calls
        Number of calls between instances.
    """

    no_upstream: Any = None

    def __init__(
        self, time: VirtualTime, count: int, organisations: Sequence[Organisation], seed: int = 1
    ) -> None:
        self.time = time
        self.event_type: Any = time.event_type()
        self.rng = Random(seed)
        self.organisations = tuple(organisations)
        self.peers = tuple(
            RelayPeer(f"{DOMAINS[n % 4]}-{n}", ("10.0.0.1", n + 1), float(count - n))
            for n in range(count)
        )
        self.roots = self.peers[:4]
        self.records = [InstanceRecord(p.name, "", p.name[:2], p.address) for p in self.peers]
        # Each instance gets an uneven share of the load.
        self.weights = [0.3 + self.rng.expovariate(1.0) for _ in self.peers]
        # Whether a link is cut; for an instance and itself, whether the store is out of reach.
        self.is_cut: Callable[[Instance, Instance], bool] = lambda one, other: False
        self.store_fails_until = 0.0
        self.loss = 0.0
        self.calls = 0
        self.admitted_at: dict[str, list[float]] = {o.name: [] for o in organisations}
        self.refused: Counter[str] = Counter()
        self.arrived: Counter[str] = Counter()
        self.instance_by_name: dict[str, Instance] = {}
        self._leader = self.peers[0]
        self._leader_since = float("-inf")
        self._former_leader = self._leader
        self._boots = 0
        for peer in self.peers:
            self.start(peer.name)
        self.instance_by_name[self._leader.name].term = Term(0.0)
        time.spawn(None, self._write_rows)

    def start(self, name: str) -> None:
        """Start the process of an instance anew."""
        if name in self.instance_by_name:
            self.instance_by_name[name].has_ended = True
        peer = next(peer for peer in self.peers if peer.name == name)
        self._boots += 1
        self.instance_by_name[name] = Instance(self, peer, self._boots)

    def kill(self, name: str) -> None:
        self.instance_by_name[name].has_ended = True

    def leader(self) -> Instance:
        return self.instance_by_name[self._leader.name]

    def known_leader(self, instance: Instance) -> RelayPeer:
        is_root = any(instance.name == root.name for root in self.roots)
        delay_s = 0.0 if is_root else OBSERVER_DELAY_S
        is_known = self.time.now() >= self._leader_since + delay_s
        if self.is_cut(instance, instance):
            is_known = False
        return self._leader if is_known else self._former_leader

    def transmit(self, sender: Instance, receiver: Instance, action: Callable[[], None]) -> None:
        if self.is_cut(sender, receiver) or self.rng.random() < self.loss:
            return
        delay_s = 0.03 if sender.domain[0] != receiver.domain[0] else 0.001

        def arrive() -> None:
            if not receiver.has_ended:
                action()

        self.time.schedule(delay_s * self.rng.uniform(1.0, 1.2), arrive)

    def load(self, organisation: Organisation, rate: float, until: float, tries: int = 1) -> None:
        """Let callers send requests at random times; a refused one is sent again elsewhere."""
        self.time.spawn(None, self._send_requests, organisation, rate, until, tries)

    def set_organisations(self, organisations: Sequence[Organisation]) -> None:
        """Put a configuration in force, which reaches each instance within 2.5 s."""
        self.organisations = tuple(organisations)
        for instance in self.instance_by_name.values():
            exchange = instance.exchange
            apply = partial(exchange.set_organisations, self.organisations)
            self.time.schedule(self.rng.uniform(0.1, 2.5), apply)

    def largest_window(self, name: str, since: float = 0.0) -> int:
        """Return the largest number of requests admitted in any window of 5 s."""
        times = [at for at in sorted(self.admitted_at[name]) if at >= since]
        return max(
            (bisect_right(times, at + LIMITS.window_s - 1e-9) - n for n, at in enumerate(times)),
            default=0,
        )

    def _send_requests(
        self, organisation: Organisation, rate: float, until: float, tries: int
    ) -> None:
        while True:
            self.time.sleep(self.rng.expovariate(rate))
            if self.time.now() >= until:
                return
            self.arrived[organisation.name] += 1
            self._send(organisation, tries)

    def _send(self, organisation: Organisation, tries: int) -> None:
        instances = [self.instance_by_name[peer.name] for peer in self.peers]
        # Callers reach no instance that has ended.
        weights = [
            0.0 if instance.has_ended else weight
            for instance, weight in zip(instances, self.weights, strict=True)
        ]
        if not any(weights):
            return
        instance = self.rng.choices(instances, weights)[0]
        self.time.spawn(instance, self._request, instance, organisation, tries)

    def _request(self, instance: Instance, organisation: Organisation, tries: int) -> None:
        usage = instance.exchange._holder.usage(organisation.name)
        in_force = usage.organisation if usage is not None else organisation
        wait_s = instance.exchange.take(in_force)
        if not wait_s:
            self.admitted_at[organisation.name].append(self.time.now())
        elif tries > 1:
            self.time.schedule(wait_s, lambda: self._send(organisation, tries - 1))
        else:
            self.refused[organisation.name] += 1

    def _write_rows(self) -> None:
        """Renew the leader's row; another root takes over when it has not been renewed."""
        written_at = 0.0
        while True:
            self.time.sleep(0.1)
            now = self.time.now()
            leader = self.leader()
            if now < self.store_fails_until:
                continue
            can_write = not leader.has_ended and leader.paused_until <= now and leader.term
            if can_write and leader.term and not self.is_cut(leader, leader):
                if now >= leader.term.written_at + WRITE_INTERVAL_S:
                    leader.term.written_at = written_at = now
            elif now >= written_at + TAKEOVER_AFTER_S and now >= self.store_fails_until + 1.0:
                self._change_leader(now)
                written_at = now

    def _change_leader(self, now: float) -> None:
        for root in self.roots:
            candidate = self.instance_by_name[root.name]
            is_running = not candidate.has_ended and candidate.paused_until <= now
            if root != self._leader and is_running and not self.is_cut(candidate, candidate):
                self._former_leader, self._leader = self._leader, root
                self._leader_since = now
                candidate.term = Term(now)
                return


@contextmanager
def world(count: int, organisations: Sequence[Organisation], seed: int = 1) -> Iterator[World]:
    """Run a simulation on a virtual clock."""
    time = VirtualTime()

    class VirtualClock:
        def now(self) -> float:
            return time.now()

    replacements: dict[str, Any] = {
        "damasktide.quotas.task.monotonic": time.now,
        "damasktide.quotas.task.LeaseClock": VirtualClock,
        "damasktide.quotas.task.Event": time.event_type(),
    }
    with ExitStack() as stack:
        for name, replacement in replacements.items():
            stack.enter_context(patch(name, replacement))
        yield World(time, count, organisations, seed)
