"""Routes one admitted request: find a destination, call it, decide on retries."""

import time
from collections.abc import Callable, Mapping
from random import Random

import gevent

from damasktide.admission.refusals import Outcome, Refusal, RefusalCode
from damasktide.admission.request import AdmittedRequest, Answer
from damasktide.balancing.messages import CallOutcome, Done
from damasktide.forwarding.destinations import ServiceRoute, destination_finders
from damasktide.forwarding.retry_decision import TryAgain, after_failure, refusal_for
from damasktide.forwarding.upstream import Destination, FailureKind, Upstream, UpstreamFailure

# An owner that was lost is replaced within 2 s, so a keyed request waits at most that long.
OWNER_WAIT_S = 2.0
OWNER_POLL_S = 0.05

_OUTCOME_BY_KIND = {
    FailureKind.NOT_CONNECTED: CallOutcome.RESET,
    FailureKind.NOT_OWNER: CallOutcome.FAILED,
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
    count
        Counts a retry reason.
    """

    def __init__(
        self,
        route_by_service: Mapping[str, ServiceRoute],
        upstream: Upstream,
        count: Callable[[str], None],
    ) -> None:
        self._route_by_service = route_by_service
        self._upstream = upstream
        self._count = count
        self._random = Random()

    def route(self, admitted: AdmittedRequest) -> Answer | Refusal:
        """Return the whole response to the request, or a refusal."""
        tries = _Tries(min(admitted.request.deadline, time.monotonic() + OWNER_WAIT_S))
        result = self._run(admitted, tries)
        if isinstance(result, Refusal) and tries.may_have_run:
            return _without_not_run(result)
        return result

    def _run(self, admitted: AdmittedRequest, tries: "_Tries") -> Answer | Refusal:
        route = self._route_by_service[admitted.request.service]
        find = destination_finders.get(admitted.is_keyed)
        while True:
            remaining_s = admitted.request.deadline - time.monotonic()
            if remaining_s <= 0:
                return Refusal(RefusalCode.DEADLINE_TOO_SHORT, "the deadline has passed")
            destination = find(route, admitted, tries.server_ids)
            if isinstance(destination, Refusal):
                if destination.code is not RefusalCode.NO_OWNER or tries.is_owner_overdue():
                    return destination
                self._pause()
                continue
            result = self._call(route, admitted, destination, remaining_s)
            if isinstance(result, Answer):
                return result
            tries.record(result)
            decision = self._decide(admitted, result)
            if isinstance(decision, Refusal):
                return decision
            if admitted.is_keyed and tries.is_owner_overdue():
                return refusal_for(result.kind, is_keyed=True)
            self._count(decision.reason.value)
            self._pause()

    def _decide(self, admitted: AdmittedRequest, failure: UpstreamFailure) -> TryAgain | Refusal:
        remaining_s = admitted.request.deadline - time.monotonic()
        return after_failure(failure.kind, admitted.is_idempotent, admitted.is_keyed, remaining_s)

    def _call(
        self,
        route: ServiceRoute,
        admitted: AdmittedRequest,
        destination: Destination,
        remaining_s: float,
    ) -> Answer | UpstreamFailure:
        started = time.monotonic()
        result = self._upstream.send(admitted.request, destination, remaining_s)
        if not admitted.is_keyed:
            is_answer = isinstance(result, Answer)
            outcome = CallOutcome.OK if is_answer else _OUTCOME_BY_KIND[result.kind]  # type: ignore[union-attr]
            latency_s = time.monotonic() - started
            route.balancer.tell(Done(destination.server_id, latency_s, outcome))
        return result

    def _pause(self) -> None:
        gevent.sleep(OWNER_POLL_S * self._random.uniform(0.5, 1.5))


class _Tries:
    """What one request has tried so far."""

    def __init__(self, wait_until: float) -> None:
        self._wait_until = wait_until
        self.server_ids: tuple[str, ...] = ()
        self.may_have_run = False

    def record(self, failure: UpstreamFailure) -> None:
        """Take account of a failed call."""
        self.server_ids = (*self.server_ids, failure.server_id)
        self.may_have_run = self.may_have_run or not failure.kind.is_not_run

    def is_owner_overdue(self) -> bool:
        """Return whether the time to wait for an owner is over."""
        return time.monotonic() >= self._wait_until


def _without_not_run(refusal: Refusal) -> Refusal:
    """Return a refusal that does not claim "not run" after an earlier try may have run."""
    if refusal.code.outcome is not Outcome.NOT_RUN:
        return refusal
    return Refusal(RefusalCode.OUTCOME_UNKNOWN, f"an earlier try may have run; {refusal.detail}")
