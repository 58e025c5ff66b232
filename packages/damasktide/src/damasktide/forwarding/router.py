"""Routes one admitted request: find a destination, call it, decide on retries."""

import time
from collections.abc import Callable, Mapping
from random import Random

import gevent

from damasktide.admission.refusals import Outcome, Refusal, RefusalCode
from damasktide.admission.request import AdmittedRequest, BackendResponse
from damasktide.balancing.messages import CallOutcome, Done
from damasktide.forwarding.backoff import Backoff, FailedCall, Retry
from damasktide.forwarding.destinations import ServiceRoute, destination_finders, owner_of_request
from damasktide.forwarding.failures import FailureKind, UpstreamFailure, refusal_for
from damasktide.forwarding.hedged_call import HedgedCall
from damasktide.forwarding.hedging import CallObserved
from damasktide.forwarding.retry_budget import CountRequest, RetryBudgetTask, SpendRetry
from damasktide.forwarding.slot_lease import SlotLease
from damasktide.forwarding.upstream import Destination, Upstream
from damasktide.telemetry.metrics import HEDGE_REASON

# An owner that was lost is replaced within 2 s, so a keyed request waits at most that long.
OWNER_WAIT_S = 2.0
OWNER_POLL_S = 0.05

_DEADLINE_PASSED = Refusal(RefusalCode.DEADLINE_TOO_SHORT, "the deadline has passed")

_OUTCOME_BY_KIND = {
    FailureKind.NOT_CONNECTED: CallOutcome.NOT_CONNECTED,
    FailureKind.NOT_OWNER: CallOutcome.CANCELLED,
    FailureKind.NO_RIGHT: CallOutcome.CANCELLED,
    FailureKind.SHED: CallOutcome.SHED,
    FailureKind.TIMED_OUT: CallOutcome.TIMED_OUT,
    FailureKind.RESET: CallOutcome.RESET,
    FailureKind.INCOMPLETE: CallOutcome.FAILED,
    FailureKind.WRONG_ANSWER: CallOutcome.FAILED,
}


class Router:
    """Routes requests; holds nothing that belongs to a single request.

    Parameters
    ----------
    route_by_service
        What is needed to find destinations.
    upstream
        Connections to the targets.
    budget
        Task that owns the retry budget.
    count
        Counts a retry reason.
    """

    def __init__(
        self,
        route_by_service: Mapping[str, ServiceRoute],
        upstream: Upstream,
        budget: RetryBudgetTask,
        count: Callable[[str], None],
    ) -> None:
        self._route_by_service = route_by_service
        self._upstream = upstream
        self._budget = budget
        self._count = count
        self._random = Random()
        self._backoff = Backoff(self._random)

    def route(self, admitted: AdmittedRequest, lease: SlotLease) -> BackendResponse | Refusal:
        """Return the whole response to the request, or a refusal.

        Parameters
        ----------
        admitted
            The request.
        lease
            Its slot at the limiter, taken here and given back by the caller.
        """
        self._budget.tell(CountRequest())
        tries = _Tries(min(admitted.request.deadline, time.monotonic() + OWNER_WAIT_S))
        result = self._run(admitted, lease, tries)
        if isinstance(result, Refusal) and tries.may_have_run:
            return _without_not_run(result)
        return result

    def _run(
        self, admitted: AdmittedRequest, lease: SlotLease, tries: "_Tries"
    ) -> BackendResponse | Refusal:
        route = self._route_by_service[admitted.request.service]
        find = destination_finders.get(admitted.is_keyed)
        while True:
            remaining_s = admitted.request.deadline - time.monotonic()
            if remaining_s <= 0:
                return tries.refusal or _DEADLINE_PASSED
            destination = self._enter(admitted, lease) or find(route, admitted, tries.server_ids)
            if isinstance(destination, Refusal):
                if destination.code is not RefusalCode.NO_OWNER or tries.is_owner_overdue():
                    return tries.reason_for(destination)
                tries.refusal = destination
                self._wait_for_owner(lease)
                continue
            if not admitted.is_keyed:
                lease.place(destination.server_id)
            result = self._call_hedged(route, admitted, destination, remaining_s)
            if isinstance(result, BackendResponse):
                return result
            tries.record(result)
            refusal = self._refusal_or_wait(admitted, result, tries, lease)
            if refusal is not None:
                return refusal
            self._count(result.kind.value)

    def _enter(self, admitted: AdmittedRequest, lease: SlotLease) -> Refusal | None:
        """Take a slot if the request holds none, or return why there is none."""
        if not admitted.is_keyed:
            return lease.acquire(None)
        route = self._route_by_service[admitted.request.service]
        found = owner_of_request(route, admitted)
        return found if isinstance(found, Refusal) else lease.acquire(found.owner.server_id)

    def _refusal_or_wait(
        self,
        admitted: AdmittedRequest,
        failure: UpstreamFailure,
        tries: "_Tries",
        lease: SlotLease,
    ) -> Refusal | None:
        """Return the refusal that ends the request, or None after waiting for another try."""
        refusal = refusal_for(failure.kind, admitted.is_keyed)
        if admitted.is_keyed and failure.kind.is_owner_change:
            # The owner changes; waiting for the next one puts no load on a backend server.
            if tries.is_owner_overdue():
                return refusal
            tries.refusal = refusal
            self._wait_for_owner(lease)
            return None
        call = FailedCall(admitted.is_idempotent, failure.kind.is_not_run, tries.count - 1)
        remaining_s = admitted.request.deadline - time.monotonic()
        decision = self._backoff.decide(call, remaining_s)
        if not isinstance(decision, Retry) or not self._budget.ask(SpendRetry()):
            return refusal
        gevent.sleep(decision.delay_s)
        return None

    def _call_hedged(
        self,
        route: ServiceRoute,
        admitted: AdmittedRequest,
        destination: Destination,
        remaining_s: float,
    ) -> BackendResponse | UpstreamFailure:
        """Call a target; an unkeyed idempotent call that takes long gets a second one."""
        may_hedge = admitted.is_idempotent and not admitted.is_keyed
        delay_s = route.hedge_plan.value.delay_for(may_hedge, remaining_s)
        if delay_s is None:
            return self._call(route, admitted, destination, remaining_s)

        def second_destination() -> Destination | None:
            if not self._budget.ask(SpendRetry()):
                return None
            found = destination_finders.get(False)(route, admitted, (destination.server_id,))
            if isinstance(found, Refusal):
                return None
            self._count(HEDGE_REASON)
            return found

        def cancelled(loser: Destination) -> None:
            route.balancer.tell(Done(loser.server_id, delay_s, CallOutcome.CANCELLED))
            self._upstream.cancel(admitted.request.request_id, loser)

        hedged = HedgedCall(
            lambda chosen: self._call(route, admitted, chosen, remaining_s),
            second_destination,
            cancelled,
        )
        return hedged.run(destination, delay_s)

    def _call(
        self,
        route: ServiceRoute,
        admitted: AdmittedRequest,
        destination: Destination,
        remaining_s: float,
    ) -> BackendResponse | UpstreamFailure:
        started = time.monotonic()
        result = self._upstream.send(admitted.request, destination, remaining_s)
        latency_s = time.monotonic() - started
        if not admitted.is_keyed:
            route.hedging.tell(CallObserved(latency_s))
        if destination.takes_slot:
            outcome = CallOutcome.OK
            if isinstance(result, UpstreamFailure):
                outcome = _OUTCOME_BY_KIND[result.kind]
            route.balancer.tell(Done(destination.server_id, latency_s, outcome))
        return result

    def _wait_for_owner(self, lease: SlotLease) -> None:
        lease.release()
        gevent.sleep(OWNER_POLL_S * self._random.uniform(0.5, 1.5))


class _Tries:
    """What one request has tried so far."""

    def __init__(self, wait_until: float) -> None:
        self._wait_until = wait_until
        self.server_ids: tuple[str, ...] = ()
        self.may_have_run = False
        # Why the request waits; a deadline that passes meanwhile does not hide the reason.
        self.refusal: Refusal | None = None

    @property
    def count(self) -> int:
        """Number of calls."""
        return len(self.server_ids)

    def record(self, failure: UpstreamFailure) -> None:
        """Take account of a failed call."""
        self.server_ids = (*self.server_ids, failure.server_id)
        self.may_have_run = self.may_have_run or not failure.kind.is_not_run

    def reason_for(self, refusal: Refusal) -> Refusal:
        """Return the refusal, or why the request waited before it if that says more."""
        is_crowded = refusal.code is RefusalCode.OVERLOADED
        return self.refusal if self.refusal is not None and is_crowded else refusal

    def is_owner_overdue(self) -> bool:
        """Return whether the time to wait for an owner is over."""
        return time.monotonic() >= self._wait_until


def _without_not_run(refusal: Refusal) -> Refusal:
    """Return a refusal that does not claim "not run" after an earlier try may have run."""
    if refusal.code.outcome is not Outcome.NOT_RUN:
        return refusal
    return Refusal(RefusalCode.OUTCOME_UNKNOWN, f"an earlier try may have run; {refusal.detail}")
