"""The task that owns shares, plan volume and the queues."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from itertools import count

from gevent.event import AsyncResult

from damasktide.admission.refusals import Refusal
from damasktide.balancing.targets import Target
from damasktide.limits.limiter import Limiter
from damasktide.limits.members import SharerTracker
from damasktide.limits.messages import (
    CapacityChanged,
    Enter,
    Entry,
    Leave,
    MembersChanged,
    PeerContacted,
    Placed,
    RefundVolume,
    ServiceTargetsChanged,
    TakeVolume,
    Verdict,
    VolumesChanged,
)
from damasktide.limits.shares import share_by_server
from damasktide.limits.slot_share import SlotShare
from damasktide.membership.instances import Instance
from damasktide.runtime.clock import Clock, MonotonicClock
from damasktide.runtime.task import Task, TaskFailed, every, handles

EXPIRY_INTERVAL_S = 0.02
SHARES_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class Shares:
    """Shares of this instance at a point in time.

    Attributes
    ----------
    fraction
        Fraction of each rate: plan volume, and bytes on the link between regions.
    share_by_server
        Share of the slots and connections of each target of all services.
    """

    fraction: float
    share_by_server: Mapping[str, SlotShare]


class LimiterTask(Task):
    """Owns shares, plan volume and the queues of all services.

    Parameters
    ----------
    own
        This instance.
    on_shares
        Called with the shares when the sharing instances or the targets change; it must not
        block.
    clock
        Source of time.
    on_failure
        Called when a handler raises outside an ``ask``.
    """

    def __init__(
        self,
        own: Instance,
        on_shares: Callable[[Shares], None],
        clock: Clock | None = None,
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__("limiter", on_failure)
        self._clock = clock or MonotonicClock()
        self._on_shares = on_shares
        self._sharer_tracker = SharerTracker(own)
        self._limiter = Limiter()
        self._targets_by_service: dict[str, tuple[Target, ...]] = {}
        self._sharers: tuple[Instance, ...] | None = None
        self._reply_by_ticket: dict[int, AsyncResult] = {}
        self._tickets = count(1)

    def enter(
        self,
        customer: str,
        service: str,
        deadline: float,
        owner: str | None = None,
        counts_volume: bool = True,
    ) -> Verdict:
        """Wait in the caller's greenlet until the request may run or is refused.

        Parameters
        ----------
        customer, service
            Customer that sent the request, and service that it calls.
        deadline
            Monotonic time in seconds.
        owner
            Owner of the key, or None for unkeyed work.
        counts_volume
            Whether this instance counts the request against the customer's volume.
        """
        entry = Entry(next(self._tickets), customer, service, deadline, owner, counts_volume)
        reply = AsyncResult()
        self.tell(Enter(entry, reply))
        try:
            verdict: Verdict = reply.get()
        except BaseException:
            self.tell(Leave(entry.ticket))
            raise
        return verdict

    @every(EXPIRY_INTERVAL_S)
    def _expire(self) -> None:
        self._deliver(self._limiter.expire(self._clock.now()))

    @every(SHARES_INTERVAL_S)
    def _update_sharers(self) -> None:
        now = self._clock.now()
        sharers = self._sharer_tracker.sharers(now)
        if sharers != self._sharers:
            self._sharers = sharers
            self._publish_shares(now)

    @handles(Enter)
    def _enter(self, message: Enter) -> None:
        self._reply_by_ticket[message.entry.ticket] = message.reply
        self._deliver(self._limiter.enter(self._clock.now(), message.entry))

    @handles(TakeVolume)
    def _take_volume(self, message: TakeVolume) -> Refusal | None:
        return self._limiter.take_volume(self._clock.now(), message.customer)

    @handles(RefundVolume)
    def _refund_volume(self, message: RefundVolume) -> None:
        self._limiter.rates.refund(self._clock.now(), message.customer)

    @handles(Placed)
    def _place(self, message: Placed) -> None:
        self._limiter.place(message.ticket, message.server_id)

    @handles(Leave)
    def _leave(self, message: Leave) -> None:
        self._reply_by_ticket.pop(message.ticket, None)
        self._deliver(self._limiter.leave(self._clock.now(), message.ticket))

    @handles(CapacityChanged)
    def _set_capacity(self, message: CapacityChanged) -> None:
        self._deliver(self._limiter.set_capacity(self._clock.now(), message))

    @handles(VolumesChanged)
    def _set_volumes(self, message: VolumesChanged) -> None:
        self._limiter.rates.set_rates(self._clock.now(), message.requests_per_s_by_customer)

    @handles(ServiceTargetsChanged)
    def _set_targets(self, message: ServiceTargetsChanged) -> None:
        self._targets_by_service[message.service] = message.targets
        self._publish_shares(self._clock.now())

    @handles(MembersChanged)
    def _set_members(self, message: MembersChanged) -> None:
        self._sharer_tracker.set_members(self._clock.now(), message.members)
        self._update_sharers()

    @handles(PeerContacted)
    def _record_contact(self, message: PeerContacted) -> None:
        self._sharer_tracker.record_contact(self._clock.now())

    def _publish_shares(self, now: float) -> None:
        sharers = self._sharers or ()
        fraction = 1.0 / len(sharers) if sharers else 0.0
        self._limiter.rates.set_fraction(now, fraction)
        targets = (target for group in self._targets_by_service.values() for target in group)
        shares = share_by_server(self._sharer_tracker.own, sharers, targets)
        self._on_shares(Shares(fraction, shares))

    def _deliver(self, verdicts: Iterator[Verdict]) -> None:
        for verdict in verdicts:
            reply = self._reply_by_ticket.pop(verdict.ticket, None)
            if reply is not None:
                reply.set(verdict)
