"""Task that exchanges tokens of organisations with the allocator."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from secrets import randbits
from time import monotonic
from typing import Protocol

from gevent.event import Event
from loguru import logger
from prometheus_client import CollectorRegistry

from damasktide.keyspace.table import InstanceRecord
from damasktide.organisations.organisation import Organisation
from damasktide.quotas.allocator import Allocator
from damasktide.quotas.codec import (
    MalformedDrawError,
    decode_draw,
    decode_reply,
    encode_draw,
    encode_reply,
)
from damasktide.quotas.holder import QuotaHolder, Usage
from damasktide.quotas.limits import QuotaLimits
from damasktide.quotas.messages import (
    MAX_WAIT_S,
    QUOTA_KIND,
    DrawReply,
    DrawRequest,
    DrawStatus,
    name_id,
)
from damasktide.quotas.metrics import QuotaMetrics
from damasktide.relay.exchange import RelayExchange
from damasktide.relay.tree import RelayPeer
from damasktide.runtime.clock import Clock, LeaseClock
from damasktide.runtime.task import Task, TaskFailed, handles

DRAW_TIMEOUT_S = 0.3
# A request that finds a draw in flight waits for that one too; it takes up to 0.06 s between
# regions.
IN_FLIGHT_WAIT_S = 0.1
# After this many draws without a reply, the link is opened anew, because the connection of a link
# that was interrupted is silent for some time after the interruption.
SILENT_DRAWS_PER_LINK = 3
# An instance that does not know the allocator yet is referred to it by another one, which may be
# referred itself.
MAX_REFERRALS = 2


class AllocatorRole(Protocol):
    """Tells whether this instance is the allocator, which the leader is.

    Times are seconds on the lease clock.
    """

    def may_allocate(self, now: float) -> bool:
        """Return whether no other instance can be the leader."""

    def may_renew(self, now: float) -> bool:
        """Return whether this instance may renew what it has granted."""

    def took_over_at(self) -> float:
        """Return when this instance became the leader."""


@dataclass(frozen=True, slots=True)
class DrawWanted:
    """Wakes the task, because a draw may be due earlier than before."""


class QuotaExchange(Task):
    """Owns the tokens of this instance and, on the leader, the allocator.

    The request greenlets call :meth:`take` and :meth:`refund` directly.

    Parameters
    ----------
    name, boot
        Name of this instance and id of this run of its process.
    relay
        Links to other instances, or None if there are none.
    leader
        Returns the leader, or None if it is not known.
    role
        Whether this instance is the leader.
    limits
        Bound on the usage in a window.
    registry
        Registry in which the metrics are registered.
    on_failure
        See :class:`damasktide.runtime.task.Task`.
    """

    def __init__(
        self,
        name: str,
        boot: str,
        relay: RelayExchange | None,
        leader: Callable[[], RelayPeer | None],
        role: AllocatorRole,
        limits: QuotaLimits,
        registry: CollectorRegistry,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("quotas", on_failure)
        self._name = name
        self._own_id = f"{name}#{boot}"
        self._relay = relay
        self._leader = leader
        self._role = role
        self._peer_by_id: dict[int, RelayPeer] = {}
        self._instance_names: frozenset[str] = frozenset()
        self._limits = limits
        self._clock: Clock = LeaseClock()
        self._holder = QuotaHolder(name, limits)
        self._organisations: tuple[Organisation, ...] = ()
        self._allocator: Allocator | None = None
        self._allocates_since = 0.0
        self._is_drawing = False
        self._is_woken = False
        self._failures_in_a_row = 0
        self._silent_draws_by_peer: dict[str, int] = {}
        self._doubted_names: set[str] = set()
        # The allocator by what another instance says, as long as the known leader is the one that
        # was known then.
        self._referral: tuple[RelayPeer, RelayPeer | None] | None = None
        self._drawn = Event()
        self._metrics = QuotaMetrics(registry)
        if relay is not None:
            relay.serve(QUOTA_KIND, self._serve)

    def set_organisations(self, organisations: Iterable[Organisation]) -> None:
        """Replace the organisations; those without a limit are ignored."""
        self._organisations = tuple(
            organisation for organisation in organisations if organisation.requests_per_s > 0.0
        )
        self._holder.set_organisations(self._organisations)
        if self._allocator is not None:
            self._allocator.set_organisations(self._clock.now(), self._organisations)

    def set_instances(self, records: Iterable[InstanceRecord]) -> None:
        """Replace the registered instances."""
        peers = [
            RelayPeer(record.name, record.address or ("", 0), record.link_mbps)
            for record in records
        ]
        self._instance_names = frozenset(peer.name for peer in peers)
        self._peer_by_id = {name_id(peer.name): peer for peer in peers if peer.address[1]}
        self._holder.set_instances(self._instance_names)
        if self._allocator is not None:
            self._allocator.set_instances(self._instance_names)

    def take(self, organisation: Organisation, max_wait_s: float = MAX_WAIT_S) -> float:
        """Take a token; return 0.0, or the seconds until one can be expected.

        Parameters
        ----------
        organisation
            Organisation that sent the request.
        max_wait_s
            Longest time in seconds for which the calling greenlet waits.
        """
        if organisation.requests_per_s <= 0.0:
            return 0.0
        usage = self._holder.usage(organisation.name)
        if usage is None:
            # The configuration in force has just been replaced.
            return 0.0
        if self._holder.admit(self._clock.now(), usage):
            return 0.0
        if self._draw_and_wait(usage, max_wait_s):
            return 0.0
        self._metrics.record_over_cap()
        return self._holder.retry_after_s(self._clock.now(), usage)

    def refund(self, organisation: Organisation) -> None:
        """Return the token of a request that has not run and never will."""
        usage = self._holder.usage(organisation.name)
        if usage is not None:
            self._holder.refund(self._clock.now(), usage)
            self._wake()

    def next_wake_at(self) -> float | None:
        """Return when the next draw is due."""
        if not self._organisations:
            return None
        now = self._clock.now()
        due_at = self._holder.next_draw_at(now)
        return None if due_at is None else monotonic() + due_at - now

    def on_wake(self) -> None:
        """Draw tokens."""
        if not self._is_drawing:
            self._draw()

    @handles(DrawWanted)
    def _draw_wanted(self, _message: DrawWanted) -> None:
        self._is_woken = False

    def _wake(self) -> None:
        if not self._is_woken:
            self._is_woken = True
            self.tell(DrawWanted())

    def _draw_and_wait(self, usage: Usage, max_wait_s: float) -> bool:
        """Draw a token for a request that found none; return whether it got one."""
        until = monotonic() + max_wait_s
        if self._is_drawing:
            until += IN_FLIGHT_WAIT_S
        holder = self._holder
        while max_wait_s > 0.0 and holder.may_wait(self._clock.now(), usage):
            ticket = holder.enter(usage)
            try:
                self._await_draw(usage, ticket, until)
            finally:
                holder.leave(usage)
            now = self._clock.now()
            if holder.take(now, usage):
                return True
            if monotonic() >= until:
                # The allocator is late, which the tolerance of the bound covers.
                return holder.take_offline(now, usage)
        self._wake()
        return False

    def _await_draw(self, usage: Usage, ticket: int, until: float) -> None:
        if self._role.may_allocate(self._clock.now()) and not self._is_drawing:
            # The allocator is in this process, so the draw does not block.
            self._draw()
            return
        self._wake()
        while ticket >= usage.first_unresolved and monotonic() < until:
            self._drawn.wait(until - monotonic())

    def _draw(self) -> None:
        self._is_drawing = True
        try:
            sent_at = self._clock.now()
            request = self._holder.start_draw(sent_at)
            reply = self._call_allocator(request)
            drawn = self._holder.finish_draw(self._clock.now(), sent_at, request, reply)
        finally:
            self._is_drawing = False
        self._metrics.record_draw(reply, drawn)
        drawn_event, self._drawn = self._drawn, Event()
        drawn_event.set()

    def _call_allocator(self, request: DrawRequest) -> DrawReply | None:
        """Send a draw to the allocator; return its reply, or None if there is none."""
        if self._role.may_allocate(self._clock.now()):
            return self._reply_to(self._own_id, request)
        reply = None
        for _ in range(1 + MAX_REFERRALS):
            peer = self._allocator_peer()
            if peer is None:
                break
            reply = self._call(peer, request)
            if reply is None or reply.status is not DrawStatus.REFUSED:
                break
            if not self._follow_referral(peer, reply):
                break
        if reply is None or reply.status is DrawStatus.REFUSED:
            self._failures_in_a_row += 1
        else:
            self._failures_in_a_row = 0
        return reply

    def _call(self, peer: RelayPeer, request: DrawRequest) -> DrawReply | None:
        if peer.name == self._name:
            return self._reply_to(self._own_id, request)
        if self._relay is None:
            return None
        body = self._relay.call(peer, QUOTA_KIND, encode_draw(request), DRAW_TIMEOUT_S)
        if body is None:
            self._record_silence(peer)
            return None
        self._silent_draws_by_peer.pop(peer.name, None)
        self._doubted_names.discard(peer.name)
        try:
            return decode_reply(body)
        except MalformedDrawError as error:
            logger.bind(peer=peer.name).warning("cannot decode the reply to a draw: {}", error)
            return None

    def _record_silence(self, peer: RelayPeer) -> None:
        if self._referral is not None and self._referral[0] == peer:
            self._referral = None
        self._doubted_names.add(peer.name)
        count = self._silent_draws_by_peer.get(peer.name, 0) + 1
        self._silent_draws_by_peer[peer.name] = count
        if count % SILENT_DRAWS_PER_LINK == 0 and self._relay is not None:
            self._relay.drop_link(peer)

    def _allocator_peer(self) -> RelayPeer | None:
        """Return the instance to which the next draw is sent.

        Most instances learn of a new leader some seconds late. Every second draw after a failure
        goes to an instance that follows the leader's row closely.
        """
        leader = self._leader()
        if self._failures_in_a_row % 2:
            return self._informant() or leader
        if self._referral is not None:
            referred, known_leader = self._referral
            if known_leader == leader:
                return referred
            self._referral = None
        return leader

    def _informant(self) -> RelayPeer | None:
        if self._relay is None:
            return None
        source = self._relay.sources.domain_source(monotonic())
        if source is not None:
            return source.peer
        roots = self._relay.other_roots
        return roots[self._failures_in_a_row // 2 % len(roots)] if roots else None

    def _follow_referral(self, peer: RelayPeer, reply: DrawReply) -> bool:
        """Note which instance ``peer`` takes for the allocator; return whether it is news."""
        referred = self._peer_by_id.get(reply.epoch)
        if referred is None or referred.name == peer.name:
            return False
        if referred.name in self._doubted_names:
            # It has just not replied, and ``peer`` may not know yet that it has ended.
            self._doubted_names.discard(referred.name)
            return False
        self._referral = (referred, self._leader())
        self._failures_in_a_row = 0
        return True

    def _serve(self, sender_id: str, body: bytes) -> bytes:
        try:
            request = decode_draw(body)
        except MalformedDrawError as error:
            logger.bind(peer=sender_id.partition("#")[0]).warning(
                "cannot decode a draw of tokens: {}", error
            )
            return encode_reply(self._refusal())
        return encode_reply(self._reply_to(sender_id, request))

    def _reply_to(self, sender_id: str, request: DrawRequest) -> DrawReply:
        now = self._clock.now()
        if self._role.may_allocate(now):
            return self._current_allocator(now).draw(now, sender_id, request)
        is_own_term = self._allocates_since == self._role.took_over_at()
        if self._allocator is not None and is_own_term and self._role.may_renew(now):
            return self._allocator.extend(now, sender_id)
        return self._refusal()

    def _refusal(self) -> DrawReply:
        """Return a refusal that names the leader this instance knows."""
        leader = self._leader()
        return DrawReply(DrawStatus.REFUSED, name_id(leader.name) if leader is not None else 0)

    def _current_allocator(self, now: float) -> Allocator:
        """Return the allocator of the present term of this leader."""
        took_over_at = self._role.took_over_at()
        if self._allocator is None or self._allocates_since != took_over_at:
            self._allocator = Allocator(now, randbits(63) + 1, self._limits, self._organisations)
            self._allocator.set_instances(self._instance_names)
            self._allocates_since = took_over_at
            logger.bind(organisations=len(self._organisations)).info("allocates usage caps")
        return self._allocator
