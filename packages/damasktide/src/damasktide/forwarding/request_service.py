"""Serves a caller's request: admit, choose the executor, run here or at a peer."""

import time
from collections.abc import Mapping
from dataclasses import dataclass, replace

from returns.result import Success

from damasktide.admission.checks import admit
from damasktide.admission.refusals import Outcome, Refusal, RefusalCode
from damasktide.admission.request import AdmittedRequest, BackendResponse, CallerRequest
from damasktide.catalog.lists import Catalog
from damasktide.forwarding import codec
from damasktide.forwarding.destinations import ServiceRoute, owner_of_request
from damasktide.forwarding.execution import (
    ExecutionView,
    executor_of_keyed,
    executor_of_unkeyed,
)
from damasktide.forwarding.router import OWNER_POLL_S, OWNER_WAIT_S, Router
from damasktide.forwarding.slot_lease import SlotLease
from damasktide.idempotency.deduplication_task import Begin, DeduplicationTask, Finish
from damasktide.idempotency.placement import identity_of
from damasktide.idempotency.records import Completed, NotRun, RequestOutcome, Unknown
from damasktide.idempotency.request_history import Proceed, Replay
from damasktide.limits.messages import RefundVolume, TakeVolume
from damasktide.limits.slot_share import NOTHING, SlotShare
from damasktide.limits.task import LimiterTask
from damasktide.membership.instances import Instance
from damasktide.peering.client import PeerClient
from damasktide.runtime.published import Published
from damasktide.settings.model import ServiceSettings

FORWARD_KIND = "forwarding/run"

# The peer gives up this much earlier, or its refusal "not run" would arrive too late and the
# caller would be told that the outcome is unknown. It covers a round trip between regions.
PEER_REPLY_S = 0.1


@dataclass(frozen=True, slots=True)
class ServiceParts:
    """What serving a request needs.

    Attributes
    ----------
    catalog
        The accepted lists, or None before the first.
    service_by_name
        Settings of the services.
    route_by_service
        What is needed to find destinations.
    view
        What the choice of the executor depends on.
    shares
        This instance's share of the slots of each backend server.
    router, limiter, gatekeeper, peers
        The parts that do the work.
    """

    catalog: Published[Catalog | None]
    service_by_name: Mapping[str, ServiceSettings]
    route_by_service: Mapping[str, ServiceRoute]
    view: Published[ExecutionView]
    shares: Published[Mapping[str, SlotShare]]
    router: Router
    limiter: LimiterTask
    deduplicator: DeduplicationTask
    peers: PeerClient


class RequestService:
    """Serves requests of callers and of other instances.

    Parameters
    ----------
    parts
        What it works with.
    """

    def __init__(self, parts: ServiceParts) -> None:
        self._parts = parts

    def handle(self, request: CallerRequest) -> BackendResponse | Refusal:
        """Return the whole response to a caller's request, or a refusal."""
        catalog = self._parts.catalog.value
        if catalog is None:
            detail = "this instance has no accepted configuration yet"
            return Refusal(RefusalCode.DRAINING, detail, 1)
        admitted = admit(request, catalog, self._parts.service_by_name)
        if isinstance(admitted, Refusal):
            return admitted
        executor_id = self._choose_executor(admitted)
        if isinstance(executor_id, Refusal):
            return executor_id
        if executor_id == self._parts.view.value.own.instance_id:
            return self._run_here(admitted, counts_volume=True)
        return self._run_counted_at_peer(admitted, executor_id)

    def handle_forwarded(self, _sender_id: str, body: bytes) -> bytes:
        """Run a request that another instance admitted."""
        admitted = codec.decode_request(body)
        return codec.encode_result(self._run_here(admitted, counts_volume=False))

    def _choose_executor(self, admitted: AdmittedRequest) -> str | Refusal:
        view = self._parts.view.value
        if not admitted.is_keyed:
            return executor_of_unkeyed(view, admitted, time.monotonic())
        route = self._parts.route_by_service[admitted.request.service]
        wait_until = min(admitted.request.deadline, time.monotonic() + OWNER_WAIT_S)
        found = owner_of_request(route, admitted)
        while isinstance(found, Refusal) and found.code is RefusalCode.NO_OWNER:
            if time.monotonic() >= wait_until:
                return found
            time.sleep(OWNER_POLL_S)
            found = owner_of_request(route, admitted)
        if isinstance(found, Refusal):
            return found
        grants_checked = self._parts.service_by_name[route.service].grants_checked
        own_share = self._parts.shares.value.get(found.owner.server_id, NOTHING)
        return executor_of_keyed(
            view,
            admitted,
            found.owner,
            found.shard,
            grants_checked,
            own_share,
            time.monotonic(),
        )

    def _run_counted_at_peer(
        self, admitted: AdmittedRequest, instance_id: str
    ) -> BackendResponse | Refusal:
        """Count the request here, because callers reach all instances alike, and forward it."""
        limiter = self._parts.limiter
        refusal: Refusal | None = limiter.ask(TakeVolume(admitted.customer))
        if refusal is not None:
            return refusal
        result = self._run_at_peer(admitted, instance_id)
        if isinstance(result, Refusal) and result.code.outcome is Outcome.NOT_RUN:
            limiter.tell(RefundVolume(admitted.customer))
        return result

    def _run_at_peer(
        self, admitted: AdmittedRequest, instance_id: str
    ) -> BackendResponse | Refusal:
        peer = self._peer(instance_id)
        remaining_s = admitted.request.deadline - time.monotonic()
        if peer is None or remaining_s <= 0:
            return Refusal(RefusalCode.NO_OWNER, f"instance {instance_id} is not reachable", 1)
        body = codec.encode_request(_with_time_to_reply(admitted, remaining_s))
        reply = self._parts.peers.call(peer.host, peer.peer_port, FORWARD_KIND, body, remaining_s)
        if isinstance(reply, Success):
            return codec.decode_result(reply.unwrap())
        error = reply.failure()
        if error.not_sent:
            detail = f"instance {instance_id} is not reachable: {error.reason}"
            return Refusal(RefusalCode.NO_OWNER, detail, 1)
        detail = f"instance {instance_id} did not answer: {error.reason}"
        return Refusal(RefusalCode.OUTCOME_UNKNOWN, detail)

    def _peer(self, instance_id: str) -> Instance | None:
        alive = self._parts.view.value.alive
        return next((item for item in alive if item.instance_id == instance_id), None)

    def _run_here(
        self, admitted: AdmittedRequest, counts_volume: bool
    ) -> BackendResponse | Refusal:
        if admitted.is_idempotent:
            return self._run_limited(admitted, counts_volume)
        return self._run_once(admitted, counts_volume)

    def _run_once(
        self, admitted: AdmittedRequest, counts_volume: bool
    ) -> BackendResponse | Refusal:
        """Run a request that must not run twice, unless its record says otherwise."""
        request = admitted.request
        identity = identity_of(
            admitted.customer,
            request.service,
            request.operation,
            request.key or "",
            request.request_id,
        )
        remaining_s = max(0.0, request.deadline - time.monotonic())
        decision = self._parts.deduplicator.ask(Begin(identity, request.attempt, remaining_s))
        if isinstance(decision, Refusal):
            return decision
        if isinstance(decision, Replay):
            return _replayed(decision.response)
        assert isinstance(decision, Proceed)
        outcome: RequestOutcome = Unknown()
        try:
            result = self._run_limited(admitted, counts_volume)
            outcome = _outcome_of(result)
            return result
        finally:
            self._parts.deduplicator.tell(Finish(identity, decision.run, outcome))

    def _run_limited(
        self, admitted: AdmittedRequest, counts_volume: bool
    ) -> BackendResponse | Refusal:
        lease = SlotLease(self._parts.limiter, admitted, counts_volume)
        try:
            return self._parts.router.route(admitted, lease)
        finally:
            lease.release()


def _with_time_to_reply(admitted: AdmittedRequest, remaining_s: float) -> AdmittedRequest:
    """Return the request with a deadline that leaves the peer time to reply."""
    reply_s = min(PEER_REPLY_S, remaining_s / 4)
    request = replace(admitted.request, deadline=admitted.request.deadline - reply_s)
    return replace(admitted, request=request)


def _outcome_of(result: BackendResponse | Refusal) -> RequestOutcome:
    if isinstance(result, BackendResponse):
        return Completed(result.status, result.content_type, result.body)
    return NotRun() if result.code.outcome is Outcome.NOT_RUN else Unknown()


def _replayed(response: Completed) -> BackendResponse:
    return BackendResponse(response.status, response.content_type, response.body or b"", "", {})
