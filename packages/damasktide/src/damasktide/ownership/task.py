"""The task that owns the ownership decisions of one service."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from gevent.pool import Pool
from loguru import logger

from damasktide.ownership.effects import (
    AskAdopt,
    AskConfirm,
    ConfirmReply,
    Effect,
    QueryServer,
    SendGrant,
    WriteMap,
)
from damasktide.ownership.executor import ExecutorContext, executors
from damasktide.ownership.messages import (
    Adopted,
    AdoptRequested,
    ClusterStateChanged,
    Confirmed,
    ConfirmRequested,
    EffectFailed,
    ExplainRequested,
    Explanation,
    MapRowRead,
    MapWritten,
    OwnershipStatus,
    OwnerSnapshot,
    ServerReplied,
    StatusRequested,
)
from damasktide.ownership.service_ownership import OwnershipSettings, ServiceOwnership
from damasktide.ownership.shard_map import ShardMap
from damasktide.runtime.clock import Clock
from damasktide.runtime.published import Published
from damasktide.runtime.task import Task, handles

_MAX_EFFECTS_IN_FLIGHT = 256


class OwnershipTask(Task):
    """Steps the decisions and executes their effects in a pool of greenlets.

    Parameters
    ----------
    settings
        The instance and the service.
    context
        Clients and services that the effects use.
    snapshot
        Published with the adopted map after each change.
    on_boot
        Called with the server id and boot id of each response of a backend server.
    on_version
        Called with the map version after each adoption.
    """

    def __init__(
        self,
        settings: OwnershipSettings,
        context: ExecutorContext,
        snapshot: Published[OwnerSnapshot],
        on_boot: Callable[[str, str], None] | None = None,
        on_version: Callable[[int], None] = lambda _version: None,
        **kwargs: Any,
    ) -> None:
        super().__init__(f"ownership/{settings.service}", **kwargs)
        self._settings = settings
        self._decisions = ServiceOwnership(settings)
        self._context = context
        self._snapshot = snapshot
        self._on_boot = on_boot
        self._on_version = on_version
        self._clock: Clock = context.clock
        self._workers = Pool(_MAX_EFFECTS_IN_FLIGHT)
        self._exchanges_in_flight: set[tuple[type, str]] = set()

    @property
    def snapshot(self) -> OwnerSnapshot:
        """The latest published snapshot; safe to read from any greenlet."""
        return self._snapshot.value

    def on_stop(self) -> None:
        """Cancel the exchanges that are still in flight."""
        self._workers.kill(block=False)

    def next_wake_at(self) -> float:
        """Return the time of the next tick; results may bring it forward."""
        return self._decisions.next_tick_at()

    def on_wake(self) -> None:
        """Step the decisions and start the effects that they yield."""
        for effect in self._decisions.on_tick(self._clock.now()):
            self._execute(effect)
        self._publish()

    @handles(ClusterStateChanged)
    def _update_cluster_state(self, message: ClusterStateChanged) -> None:
        self._decisions.update_cluster_state(message.cluster_state)

    @handles(ConfirmRequested)
    def _confirm(self, message: ConfirmRequested) -> ConfirmReply:
        return self._decisions.on_confirm_request(self._clock.now())

    @handles(AdoptRequested)
    def _adopt(self, message: AdoptRequested) -> int:
        version = self._decisions.on_adopt_request(message.shard_map, self._clock.now())
        self._publish()
        return version

    @handles(MapRowRead)
    def _handle_map_row_read(self, message: MapRowRead) -> None:
        self._finish(message.effect)
        if message.has_result:
            now = self._clock.now()
            self._decisions.on_map_row_read(message.shard_map, message.requested_at, now)
            self._publish()

    @handles(MapWritten)
    def _handle_map_written(self, message: MapWritten) -> None:
        self._finish(message.effect)
        self._decisions.on_write_result(message.shard_map, self._clock.now())
        self._publish()

    @handles(Confirmed)
    def _handle_confirmation(self, message: Confirmed) -> None:
        self._finish(message.effect)
        if message.reply is not None:
            self._decisions.on_confirm_reply(message.reply, message.requested_at)

    @handles(Adopted)
    def _handle_acknowledgement(self, message: Adopted) -> None:
        self._finish(message.effect)
        if message.version is not None:
            now = self._clock.now()
            self._decisions.on_adopt_reply(message.instance_id, message.version, now)

    @handles(ServerReplied)
    def _handle_server_reply(self, message: ServerReplied) -> None:
        self._finish(message.effect)
        if message.reply is None:
            return
        self._decisions.on_server_reply(message.server_id, message.reply, self._clock.now())
        if self._on_boot is not None:
            self._on_boot(message.server_id, message.reply.boot_id)

    @handles(EffectFailed)
    def _handle_effect_failure(self, message: EffectFailed) -> None:
        self._finish(message.effect)
        if isinstance(message.effect, WriteMap):
            self._decisions.on_write_result(None, self._clock.now())

    @handles(ExplainRequested)
    def _explain(self, message: ExplainRequested) -> Explanation:
        now = self._clock.now()
        shard_map = self._decisions.shard_map
        right_s = self._decisions.renewal_lease_valid_until(self._settings.domain) - now
        if shard_map is None:
            return Explanation(0, None, None, None, right_s)
        pending = shard_map.pending_by_shard().get(message.shard)
        complete_at = self._decisions.complete_at_by_shard(now).get(message.shard)
        return Explanation(
            version=shard_map.version,
            owner=shard_map.owner_of(message.shard),
            pending=pending,
            waits_s=None if complete_at is None else complete_at - now,
            right_s=right_s,
        )

    @handles(StatusRequested)
    def _status(self, message: StatusRequested) -> OwnershipStatus:
        shard_map = self._decisions.shard_map
        right_s = (
            self._decisions.renewal_lease_valid_until(self._settings.domain) - self._clock.now()
        )
        if shard_map is None:
            return OwnershipStatus(0, right_s=right_s)
        shards_by_server = shard_map.granted_shards_by_server()
        return OwnershipStatus(
            version=shard_map.version,
            shards_by_server={name: len(shards) for name, shards in shards_by_server.items()},
            pending=len(shard_map.pending),
            right_s=right_s,
        )

    def _execute(self, effect: Effect) -> None:
        """Start an effect unless the same exchange is in flight or the pool is full."""
        key = _exchange_key(effect)
        if key in self._exchanges_in_flight or self._workers.full():
            return
        self._exchanges_in_flight.add(key)
        self._workers.spawn(self._run_effect, effect)

    def _run_effect(self, effect: Effect) -> None:
        try:
            self.tell(executors.get(type(effect))(self._context, effect))
        except Exception as error:
            logger.bind(task=self.name).exception("ownership effect failed")
            self.tell(EffectFailed(effect, str(error)))

    def _finish(self, effect: Effect) -> None:
        self._exchanges_in_flight.discard(_exchange_key(effect))

    def _publish(self) -> None:
        shard_map = self._decisions.shard_map
        if shard_map is None:
            return
        renewal_lease_until = self._decisions.renewal_lease_valid_until(self._settings.domain)
        if shard_map is self._snapshot.value.shard_map:
            if renewal_lease_until != self._snapshot.value.renewal_lease_until:
                self._snapshot.publish(
                    replace(self._snapshot.value, renewal_lease_until=renewal_lease_until)
                )
            return
        self._snapshot.publish(_snapshot_of(shard_map, renewal_lease_until))
        self._on_version(shard_map.version)


def _snapshot_of(shard_map: ShardMap, renewal_lease_until: float) -> OwnerSnapshot:
    pending = shard_map.pending_by_shard()
    owners = tuple(
        None if index < 0 or shard in pending else shard_map.servers[index]
        for shard, index in enumerate(shard_map.owners)
    )
    return OwnerSnapshot(shard_map, owners, renewal_lease_until)


def _exchange_key(effect: Effect) -> tuple[type, str]:
    """Return a key that effects share if only one of them may be in flight at a time."""
    if isinstance(effect, AskConfirm | AskAdopt):
        return type(effect), effect.instance_id
    if isinstance(effect, QueryServer | SendGrant):
        return SendGrant, effect.server.server_id
    return type(effect), ""
