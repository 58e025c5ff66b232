"""Routes one admitted request: finds a destination, calls it and decides on retries."""

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

# A failed owner is replaced within 2 s, so a keyed request waits at most that long for one.
OWNER_WAIT_S = 2.0
OWNER_POLL_INTERVAL_S = 0.05

_DEADLINE_PASSED = Refusal(RefusalCode.DEADLINE_TOO_SHORT, "the deadline has passed")

_OUTCOME_BY_KIND = {
    FailureKind.NOT_CONNECTED: CallOutcome.NOT_CONNECTED,
    FailureKind.NOT_OWNER: CallOutcome.CANCELLED,
    FailureKind.LEASE_EXPIRED: CallOutcome.CANCELLED,
    FailureKind.SHED: CallOutcome.SHED,
    FailureKind.TIMED_OUT: CallOutcome.TIMED_OUT,
    FailureKind.RESET: CallOutcome.RESET,
    FailureKind.INCOMPLETE: CallOutcome.FAILED,
    FailureKind.WRONG_ANSWER: CallOutcome.FAILED,
}


class Router:
    """Routes requests; keeps no state of individual requests.

    Parameters
    ----------
    route_by_service
        Objects for finding the destinations of each service.
    upstream
        Sends calls to the targets.
    budget
        Task that owns the retry budget.
    count_retry
        Increments the retry counter of a reason.
    """

    def __init__(
        self,
        route_by_service: Mapping[str, ServiceRoute],
        upstream: Upstream,
        budget: RetryBudgetTask,
        count_retry: Callable[[str], None],
    ) -> None:
        self._route_by_service = route_by_service
        self._upstream = upstream
        self._budget = budget
        self._count_retry = count_retry
        self._random = Random()
        self._backoff = Backoff(self._random)

    def route(self, admitted: AdmittedRequest, lease: SlotLease) -> BackendResponse | Refusal:
        """Return the complete response to the request, or a refusal.

        Parameters
        ----------
        admitted
            The request.
        lease
            Its slot at the limiter; acquired here, released by the caller.
        """
        self._budget.tell(CountRequest())
        state = _RoutingState(min(admitted.request.deadline, time.monotonic() + OWNER_WAIT_S))
        result = self._call_with_retries(admitted, lease, state)
        if isinstance(result, Refusal) and state.may_have_run:
            return _as_outcome_unknown(result)
        return result

    def _call_with_retries(
        self, admitted: AdmittedRequest, lease: SlotLease, state: "_RoutingState"
    ) -> BackendResponse | Refusal:
        route = self._route_by_service[admitted.request.service]
        find_destination = destination_finders.get(admitted.is_keyed)
        while True:
            remaining_s = admitted.request.deadline - time.monotonic()
            if remaining_s <= 0:
                return state.wait_refusal or _DEADLINE_PASSED
            destination = self._acquire_slot(admitted, lease) or find_destination(
                route, admitted, state.tried_server_ids
            )
            if isinstance(destination, Refusal):
                if destination.code is not RefusalCode.NO_OWNER or state.has_owner_wait_expired():
                    return state.final_refusal(destination)
                state.wait_refusal = destination
                self._wait_for_owner(lease)
                continue
            if not admitted.is_keyed:
                lease.place(destination.server_id)
            result = self._call_hedged(route, admitted, destination, remaining_s)
            if isinstance(result, BackendResponse):
                return result
            state.record(result)
            refusal = self._wait_before_retry(admitted, result, state, lease)
            if refusal is not None:
                return refusal
            self._count_retry(result.kind.value)

    def _acquire_slot(self, admitted: AdmittedRequest, lease: SlotLease) -> Refusal | None:
        """Acquire a slot unless the request already holds one; return a refusal on failure."""
        if not admitted.is_keyed:
            return lease.acquire(None)
        route = self._route_by_service[admitted.request.service]
        key_owner = owner_of_request(route, admitted)
        return (
            key_owner
            if isinstance(key_owner, Refusal)
            else lease.acquire(key_owner.owner.server_id)
        )

    def _wait_before_retry(
        self,
        admitted: AdmittedRequest,
        failure: UpstreamFailure,
        state: "_RoutingState",
        lease: SlotLease,
    ) -> Refusal | None:
        """Return the refusal that ends the request, or None once the retry is due."""
        refusal = refusal_for(failure.kind, admitted.is_keyed)
        if admitted.is_keyed and failure.kind.is_owner_change:
            # Ownership is changing. Waiting for the new owner puts no load on a backend server,
            # so it needs no retry budget.
            if state.has_owner_wait_expired():
                return refusal
            state.wait_refusal = refusal
            self._wait_for_owner(lease)
            return None
        call = FailedCall(
            admitted.is_idempotent, failure.kind.is_not_run, state.failed_call_count - 1
        )
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
        """Call a target; hedge the call if it is unkeyed, idempotent and slow."""
        may_hedge = admitted.is_idempotent and not admitted.is_keyed
        delay_s = route.hedge_plan.value.delay_for(may_hedge, remaining_s)
        if delay_s is None:
            return self._call(route, admitted, destination, remaining_s)

        def find_hedge_destination() -> Destination | None:
            if not self._budget.ask(SpendRetry()):
                return None
            hedge = destination_finders.get(False)(route, admitted, (destination.server_id,))
            if isinstance(hedge, Refusal):
                return None
            self._count_retry(HEDGE_REASON)
            return hedge

        def cancel_loser(loser: Destination) -> None:
            route.balancer.tell(Done(loser.server_id, delay_s, CallOutcome.CANCELLED))
            self._upstream.cancel(admitted.request.request_id, loser)

        hedged = HedgedCall(
            lambda target: self._call(route, admitted, target, remaining_s),
            find_hedge_destination,
            cancel_loser,
        )
        return hedged.run(destination, delay_s)

    def _call(
        self,
        route: ServiceRoute,
        admitted: AdmittedRequest,
        destination: Destination,
        remaining_s: float,
    ) -> BackendResponse | UpstreamFailure:
        started_at = time.monotonic()
        result = self._upstream.send(admitted.request, destination, remaining_s)
        latency_s = time.monotonic() - started_at
        if not admitted.is_keyed:
            route.hedging.tell(CallObserved(latency_s))
        if destination.has_balancer_slot:
            outcome = CallOutcome.OK
            if isinstance(result, UpstreamFailure):
                outcome = _OUTCOME_BY_KIND[result.kind]
            route.balancer.tell(Done(destination.server_id, latency_s, outcome))
        return result

    def _wait_for_owner(self, lease: SlotLease) -> None:
        lease.release()
        gevent.sleep(OWNER_POLL_INTERVAL_S * self._random.uniform(0.5, 1.5))


class _RoutingState:
    """State of one request while it is routed."""

    def __init__(self, owner_wait_until: float) -> None:
        self._owner_wait_until = owner_wait_until
        self.tried_server_ids: tuple[str, ...] = ()
        self.may_have_run = False
        # Why the request waits for an owner. If the deadline passes during the wait, the caller
        # gets this refusal rather than DEADLINE_TOO_SHORT.
        self.wait_refusal: Refusal | None = None

    @property
    def failed_call_count(self) -> int:
        """Number of failed calls."""
        return len(self.tried_server_ids)

    def record(self, failure: UpstreamFailure) -> None:
        """Record a failed call."""
        self.tried_server_ids = (*self.tried_server_ids, failure.server_id)
        self.may_have_run = self.may_have_run or not failure.kind.is_not_run

    def final_refusal(self, refusal: Refusal) -> Refusal:
        """Return ``refusal``, or the reason for an earlier wait if ``refusal`` is an overload."""
        is_overloaded = refusal.code is RefusalCode.OVERLOADED
        return self.wait_refusal if self.wait_refusal is not None and is_overloaded else refusal

    def has_owner_wait_expired(self) -> bool:
        """Return whether the request has waited the longest time allowed for an owner."""
        return time.monotonic() >= self._owner_wait_until


def _as_outcome_unknown(refusal: Refusal) -> Refusal:
    """Return ``refusal``, or "outcome unknown" in its place if it claims "not run"."""
    if refusal.code.outcome is not Outcome.NOT_RUN:
        return refusal
    return Refusal(RefusalCode.OUTCOME_UNKNOWN, f"an earlier try may have run; {refusal.detail}")
