"""Task that owns the links to other instances."""

from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from loguru import logger
from returns.result import Failure

from damasktide.peering.client import DropLink, PeerClient
from damasktide.peering.server import CallHandler, PeerServer
from damasktide.relay.codec import (
    MalformedChangesError,
    decode_changes_reply,
    encode_changes_request,
)
from damasktide.relay.messages import ChangesRefused, ChangesReply, ChangesRequest
from damasktide.relay.server import CHANGES_KIND, ChangesServer
from damasktide.relay.sources import RelaySource, RelaySourceSelector
from damasktide.relay.tree import RelayPeer, Upstream, relay_order
from damasktide.runtime.registry import Registry
from damasktide.runtime.task import Task, TaskFailed, handles
from damasktide.settings.model import Address


@dataclass(frozen=True, slots=True)
class RelayGroup:
    """The peers of this instance in the relay.

    Attributes
    ----------
    key
        Key shared by all instances; no links are opened before it is known.
    peers
        The instances of this failure domain that can be called.
    other_roots
        The root of each other failure domain.
    upstream
        Instances that the root of this failure domain asks before the store.
    """

    key: bytes
    peers: tuple[RelayPeer, ...]
    other_roots: tuple[RelayPeer, ...] = ()
    upstream: Upstream = field(default_factory=Upstream)


class RelayExchange(Task):
    """Owns the server and client of the links, and the selection of the relay source.

    The table followers call :meth:`request_changes` in their own greenlets.

    Parameters
    ----------
    name, boot
        Name of this instance and id of this run of its process.
    listen
        Address to listen on for calls of other instances.
    changes_server
        Serves requests for changes from other instances.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    """

    def __init__(
        self,
        name: str,
        boot: str,
        listen: Address,
        changes_server: ChangesServer,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("relay", on_failure)
        self.sources = RelaySourceSelector(name)
        self.other_roots: tuple[RelayPeer, ...] = ()
        self._own_id = f"{name}#{boot}"
        self._listen = listen
        self._handlers: Registry[str, CallHandler] = Registry("peer call")
        self._handlers.register(CHANGES_KIND)(changes_server.serve)
        self._followed: RelayPeer | None = None
        self._server: PeerServer | None = None
        self._client: PeerClient | None = None

    def follow(self, source: RelaySource) -> None:
        """Make ``source`` the instance at which all tables are followed.

        Calls that wait at the former one end. Only the calls about a table that changes constantly
        notice that an instance is silent, so no other call may wait where none of them goes.
        """
        former, self._followed = self._followed, source.peer
        if former is not None and former.name != source.peer.name and self._client is not None:
            self._client.tell(DropLink(former.address))

    def request_changes(self, source: RelaySource, request: ChangesRequest) -> ChangesReply:
        """Request the changes of a table from a peer; a failed call counts as a refusal."""
        if self._client is None:
            return ChangesRefused("no links yet")
        peer = source.peer
        followed = self._followed
        timeout_s = request.wait_s + source.reply_margin_s
        result = self._client.call(
            *peer.address, CHANGES_KIND, encode_changes_request(request), timeout_s
        )
        if isinstance(result, Failure):
            if self._followed is not followed:
                return ChangesRefused("the source has changed")
            self._peer_failed(peer, result.failure().reason)
            return ChangesRefused("no answer")
        try:
            return decode_changes_reply(result.unwrap())
        except MalformedChangesError as error:
            self._peer_failed(peer, str(error))
            return ChangesRefused("malformed")

    def serve(self, kind: str, handler: CallHandler) -> None:
        """Register ``handler`` for calls of one kind; must be called before the start."""
        self._handlers.register(kind)(handler)

    def call(self, peer: RelayPeer, kind: str, body: bytes, timeout_s: float) -> bytes | None:
        """Call another instance, and return its reply or None if the call fails."""
        if self._client is None:
            return None
        result = self._client.call(*peer.address, kind, body, timeout_s)
        if isinstance(result, Failure):
            logger.bind(peer=peer.name, detail=result.failure().reason).debug("call failed")
            return None
        return result.unwrap()

    def drop_link(self, peer: RelayPeer) -> None:
        """Close the link to ``peer``; the next call opens it again."""
        if self._client is not None:
            self._client.tell(DropLink(peer.address))

    def on_stop(self) -> None:
        """Close all links."""
        if self._server is not None:
            self._server.stop()
        if self._client is not None:
            self._client.stop()

    @handles(RelayGroup)
    def _group_changed(self, group: RelayGroup) -> None:
        if self._server is None:
            self._server = PeerServer(
                self._own_id, self._listen.host, self._listen.port, group.key, self._handlers
            )
            self._server.start()
            self._client = PeerClient(self._own_id, group.key)
            self._client.start()
        self.sources.set_order(relay_order(group.peers), group.upstream)
        self.other_roots = group.other_roots
        source = self.sources.source(monotonic())
        logger.bind(
            peers=len(group.peers), asks=source.peer.name if source is not None else "the store"
        ).info("instances of the failure domain changed")

    def _peer_failed(self, peer: RelayPeer, reason: str) -> None:
        self.sources.record_peer_failure(monotonic(), peer.name)
        if self._client is not None:
            # Ends the pending calls to this peer for other tables, which would also time out.
            self._client.tell(DropLink(peer.address))
        logger.bind(peer=peer.name, detail=reason).info("relay source failed")
