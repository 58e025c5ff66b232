"""Counts and times requests, and refuses them while the instance drains."""

import time
from collections.abc import Callable

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.admission.request import BackendResponse, CallerRequest
from damasktide.forwarding import codec
from damasktide.forwarding.request_service import RequestService
from damasktide.lifecycle.state import LifecycleSnapshot
from damasktide.lifecycle.task import LifecycleTask, RequestFinished, RequestStarted
from damasktide.runtime.published import Published
from damasktide.telemetry.metrics import (
    REQUEST_DURATION,
    REQUESTS_ANSWERED,
    REQUESTS_RECEIVED,
    refusal_metric,
)
from damasktide.telemetry.task import Count, Observe


class RequestGate:
    """Wraps the request service: records metrics, and refuses requests while the instance drains.

    Parameters
    ----------
    requests
        Service that handles the requests.
    lifecycle
        Task that counts the requests in flight.
    snapshot
        Lifecycle state of the instance.
    record_metric
        Called with :class:`Count` and :class:`Observe` messages.
    """

    def __init__(
        self,
        requests: RequestService,
        lifecycle: LifecycleTask,
        snapshot: Published[LifecycleSnapshot],
        record_metric: Callable[[object], None],
    ) -> None:
        self._requests = requests
        self._lifecycle = lifecycle
        self._snapshot = snapshot
        self._record_metric = record_metric

    def handle(self, request: CallerRequest) -> BackendResponse | Refusal:
        """Serve a caller's request."""
        started_at = time.monotonic()
        self._record_metric(Count(REQUESTS_RECEIVED))
        result = self._handle(request)
        if isinstance(result, Refusal):
            self.count_refusal(result)
        else:
            self._record_metric(Count(REQUESTS_ANSWERED))
        self._record_metric(Observe(REQUEST_DURATION, (time.monotonic() - started_at) * 1000))
        return result

    def handle_forwarded(self, sender_id: str, body: bytes) -> bytes:
        """Serve a request that another instance has admitted and forwarded."""
        if not self._snapshot.value.accepts_requests:
            return codec.encode_result(self._draining_refusal())
        self._lifecycle.tell(RequestStarted())
        try:
            return self._requests.handle_forwarded(sender_id, body)
        finally:
            self._lifecycle.tell(RequestFinished())

    def _draining_refusal(self) -> Refusal:
        phase = self._snapshot.value.phase.value
        return Refusal(RefusalCode.DRAINING, f"this instance is {phase}", 1)

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal by its code."""
        self._record_metric(Count(refusal_metric(refusal.code)))

    def _handle(self, request: CallerRequest) -> BackendResponse | Refusal:
        if not self._snapshot.value.accepts_requests:
            return self._draining_refusal()
        self._lifecycle.tell(RequestStarted())
        try:
            return self._requests.handle(request)
        finally:
            self._lifecycle.tell(RequestFinished())
