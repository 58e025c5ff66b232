"""Admission of requests by plan volume and by the free slots of each service."""

from collections.abc import Iterator
from math import ceil, isinf

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.limits.messages import CapacityChanged, Entry, Refused, Verdict
from damasktide.limits.rate_limiter import RateLimiter
from damasktide.limits.service_limiter import ServiceLimiter


class Limiter:
    """Checks plan volume, then admission to the service.

    Parameters
    ----------
    rates
        Plan volume per customer.
    """

    def __init__(self, rates: RateLimiter | None = None) -> None:
        self.rates = rates or RateLimiter()
        self._limiter_by_service: dict[str, ServiceLimiter] = {}
        self._entry_by_ticket: dict[int, Entry] = {}

    def set_capacity(self, now: float, change: CapacityChanged) -> Iterator[Verdict]:
        """Replace the slots of a service and admit queued requests that now have a slot."""
        limiter = self._limiter_by_service.setdefault(change.service, ServiceLimiter())
        verdicts = limiter.set_capacity(now, change.slots, change.slots_by_server)
        yield from self._refund_refused(now, verdicts)

    def enter(self, now: float, entry: Entry) -> Iterator[Verdict]:
        """Admit, queue or refuse a request; a queued request gets no verdict yet."""
        limiter = self._limiter_by_service.get(entry.service)
        if limiter is None:
            detail = f"no target of {entry.service} is known"
            yield Refused(entry.ticket, Refusal(RefusalCode.NO_TARGET, detail))
            return
        refusal = self.take_volume(now, entry.customer) if entry.counts_volume else None
        if refusal is not None:
            yield Refused(entry.ticket, refusal)
            return
        self._entry_by_ticket[entry.ticket] = entry
        yield from self._refund_refused(now, limiter.enter(now, entry))

    def take_volume(self, now: float, customer: str) -> Refusal | None:
        """Count a request against the customer's volume, or return the refusal."""
        wait_s = self.rates.take(now, customer)
        return _volume_exceeded(wait_s) if wait_s else None

    def place(self, ticket: int, server_id: str) -> None:
        """Record the target of an admitted request."""
        entry = self._entry_by_ticket.get(ticket)
        if entry is not None:
            self._limiter_by_service[entry.service].place(ticket, server_id)

    def leave(self, now: float, ticket: int) -> Iterator[Verdict]:
        """Free the slot of a request, or remove it from the queue."""
        entry = self._entry_by_ticket.pop(ticket, None)
        if entry is not None:
            verdicts = self._limiter_by_service[entry.service].leave(now, ticket)
            yield from self._refund_refused(now, verdicts)

    def expire(self, now: float) -> Iterator[Verdict]:
        """Refuse queued requests that are unlikely to meet their deadline."""
        for limiter in self._limiter_by_service.values():
            yield from self._refund_refused(now, limiter.expire(now))

    def _refund_refused(self, now: float, verdicts: Iterator[Verdict]) -> Iterator[Verdict]:
        for verdict in verdicts:
            if isinstance(verdict, Refused):
                self._refund(now, verdict.ticket)
            yield verdict

    def _refund(self, now: float, ticket: int) -> None:
        entry = self._entry_by_ticket.pop(ticket, None)
        if entry is not None and entry.counts_volume:
            self.rates.refund(now, entry.customer)


def _volume_exceeded(wait_s: float) -> Refusal:
    retry_after_s = None if isinf(wait_s) else ceil(wait_s)
    return Refusal(RefusalCode.VOLUME_EXCEEDED, "the plan's volume is used up", retry_after_s)
