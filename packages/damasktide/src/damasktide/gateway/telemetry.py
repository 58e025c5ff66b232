"""Counters, latency histograms and log lines of the gateway."""

from time import monotonic

from loguru import logger
from prometheus_client import CollectorRegistry, Counter, Histogram

from damasktide.gateway.call import TargetResponse
from damasktide.gateway.pipeline_order import Verdict
from damasktide.gateway.refusals import Refusal
from damasktide.gateway.request import GatewayRequest

# Upper bounds of the latency histogram in seconds.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
# About one in this many successful responses within the objective is logged.
RESPONSES_PER_LOG_LINE = 50
# Limit for each refusal reason and each other kind of log line; further events are only counted.
MAX_LOG_LINES_PER_KIND_PER_S = 20


class LogRateLimiter:
    """Limits the number of log lines of each kind per second."""

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines_by_kind: dict[str, int] = {}

    def allows(self, now: float, kind: str) -> bool:
        """Return whether another line of ``kind`` may be written in the current second."""
        if int(now) != self._second:
            self._second = int(now)
            self._lines_by_kind.clear()
        lines = self._lines_by_kind.get(kind, 0)
        self._lines_by_kind[kind] = lines + 1
        return lines < self._lines_per_s


class GatewayTelemetry:
    """Counts and logs the outcomes of requests.

    Parameters
    ----------
    registry
        Registry in which the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._responses = Counter(
            "damasktide_answers", "Answers of targets.", ("status_class",), registry=registry
        )
        self._refusals = Counter(
            "damasktide_refusals", "Answers of the gateway.", ("reason",), registry=registry
        )
        self._truncated_responses = Counter(
            "damasktide_broken_off", "Responses cut after their head.", registry=registry
        )
        self._unsent_responses = Counter(
            "damasktide_unsent_responses",
            "Responses lost before a part of them was sent.",
            registry=registry,
        )
        self._disconnects = Counter(
            "damasktide_callers_left", "Callers that left before the answer.", registry=registry
        )
        self._pipelined_requests = Counter(
            "damasktide_pipelined_requests",
            "Requests started while an earlier one of their connection was unanswered.",
            registry=registry,
        )
        self._pipeline_bounds = Counter(
            "damasktide_pipeline_bounds",
            "Times when a bound kept a pipelined request from being started.",
            ("bound",),
            registry=registry,
        )
        self._latency_s = Histogram(
            "damasktide_answer_seconds",
            "Time from the request's head to the end of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._log_limiter = LogRateLimiter(MAX_LOG_LINES_PER_KIND_PER_S)
        self._response_count = 0

    def record_response(self, request: GatewayRequest, response: TargetResponse) -> None:
        """Record a target's response that was sent to the caller."""
        duration_s = monotonic() - request.received_at
        status = response.head.status
        self._latency_s.observe(duration_s)
        self._responses.labels(f"{status // 100}xx").inc()
        self._response_count += 1
        is_ordinary = status < 400 and duration_s <= request.route.objective_s
        if is_ordinary and self._response_count % RESPONSES_PER_LOG_LINE:
            return
        if is_ordinary or self._log_limiter.allows(monotonic(), "answered"):
            logger.bind(
                **_request_fields(request),
                reason="answered",
                status=status,
                duration_s=round(duration_s, 4),
            ).info("response sent")

    def record_refusal(
        self, request_id: bytes | None, request: GatewayRequest | None, refusal: Refusal
    ) -> None:
        """Record a refusal."""
        self._refusals.labels(refusal.reason.value).inc()
        if not self._log_limiter.allows(monotonic(), refusal.reason.value):
            return
        metadata = (
            _request_fields(request)
            if request is not None
            else {"request_id": _decode_request_id(request_id)}
        )
        logger.bind(
            **metadata,
            reason=refusal.reason.value,
            status=refusal.status,
            retry_after_s=refusal.retry_after_s,
        ).info("refused: {}", refusal.detail)

    def record_truncated_response(self, request: GatewayRequest, cause: str) -> None:
        """Record a response that was truncated after its head had been sent."""
        self._truncated_responses.inc()
        if self._log_limiter.allows(monotonic(), "broken_off"):
            logger.bind(**_request_fields(request), reason="broken_off").warning(
                "response truncated: {}", cause
            )

    def record_unsent_response(self, request: GatewayRequest, cause: str) -> None:
        """Record a response that was lost before a part of it was sent to the caller."""
        self._unsent_responses.inc()
        if self._log_limiter.allows(monotonic(), "response_lost"):
            logger.bind(**_request_fields(request), reason="response_lost").info(
                "response lost before it was sent: {}", cause
            )

    def record_pipelined(self) -> None:
        """Record the start of a request behind an unanswered one."""
        self._pipelined_requests.inc()

    def record_pipeline_bound(self, bound: Verdict) -> None:
        """Record that a bound kept a pipelined request from being started."""
        self._pipeline_bounds.labels(bound.value).inc()

    def record_disconnect(self, request: GatewayRequest) -> None:
        """Record a caller that disconnected before its response."""
        self._disconnects.inc()
        if self._log_limiter.allows(monotonic(), "caller_left"):
            logger.bind(**_request_fields(request), reason="caller_left").info(
                "caller disconnected before the response"
            )


def _request_fields(request: GatewayRequest) -> dict[str, object]:
    return {
        "request_id": _decode_request_id(request.metadata.request_id),
        "route": request.route.name,
        "service": request.service.name,
        "waited_s": round(monotonic() - request.received_at, 4),
    }


def _decode_request_id(request_id: bytes | None) -> str | None:
    return request_id.decode("latin-1") if request_id is not None else None
