"""Simulated instance that runs the ownership state machine on simulated messages."""

from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random
from typing import Any, Protocol

from damasktide.membership.instances import Instance
from damasktide.ownership.cluster_state import ClusterState
from damasktide.ownership.constants import RENEW_INTERVAL_S
from damasktide.ownership.effects import (
    AskAdopt,
    AskConfirm,
    Effect,
    QueryServer,
    ReadMap,
    SendGrant,
    ServerReply,
    WriteMap,
)
from damasktide.ownership.service_ownership import OwnershipSettings, ServiceOwnership
from damasktide.ownership.shard_map import ShardMap
from damasktide.runtime.registry import Registry
from damasktide_standins.ownership_world.events import Action, EventQueue
from damasktide_standins.ownership_world.history import Attempt, Outcome
from damasktide_standins.ownership_world.injection_points import (
    InjectionPoint,
    InjectionPointKind,
    Observer,
)
from damasktide_standins.ownership_world.network import Network
from damasktide_standins.ownership_world.node import Node
from damasktide_standins.ownership_world.server import ReplyCallback, ServerNode
from damasktide_standins.ownership_world.table import FakeTable

# A map write without a reply is checked by reading the row at this interval.
READ_BACK_INTERVAL_S = 0.5

# Real processes run timers late. Without jitter, all instances would also tick in the same order
# in each round.
TICK_JITTER_S = 0.005


class SimulationContext(Protocol):
    """The parts of the simulation that an instance uses."""

    network: Network
    table: FakeTable

    def cluster_state(self, observer: "InstanceNode") -> ClusterState:
        """Return the cluster state that ``observer`` currently sees."""

    def instance_by_id(self, instance_id: str) -> "InstanceNode | None":
        """Return the instance process with this id, or None if it is not running."""

    def server(self, name: str) -> ServerNode:
        """Return the backend server with this name."""


OwnershipFactory = Callable[[OwnershipSettings], ServiceOwnership]


class InstanceNode(Node):
    """An instance; each restart starts a new incarnation with empty state."""

    def __init__(
        self,
        queue: EventQueue,
        random: Random,
        context: SimulationContext,
        observer: Observer,
        settings: OwnershipSettings,
        make_ownership: OwnershipFactory = ServiceOwnership,
    ) -> None:
        super().__init__(
            queue,
            settings.instance_id,
            settings.domain,
            settings.region,
            random.uniform(0, 1000),
            random.uniform(0.995, 1.005),
        )
        self.random = random
        self.context = context
        self.observer = observer
        self._settings = settings
        self._make_ownership = make_ownership
        self._change_ids = count()
        self.on_start()

    def on_start(self) -> None:
        """Start with empty state as a new incarnation."""
        settings = self._settings
        self.instance = Instance(
            f"{self.name}#{self.generation}", settings.domain, settings.region, "", 0, 0
        )
        self.ownership = self._make_ownership(
            OwnershipSettings(
                instance_id=self.instance.instance_id,
                domain=settings.domain,
                region=settings.region,
                service=settings.service,
                space=settings.space,
                policy=settings.policy,
                region_by_domain=settings.region_by_domain,
                max_deadline_s=settings.max_deadline_s,
            )
        )
        self._tick_number = 0
        self._tick_at = float("inf")
        self._schedule_tick(self.random.uniform(0, RENEW_INTERVAL_S))

    def handle_event(self, event: Action) -> None:
        """Pass an event to the state machine and bring the next tick forward if needed."""
        event()
        wait_s = self.ownership.next_tick_at() - self.clock()
        if self.queue.now + wait_s < self._tick_at:
            self._schedule_tick(max(wait_s, 0.0))

    def next_change_id(self) -> str:
        """Return an id that is unique among all changes of the map row."""
        return f"{self.instance.instance_id}/{next(self._change_ids)}"

    def forward(self, shard: int, attempt: Attempt, reply: ReplyCallback) -> None:
        """Forward a request to the owner in this instance's map, which may be outdated."""
        self.observer(InjectionPoint(InjectionPointKind.FORWARD, self))
        self.receive(lambda: self._forward(shard, attempt, reply))

    def _forward(self, shard: int, attempt: Attempt, reply: ReplyCallback) -> None:
        shard_map = self.ownership.shard_map
        owner = shard_map.owner_of(shard) if shard_map is not None else None
        if owner is None:
            reply(Outcome.NOT_RUN, attempt)
            return
        server = self.context.server(owner.server_id)
        network = self.context.network

        def return_reply(outcome: Outcome, answered_attempt: Attempt) -> None:
            network.send(server, self, lambda: reply(outcome, answered_attempt))

        network.send(self, server, lambda: server.handle(shard, attempt, return_reply))

    def _schedule_tick(self, wait_s: float) -> None:
        """Schedule the next tick in ``wait_s`` seconds, replacing the one scheduled before."""
        self._tick_number += 1
        self._tick_at = self.queue.now + wait_s
        self.after(
            wait_s + self.random.uniform(0, TICK_JITTER_S), partial(self._tick, self._tick_number)
        )

    def _tick(self, number: int) -> None:
        if number != self._tick_number:
            return
        self.run_ownership_tick()
        self._schedule_tick(max(self.ownership.next_tick_at() - self.clock(), 0.0))

    def run_ownership_tick(self) -> None:
        """Run a tick of the state machine and execute its effects."""
        self.ownership.update_cluster_state(self.context.cluster_state(self))
        for effect in list(self.ownership.on_tick(self.clock())):
            handler = _handlers.get(type(effect))
            self.observer(
                InjectionPoint(InjectionPointKind.EFFECT, self, _peer_of(effect), effect)
            )
            # The observer may pause the node, which delays the effect after it was decided on.
            self.receive(partial(handler, self, effect))


_Handler = Callable[[InstanceNode, Any], None]
_handlers: Registry[type, _Handler] = Registry("effect")


def _peer_of(effect: Effect) -> str | None:
    if isinstance(effect, QueryServer | SendGrant):
        return effect.server.server_id
    if isinstance(effect, AskConfirm | AskAdopt):
        return effect.instance_id.partition("#")[0]
    return "table"


@_handlers.register(ReadMap)
def _read_map(node: InstanceNode, effect: ReadMap) -> None:
    table, network = node.context.table, node.context.network
    requested_at = node.clock()

    def reply(row: ShardMap | None, _: str) -> None:
        network.send(
            table,
            node,
            lambda: node.handle_event(
                lambda: node.ownership.on_map_row_read(row, requested_at, node.clock())
            ),
        )

    network.send(node, table, lambda: table.read(reply))


@_handlers.register(WriteMap)
def _write_map(node: InstanceNode, effect: WriteMap) -> None:
    table, network = node.context.table, node.context.network
    change_id = node.next_change_id()
    is_open = True

    def finish(written: bool) -> None:
        nonlocal is_open
        if is_open:
            is_open = False
            result = effect.shard_map if written else None
            node.handle_event(lambda: node.ownership.on_write_result(result, node.clock()))

    def read_back() -> None:
        if is_open:
            network.send(
                node,
                table,
                lambda: table.read(
                    lambda _, current_change_id: network.send(
                        table, node, lambda: finish(current_change_id == change_id)
                    )
                ),
            )
            node.after(READ_BACK_INTERVAL_S, read_back)

    def reply(written: bool) -> None:
        network.send(table, node, lambda: finish(written))

    network.send(
        node, table, lambda: table.write(effect.shard_map, effect.based_on, change_id, reply)
    )
    node.after(READ_BACK_INTERVAL_S, read_back)


@_handlers.register(AskConfirm)
def _send_confirm_request(node: InstanceNode, effect: AskConfirm) -> None:
    peer = node.context.instance_by_id(effect.instance_id)
    network = node.context.network
    requested_at = node.clock()
    if peer is None:
        return

    def arrive() -> None:
        reply = peer.ownership.on_confirm_request(peer.clock())
        network.send(
            peer,
            node,
            lambda: node.handle_event(
                lambda: node.ownership.on_confirm_reply(reply, requested_at)
            ),
        )

    network.send(node, peer, arrive)


@_handlers.register(AskAdopt)
def _send_adopt_request(node: InstanceNode, effect: AskAdopt) -> None:
    peer = node.context.instance_by_id(effect.instance_id)
    network = node.context.network
    if peer is None:
        return

    def arrive() -> None:
        peer.handle_event(adopt)

    def adopt() -> None:
        version = peer.ownership.on_adopt_request(effect.shard_map, peer.clock())
        network.send(
            peer,
            node,
            lambda: node.handle_event(
                lambda: node.ownership.on_adopt_reply(effect.instance_id, version, node.clock())
            ),
        )

    network.send(node, peer, arrive)


@_handlers.register(QueryServer)
def _query_server(node: InstanceNode, effect: QueryServer) -> None:
    server = node.context.server(effect.server.server_id)
    reply = partial(_send_server_reply, node, server)
    node.context.network.send(node, server, lambda: server.query(reply))


@_handlers.register(SendGrant)
def _send_grant(node: InstanceNode, effect: SendGrant) -> None:
    server = node.context.server(effect.server.server_id)
    reply = partial(_send_server_reply, node, server)
    node.context.network.send(node, server, lambda: server.grant(effect, reply))


def _send_server_reply(node: InstanceNode, server: ServerNode, reply: ServerReply) -> None:
    def arrive() -> None:
        node.handle_event(lambda: node.ownership.on_server_reply(server.name, reply, node.clock()))

    node.context.network.send(server, node, arrive)
