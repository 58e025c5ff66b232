"""Counters, latency histograms and log lines of the gateway."""

from time import monotonic

from loguru import logger
from prometheus_client import CollectorRegistry, Counter, Histogram

from damasktide.gateway.admission import GatewayRequest
from damasktide.gateway.call import TargetResponse
from damasktide.gateway.refusals import Refusal

# Upper bounds of the latency histogram in seconds.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
# One of this many ordinary answers is logged.
ANSWERS_PER_LINE = 50
# Refusals of one reason that are logged in a second; the others are only counted.
REFUSAL_LINES_PER_S = 20


class LineBudget:
    """Bounds the log lines of each kind in a second."""

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines_by_kind: dict[str, int] = {}

    def allows(self, now: float, kind: str) -> bool:
        """Return whether one more line of ``kind`` may be written in this second."""
        if int(now) != self._second:
            self._second = int(now)
            self._lines_by_kind.clear()
        lines = self._lines_by_kind.get(kind, 0)
        self._lines_by_kind[kind] = lines + 1
        return lines < self._lines_per_s


class GatewayTelemetry:
    """Counts and logs how requests end.

    Parameters
    ----------
    registry
        Registry whose metrics are served.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._answers = Counter(
            "damasktide_answers", "Answers of targets.", ("status_class",), registry=registry
        )
        self._refusals = Counter(
            "damasktide_refusals", "Answers of the gateway.", ("reason",), registry=registry
        )
        self._broken_off = Counter(
            "damasktide_broken_off", "Responses cut after their head.", registry=registry
        )
        self._left = Counter(
            "damasktide_callers_left", "Callers that left before the answer.", registry=registry
        )
        self._latency = Histogram(
            "damasktide_answer_seconds",
            "Time from the request's head to the end of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._budget = LineBudget(REFUSAL_LINES_PER_S)
        self._answered = 0

    def answered(self, request: GatewayRequest, answer: TargetResponse) -> None:
        """Take in an answer that went to the caller."""
        duration_s = monotonic() - request.received_at
        status = answer.head.status
        self._latency.observe(duration_s)
        self._answers.labels(f"{status // 100}xx").inc()
        self._answered += 1
        is_ordinary = status < 400 and duration_s <= request.route.objective_s
        if is_ordinary and self._answered % ANSWERS_PER_LINE:
            return
        if is_ordinary or self._budget.allows(monotonic(), "answered"):
            logger.bind(
                **_facts(request),
                reason="answered",
                status=status,
                duration_s=round(duration_s, 4),
            ).info("answered")

    def refused(
        self, request_id: bytes | None, request: GatewayRequest | None, refusal: Refusal
    ) -> None:
        """Take in an answer of the gateway's own."""
        self._refusals.labels(refusal.reason.value).inc()
        if not self._budget.allows(monotonic(), refusal.reason.value):
            return
        metadata = _facts(request) if request is not None else {"request_id": _text(request_id)}
        logger.bind(
            **metadata,
            reason=refusal.reason.value,
            status=refusal.status,
            retry_after_s=refusal.retry_after_s,
        ).info("refused: {}", refusal.detail)

    def broken_off(self, request: GatewayRequest, cause: str) -> None:
        """Take in a response that was cut after its head."""
        self._broken_off.inc()
        if self._budget.allows(monotonic(), "broken_off"):
            logger.bind(**_facts(request), reason="broken_off").warning("broken off: {}", cause)

    def caller_left(self, request: GatewayRequest) -> None:
        """Take in a caller that left before its answer."""
        self._left.inc()
        if self._budget.allows(monotonic(), "caller_left"):
            logger.bind(**_facts(request), reason="caller_left").info("caller left")


def _facts(request: GatewayRequest) -> dict[str, object]:
    return {
        "request_id": _text(request.metadata.request_id),
        "route": request.route.name,
        "service": request.service.name,
        "waited_s": round(monotonic() - request.received_at, 4),
    }


def _text(request_id: bytes | None) -> str | None:
    return request_id.decode("latin-1") if request_id is not None else None
