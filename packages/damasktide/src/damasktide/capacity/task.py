"""Task that exchanges call summaries with other instances."""

from collections.abc import Callable
from time import monotonic

from loguru import logger

from damasktide.capacity.codec import (
    MalformedSummariesError,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from damasktide.capacity.messages import Scope
from damasktide.capacity.summary_table import MAX_INSTANCE_WEIGHT, SummaryTable
from damasktide.relay.exchange import RelayExchange
from damasktide.relay.tree import RelayPeer
from damasktide.runtime.task import Task, TaskFailed

CAPACITY_KIND = "capacity"
INTERVAL_S = 1.0
# Until the first reply, an instance that starts asks more often, because it knows no speeds.
START_INTERVAL_S = 0.2
REPLY_TIMEOUT_S = 0.3


class CapacityExchange(Task):
    """Exchanges call summaries with the parent in the relay tree, and between the roots.

    An instance sends to its parent the sum of its own calls and those of the instances below it,
    and receives the sum of all others. A root asks each other root for the sum of its domain.

    Parameters
    ----------
    name
        Name of this instance.
    relay
        Links to other instances.
    table
        The call summaries.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    clock
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        name: str,
        relay: RelayExchange,
        table: SummaryTable,
        on_failure: Callable[[TaskFailed], None] | None = None,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        super().__init__("capacity", on_failure)
        self._name = name
        self._relay = relay
        self._table = table
        self._clock = clock
        self._has_reply = False
        self._due_at = 0.0
        relay.serve(CAPACITY_KIND, self._serve)

    def next_wake_at(self) -> float | None:
        """Return when the next exchange is due."""
        return self._due_at

    def on_wake(self) -> None:
        """Exchange summaries with the parent or the other roots."""
        now = self._clock()
        self._table.drop_silent(now)
        parent = self._relay.sources.domain_source(now)
        receivers = (parent.peer,) if parent is not None else self._relay.other_roots
        scope = Scope.REST if parent is not None else Scope.DOMAIN
        replied = [peer for peer in receivers if self._ask(peer, scope)]
        if replied:
            self._has_reply = True
            self._table.retain_upstream([peer.name for peer in receivers])
        must_repeat = any(self._table.must_send_all(peer.name) for peer in replied)
        is_slow = self._has_reply and not must_repeat
        self._due_at = now + (INTERVAL_S if is_slow else START_INTERVAL_S)

    def _ask(self, peer: RelayPeer, scope: Scope) -> bool:
        """Exchange summaries with another instance; return whether it replied."""
        request, version = self._table.request(self._clock(), peer.name, scope)
        body = self._relay.call(peer, CAPACITY_KIND, encode_request(request), REPLY_TIMEOUT_S)
        if body is None:
            return False
        try:
            reply = decode_reply(body)
        except MalformedSummariesError as error:
            logger.bind(peer=peer.name).warning("cannot decode call summaries: {}", error)
            return False
        self._table.merge_reply(self._clock(), peer.name, request, version, reply)
        return True

    def _serve(self, sender_id: str, body: bytes) -> bytes:
        sender = sender_id.partition("#")[0]
        try:
            request = decode_request(body)
        except MalformedSummariesError as error:
            logger.bind(peer=sender).warning("cannot decode call summaries: {}", error)
            return b""
        max_weight = MAX_INSTANCE_WEIGHT * self._relay.sources.subtree_size(sender)
        reply = self._table.serve(self._clock(), sender, request, max_weight)
        return encode_reply(reply)
