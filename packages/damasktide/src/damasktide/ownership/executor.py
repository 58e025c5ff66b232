"""Executes the effects of the ownership decisions; a registry maps effect types to executors."""

import json
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import gevent
from loguru import logger
from returns.result import Failure, Result, Success

from damasktide.membership.instances import Instance
from damasktide.ownership import codec
from damasktide.ownership.effects import (
    AskAdopt,
    AskConfirm,
    QueryServer,
    ReadMap,
    SendGrant,
    WriteMap,
)
from damasktide.ownership.messages import (
    Adopted,
    Confirmed,
    MapRowRead,
    MapWritten,
    OwnerSnapshot,
    ServerReplied,
)
from damasktide.ownership.server_client import ServerClient
from damasktide.ownership.shard_map import ShardMap
from damasktide.ownership.shard_map_codec import decode_map, encode_map
from damasktide.peering.client import PeerClient
from damasktide.runtime.clock import Clock
from damasktide.runtime.published import Published
from damasktide.runtime.registry import Registry
from damasktide.store.messages import ReadRow, ReadVersion
from damasktide.store.rows import RowRead, StoreErrorKind, VersionRead, WriteRow
from damasktide.store.store_task import StoreTask

CONFIRM_KIND = "ownership/confirm"
ADOPT_KIND = "ownership/adopt"
MAP_KIND = "ownership/map"

_PEER_TIMEOUT_S = 0.4
_STORE_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class ExecutorContext:
    """Clients and services that the executors use.

    Attributes
    ----------
    service
        Name of the service.
    store
        Task that owns the connections to the store.
    peers
        Client for calls to other instances.
    servers
        Client for calls to backend servers.
    clock
        Monotonic clock.
    instance_by_id
        Returns the known instances by id.
    snapshot
        Snapshot of the adopted map.
    """

    service: str
    store: StoreTask
    peers: PeerClient
    servers: ServerClient
    clock: Clock
    instance_by_id: Callable[[], Mapping[str, Instance]]
    snapshot: Published[OwnerSnapshot]

    @property
    def row_key(self) -> str:
        """Key of the map row."""
        return f"ownership/{self.service}"


Executor = Callable[[ExecutorContext, Any], object]

executors: Registry[type, Executor] = Registry("ownership effect")


@executors.register(ReadMap)
def _read_map(context: ExecutorContext, effect: ReadMap) -> MapRowRead:
    """Read only the version of the row; read its body if the adopted version differs."""
    adopted = context.snapshot.value.shard_map
    if adopted is None:
        return _read_map_row(context, effect)
    try:
        result = context.store.ask(ReadVersion(context.row_key), _STORE_TIMEOUT_S)
    except gevent.Timeout:
        return MapRowRead(effect, has_result=False)
    if isinstance(result, Failure):
        return MapRowRead(effect, has_result=False)
    read: VersionRead = result.unwrap()
    if read.version != adopted.version:
        return _read_map_row(context, effect)
    return MapRowRead(effect, True, adopted, read.requested_at)


def _read_map_row(context: ExecutorContext, effect: ReadMap) -> MapRowRead:
    try:
        result: Result[RowRead, Any] = context.store.ask(
            ReadRow(context.row_key), _STORE_TIMEOUT_S
        )
    except gevent.Timeout:
        return MapRowRead(effect, has_result=False)
    if isinstance(result, Failure):
        return MapRowRead(effect, has_result=False)
    read = result.unwrap()
    shard_map = _decode_row(read.row.body) if read.row.version else None
    if read.row.version and shard_map is None:
        return MapRowRead(effect, has_result=False)
    return MapRowRead(effect, True, shard_map, read.requested_at)


@executors.register(WriteMap)
def _write_map(context: ExecutorContext, effect: WriteMap) -> MapWritten:
    write = WriteRow(
        context.row_key, encode_map(effect.shard_map), effect.based_on, uuid.uuid4().hex
    )
    try:
        result = context.store.ask(write, _STORE_TIMEOUT_S)
    except gevent.Timeout:
        return MapWritten(effect, None)
    if isinstance(result, Success):
        return MapWritten(effect, effect.shard_map)
    error = result.failure()
    logger.bind(service=context.service, reason=error.kind.value).info(
        "writing the map row failed"
    )
    is_conflict = error.kind is StoreErrorKind.CONFLICT and error.current is not None
    current = _decode_row(error.current.body) if is_conflict else None
    return MapWritten(effect, current)


@executors.register(AskConfirm)
def _ask_confirm(context: ExecutorContext, effect: AskConfirm) -> Confirmed:
    requested_at = context.clock.now()
    reply = _call_peer(
        context, effect.instance_id, CONFIRM_KIND, codec.encode_service(context.service)
    )
    return Confirmed(effect, codec.decode_confirm_reply(reply) if reply else None, requested_at)


@executors.register(AskAdopt)
def _ask_adopt(context: ExecutorContext, effect: AskAdopt) -> Adopted:
    body = codec.encode_adopt_request(effect.shard_map)
    reply = _call_peer(context, effect.instance_id, ADOPT_KIND, body)
    if not reply:
        return Adopted(effect, effect.instance_id, None)
    instance_id, version = codec.decode_adopt_reply(reply)
    return Adopted(effect, instance_id, version)


@executors.register(QueryServer)
def _query_server(context: ExecutorContext, effect: QueryServer) -> ServerReplied:
    reply = context.servers.query(effect).value_or(None)
    return ServerReplied(effect, effect.server.server_id, reply)


@executors.register(SendGrant)
def _send_grant(context: ExecutorContext, effect: SendGrant) -> ServerReplied:
    reply = context.servers.grant(effect).value_or(None)
    return ServerReplied(effect, effect.server.server_id, reply)


def _call_peer(context: ExecutorContext, instance_id: str, kind: str, body: bytes) -> bytes | None:
    instance = context.instance_by_id().get(instance_id)
    if instance is None:
        return None
    result = context.peers.call(instance.host, instance.peer_port, kind, body, _PEER_TIMEOUT_S)
    return result.value_or(None)


def _decode_row(body: str) -> ShardMap | None:
    try:
        return decode_map(body)
    except (ValueError, KeyError, TypeError, json.JSONDecodeError) as error:
        logger.error("decoding the map row failed: {}", error)
        return None
