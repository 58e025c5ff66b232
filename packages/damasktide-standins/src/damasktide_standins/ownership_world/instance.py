"""An instance: a task around the ownership decisions, with messages instead of sockets."""

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
from damasktide_standins.ownership_world.moments import Moment, MomentKind, Observer
from damasktide_standins.ownership_world.network import Network
from damasktide_standins.ownership_world.node import Node
from damasktide_standins.ownership_world.server import ReplyCallback, ServerNode
from damasktide_standins.ownership_world.table import FakeTable

READ_BACK_AFTER_S = 0.5

# A real process does not run exactly on time; equal intervals would also keep all instances
# in the same order in each run.
TICK_JITTER_S = 0.005


class Directory(Protocol):
    """What an instance needs to know of the world."""

    network: Network
    table: FakeTable

    def cluster_state(self, observer: "InstanceNode") -> ClusterState:
        """Return what the other tasks of the instance have published."""

    def instance_by_id(self, instance_id: str) -> "InstanceNode | None":
        """Return the running process with this id."""

    def server(self, name: str) -> ServerNode:
        """Return a server."""


Decisions = Callable[[OwnershipSettings], ServiceOwnership]


class InstanceNode(Node):
    """One instance; each restart has a new incarnation and an empty memory."""

    def __init__(
        self,
        queue: EventQueue,
        random: Random,
        directory: Directory,
        observer: Observer,
        settings: OwnershipSettings,
        decisions: Decisions = ServiceOwnership,
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
        self.directory = directory
        self.observer = observer
        self._settings = settings
        self._decisions = decisions
        self._change_ids = count()
        self.on_start()

    def on_start(self) -> None:
        """Start with empty memory under a new incarnation."""
        settings = self._settings
        self.instance = Instance(
            f"{self.name}#{self.generation}", settings.domain, settings.region, "", 0, 0
        )
        self.ownership = self._decisions(
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
        self._plan_tick(self.random.uniform(0, RENEW_INTERVAL_S))

    def take(self, event: Action) -> None:
        """Let the decisions take an event, which may bring the next tick forward."""
        event()
        wait_s = self.ownership.next_tick_at() - self.clock()
        if self.queue.now + wait_s < self._tick_at:
            self._plan_tick(max(wait_s, 0.0))

    def next_change_id(self) -> str:
        """Return an id that no other change has."""
        return f"{self.instance.instance_id}/{next(self._change_ids)}"

    def forward(self, shard: int, attempt: Attempt, answer: ReplyCallback) -> None:
        """Forward a request to the owner in this instance's map, which may be out of date."""
        self.observer(Moment(MomentKind.FORWARD, self))
        self.receive(lambda: self._forward(shard, attempt, answer))

    def _forward(self, shard: int, attempt: Attempt, answer: ReplyCallback) -> None:
        shard_map = self.ownership.shard_map
        owner = shard_map.owner_of(shard) if shard_map is not None else None
        if owner is None:
            answer(Outcome.NOT_RUN, attempt)
            return
        server = self.directory.server(owner.server_id)
        network = self.directory.network

        def reply(outcome: Outcome, answered: Attempt) -> None:
            network.send(server, self, lambda: answer(outcome, answered))

        network.send(self, server, lambda: server.handle(shard, attempt, reply))

    def _plan_tick(self, wait_s: float) -> None:
        """Replace the planned tick by one after ``wait_s`` seconds."""
        self._tick_number += 1
        self._tick_at = self.queue.now + wait_s
        self.after(
            wait_s + self.random.uniform(0, TICK_JITTER_S), partial(self._tick, self._tick_number)
        )

    def _tick(self, number: int) -> None:
        if number != self._tick_number:
            return
        self.run_decisions()
        self._plan_tick(max(self.ownership.next_tick_at() - self.clock(), 0.0))

    def run_decisions(self) -> None:
        """Let the decisions act and carry out what they ask for."""
        self.ownership.update_cluster_state(self.directory.cluster_state(self))
        for effect in list(self.ownership.on_tick(self.clock())):
            handler = _handlers.get(type(effect))
            self.observer(Moment(MomentKind.EFFECT, self, _peer_of(effect), effect))
            # A freeze that starts here is the gap between the check and the sending.
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
    table, network = node.directory.table, node.directory.network
    requested_at = node.clock()

    def answer(row: ShardMap | None, _: str) -> None:
        network.send(
            table,
            node,
            lambda: node.take(
                lambda: node.ownership.on_table_read(row, requested_at, node.clock())
            ),
        )

    network.send(node, table, lambda: table.read(answer))


@_handlers.register(WriteMap)
def _write_map(node: InstanceNode, effect: WriteMap) -> None:
    table, network = node.directory.table, node.directory.network
    change_id = node.next_change_id()
    is_open = True

    def finish(written: bool) -> None:
        nonlocal is_open
        if is_open:
            is_open = False
            result = effect.shard_map if written else None
            node.take(lambda: node.ownership.on_write_result(result, node.clock()))

    def read_back() -> None:
        if is_open:
            network.send(
                node,
                table,
                lambda: table.read(
                    lambda _, seen: network.send(table, node, lambda: finish(seen == change_id))
                ),
            )
            node.after(READ_BACK_AFTER_S, read_back)

    def answer(written: bool) -> None:
        network.send(table, node, lambda: finish(written))

    network.send(
        node, table, lambda: table.write(effect.shard_map, effect.based_on, change_id, answer)
    )
    node.after(READ_BACK_AFTER_S, read_back)


@_handlers.register(AskConfirm)
def _ask_confirm(node: InstanceNode, effect: AskConfirm) -> None:
    peer = node.directory.instance_by_id(effect.instance_id)
    network = node.directory.network
    requested_at = node.clock()
    if peer is None:
        return

    def ask() -> None:
        reply = peer.ownership.on_confirm_request(peer.clock())
        network.send(
            peer,
            node,
            lambda: node.take(lambda: node.ownership.on_confirm_reply(reply, requested_at)),
        )

    network.send(node, peer, ask)


@_handlers.register(AskAdopt)
def _ask_adopt(node: InstanceNode, effect: AskAdopt) -> None:
    peer = node.directory.instance_by_id(effect.instance_id)
    network = node.directory.network
    if peer is None:
        return

    def ask() -> None:
        peer.take(adopt)

    def adopt() -> None:
        version = peer.ownership.on_adopt_request(effect.shard_map, peer.clock())
        network.send(
            peer,
            node,
            lambda: node.take(
                lambda: node.ownership.on_adopt_reply(effect.instance_id, version, node.clock())
            ),
        )

    network.send(node, peer, ask)


@_handlers.register(QueryServer)
def _query_server(node: InstanceNode, effect: QueryServer) -> None:
    server = node.directory.server(effect.server.server_id)
    answer = partial(_send_reply, node, server)
    node.directory.network.send(node, server, lambda: server.query(answer))


@_handlers.register(SendGrant)
def _send_grant(node: InstanceNode, effect: SendGrant) -> None:
    server = node.directory.server(effect.server.server_id)
    answer = partial(_send_reply, node, server)
    node.directory.network.send(node, server, lambda: server.grant(effect, answer))


def _send_reply(node: InstanceNode, server: ServerNode, reply: ServerReply) -> None:
    def arrive() -> None:
        node.take(lambda: node.ownership.on_server_reply(server.name, reply, node.clock()))

    node.directory.network.send(server, node, arrive)
