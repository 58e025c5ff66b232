"""Serves callers' requests: admits them, then runs them locally or forwards them to a peer."""

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
from damasktide.forwarding.router import OWNER_POLL_INTERVAL_S, OWNER_WAIT_S, Router
from damasktide.forwarding.slot_lease import SlotLease
from damasktide.idempotency.deduplication_task import Begin, DeduplicationTask, Finish
from damasktide.idempotency.placement import identity_of
from damasktide.idempotency.records import Completed, NotRun, RequestOutcome, Unknown
from damasktide.idempotency.request_history import Proceed, Replay
from damasktide.limits.messages import RefundVolume, TakeVolume
from damasktide.limits.slot_share import NO_SHARE, SlotShare
from damasktide.limits.task import LimiterTask
from damasktide.membership.instances import Instance
from damasktide.peering.client import PeerClient
from damasktide.runtime.published import Published
from damasktide.settings.model import ServiceSettings

FORWARD_KIND = "forwarding/run"

# The peer's deadline is this much earlier than the caller's. Otherwise its "not run" refusal
# would arrive too late and the caller would get "outcome unknown". Covers a round trip between
# regions.
PEER_REPLY_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class RequestServiceDependencies:
    """Tasks, snapshots and settings that :class:`RequestService` uses.

    Attributes
    ----------
    catalog
        The accepted catalog, or None if none has been accepted yet.
    service_by_name
        Settings of the services.
    route_by_service
        Objects for finding the destinations of each service.
    view
        View of the cluster from which the executor is chosen.
    shares
        This instance's share of the slots of each backend server, by server id.
    router
        Sends admitted requests to targets.
    limiter
        Task that limits volume and concurrency.
    deduplicator
        Task that keeps non-idempotent requests from running twice.
    peers
        Client for calls to other instances.
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
    dependencies
        Tasks, snapshots and settings that the service uses.
    """

    def __init__(self, dependencies: RequestServiceDependencies) -> None:
        self._dependencies = dependencies

    def handle(self, request: CallerRequest) -> BackendResponse | Refusal:
        """Return the complete response to a caller's request, or a refusal."""
        catalog = self._dependencies.catalog.value
        if catalog is None:
            detail = "this instance has no accepted configuration yet"
            return Refusal(RefusalCode.DRAINING, detail, 1)
        admitted = admit(request, catalog, self._dependencies.service_by_name)
        if isinstance(admitted, Refusal):
            return admitted
        executor_id = self._choose_executor(admitted)
        if isinstance(executor_id, Refusal):
            return executor_id
        if executor_id == self._dependencies.view.value.own.instance_id:
            return self._run_locally(admitted, counts_volume=True)
        return self._count_and_forward(admitted, executor_id)

    def handle_forwarded(self, _sender_id: str, body: bytes) -> bytes:
        """Run a request that another instance admitted, and return the encoded result."""
        admitted = codec.decode_request(body)
        return codec.encode_result(self._run_locally(admitted, counts_volume=False))

    def _choose_executor(self, admitted: AdmittedRequest) -> str | Refusal:
        view = self._dependencies.view.value
        if not admitted.is_keyed:
            return executor_of_unkeyed(view, admitted, time.monotonic())
        route = self._dependencies.route_by_service[admitted.request.service]
        wait_until = min(admitted.request.deadline, time.monotonic() + OWNER_WAIT_S)
        key_owner = owner_of_request(route, admitted)
        while isinstance(key_owner, Refusal) and key_owner.code is RefusalCode.NO_OWNER:
            if time.monotonic() >= wait_until:
                return key_owner
            time.sleep(OWNER_POLL_INTERVAL_S)
            key_owner = owner_of_request(route, admitted)
        if isinstance(key_owner, Refusal):
            return key_owner
        grants_checked = self._dependencies.service_by_name[route.service].grants_checked
        own_share = self._dependencies.shares.value.get(key_owner.owner.server_id, NO_SHARE)
        return executor_of_keyed(
            view,
            admitted,
            key_owner.owner,
            key_owner.shard,
            grants_checked,
            own_share,
            time.monotonic(),
        )

    def _count_and_forward(
        self, admitted: AdmittedRequest, instance_id: str
    ) -> BackendResponse | Refusal:
        """Count the request against the customer's volume and forward it to a peer.

        Volume is counted at the entry instance because callers' connections are spread evenly
        over all instances.
        """
        limiter = self._dependencies.limiter
        refusal: Refusal | None = limiter.ask(TakeVolume(admitted.customer))
        if refusal is not None:
            return refusal
        result = self._forward(admitted, instance_id)
        if isinstance(result, Refusal) and result.code.outcome is Outcome.NOT_RUN:
            limiter.tell(RefundVolume(admitted.customer))
        return result

    def _forward(self, admitted: AdmittedRequest, instance_id: str) -> BackendResponse | Refusal:
        peer = self._peer(instance_id)
        remaining_s = admitted.request.deadline - time.monotonic()
        if peer is None or remaining_s <= 0:
            return Refusal(RefusalCode.NO_OWNER, f"instance {instance_id} is not reachable", 1)
        body = codec.encode_request(_with_reply_margin(admitted, remaining_s))
        reply = self._dependencies.peers.call(
            peer.host, peer.peer_port, FORWARD_KIND, body, remaining_s
        )
        if isinstance(reply, Success):
            return codec.decode_result(reply.unwrap())
        error = reply.failure()
        if error.not_sent:
            detail = f"instance {instance_id} is not reachable: {error.reason}"
            return Refusal(RefusalCode.NO_OWNER, detail, 1)
        detail = f"instance {instance_id} did not answer: {error.reason}"
        return Refusal(RefusalCode.OUTCOME_UNKNOWN, detail)

    def _peer(self, instance_id: str) -> Instance | None:
        alive = self._dependencies.view.value.alive
        return next((instance for instance in alive if instance.instance_id == instance_id), None)

    def _run_locally(
        self, admitted: AdmittedRequest, counts_volume: bool
    ) -> BackendResponse | Refusal:
        if admitted.is_idempotent:
            return self._run_limited(admitted, counts_volume)
        return self._run_deduplicated(admitted, counts_volume)

    def _run_deduplicated(
        self, admitted: AdmittedRequest, counts_volume: bool
    ) -> BackendResponse | Refusal:
        """Run a non-idempotent request, unless the deduplicator replays or refuses it."""
        request = admitted.request
        identity = identity_of(
            admitted.customer,
            request.service,
            request.operation,
            request.key or "",
            request.request_id,
        )
        remaining_s = max(0.0, request.deadline - time.monotonic())
        decision = self._dependencies.deduplicator.ask(
            Begin(identity, request.attempt, remaining_s)
        )
        if isinstance(decision, Refusal):
            return decision
        if isinstance(decision, Replay):
            return _replayed_response(decision.response)
        assert isinstance(decision, Proceed)
        outcome: RequestOutcome = Unknown()
        try:
            result = self._run_limited(admitted, counts_volume)
            outcome = _outcome_of(result)
            return result
        finally:
            self._dependencies.deduplicator.tell(Finish(identity, decision.run, outcome))

    def _run_limited(
        self, admitted: AdmittedRequest, counts_volume: bool
    ) -> BackendResponse | Refusal:
        lease = SlotLease(self._dependencies.limiter, admitted, counts_volume)
        try:
            return self._dependencies.router.route(admitted, lease)
        finally:
            lease.release()


def _with_reply_margin(admitted: AdmittedRequest, remaining_s: float) -> AdmittedRequest:
    """Return the request with a deadline early enough for the peer's reply to arrive in time."""
    reply_margin_s = min(PEER_REPLY_MARGIN_S, remaining_s / 4)
    request = replace(admitted.request, deadline=admitted.request.deadline - reply_margin_s)
    return replace(admitted, request=request)


def _outcome_of(result: BackendResponse | Refusal) -> RequestOutcome:
    if isinstance(result, BackendResponse):
        return Completed(result.status, result.content_type, result.body)
    return NotRun() if result.code.outcome is Outcome.NOT_RUN else Unknown()


def _replayed_response(response: Completed) -> BackendResponse:
    return BackendResponse(response.status, response.content_type, response.body or b"", "", {})
