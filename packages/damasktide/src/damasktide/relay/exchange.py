"""Task that owns the links to the other instances of the failure domain."""

from collections.abc import Callable
from dataclasses import dataclass
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
from damasktide.relay.messages import ChangesRefused, ChangesRequest, News
from damasktide.relay.server import CHANGES_KIND, ChangesServer
from damasktide.relay.sources import RelaySources
from damasktide.relay.tree import RelayPeer, relay_order
from damasktide.runtime.registry import Registry
from damasktide.runtime.task import Task, TaskFailed, handles
from damasktide.settings.model import Address

# Time for which an answer may be late beyond the wait that was asked for.
ANSWER_MARGIN_S = 0.35


@dataclass(frozen=True, slots=True)
class RelayGroup:
    """The instances of this failure domain.

    Attributes
    ----------
    key
        Key that all instances share; without one no links are made.
    peers
        The instances that can be called.
    other_roots
        The root of each other failure domain.
    """

    key: bytes
    peers: tuple[RelayPeer, ...]
    other_roots: tuple[RelayPeer, ...] = ()


class RelayExchange(Task):
    """Owns the server and the client of the links, and the choice of whom to ask.

    The followers of the tables call :meth:`ask_peer` in their own greenlets.

    Parameters
    ----------
    name, boot
        Name of this instance and id of its process.
    listen
        Address for calls of other instances.
    news
        Answers them.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    """

    def __init__(
        self,
        name: str,
        boot: str,
        listen: Address,
        news: ChangesServer,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("relay", on_failure)
        self.sources = RelaySources(name)
        self.other_roots: tuple[RelayPeer, ...] = ()
        self._own_id = f"{name}#{boot}"
        self._listen = listen
        self._handlers: Registry[str, CallHandler] = Registry("peer call")
        self._handlers.register(CHANGES_KIND)(news.serve)
        self._server: PeerServer | None = None
        self._client: PeerClient | None = None

    def ask_peer(self, peer: RelayPeer, wanted: ChangesRequest) -> News:
        """Ask another instance about a table; refused if it does not answer."""
        if self._client is None:
            return ChangesRefused("no links yet")
        timeout_s = wanted.wait_s + ANSWER_MARGIN_S
        result = self._client.call(
            *peer.address, CHANGES_KIND, encode_changes_request(wanted), timeout_s
        )
        if isinstance(result, Failure):
            self._failed(peer, result.failure().reason)
            return ChangesRefused("no answer")
        try:
            return decode_changes_reply(result.unwrap())
        except MalformedChangesError as error:
            self._failed(peer, str(error))
            return ChangesRefused("malformed")

    def serve(self, kind: str, handler: CallHandler) -> None:
        """Let ``handler`` answer the calls of one kind; to be called before the start."""
        self._handlers.register(kind)(handler)

    def call(self, peer: RelayPeer, kind: str, body: bytes, timeout_s: float) -> bytes | None:
        """Call another instance; return None if it does not answer."""
        if self._client is None:
            return None
        result = self._client.call(*peer.address, kind, body, timeout_s)
        if isinstance(result, Failure):
            logger.bind(peer=peer.name, detail=result.failure().reason).debug("call failed")
            return None
        return result.unwrap()

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
        self.sources.set_order(relay_order(group.peers))
        self.other_roots = group.other_roots
        source = self.sources.source(monotonic())
        logger.bind(
            peers=len(group.peers), asks=source.peer.name if source is not None else "the store"
        ).info("instances of the failure domain changed")

    def _failed(self, peer: RelayPeer, reason: str) -> None:
        self.sources.peer_failed(monotonic(), peer.name)
        if self._client is not None:
            # Calls that wait for this instance about other tables need not wait on.
            self._client.tell(DropLink(peer.address))
        logger.bind(peer=peer.name, detail=reason).info("an instance passes on no news")
