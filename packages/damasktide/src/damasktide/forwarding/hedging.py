"""Determines the delay after which a slow call is hedged with a second call."""

from collections.abc import Callable
from dataclasses import dataclass

from damasktide.limits.quantile import QuantileEstimate
from damasktide.runtime.task import Task, TaskFailed, handles

HEDGE_QUANTILE = 0.95
MIN_SAMPLES = 50
MAX_SLOW_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class CallObserved:
    """Reports that the first call of a request ended or was cancelled.

    Attributes
    ----------
    latency_s
        Seconds from sending to the end. For a call that was cancelled because its hedge won,
        seconds from sending to the cancellation, which exceed the hedging delay.
    """

    latency_s: float


@dataclass(frozen=True, slots=True)
class SlowTargets:
    """Reports the fraction of targets that are slow, from the balancer's status."""

    fraction: float


@dataclass(frozen=True, slots=True)
class HedgePlan:
    """Hedging delay, published as a snapshot for request handlers.

    Attributes
    ----------
    delay_s
        Seconds after which a hedge may be sent, or None while hedging is disabled.
    """

    delay_s: float | None = None

    def delay_for(self, may_hedge: bool, remaining_s: float) -> float | None:
        """Return the seconds after which to hedge one request, or None for no hedge.

        When the hedge is due, it still needs permission from the retry budget and a target
        other than the first one.
        """
        if not may_hedge or self.delay_s is None or self.delay_s >= remaining_s:
            return None
        return self.delay_s


class Hedging:
    """Estimates the hedging delay of one service from its call latencies.

    Hedging is disabled while more than half of the targets are slow, because hedges would then
    only add load.
    """

    def __init__(self) -> None:
        self._p95 = QuantileEstimate(HEDGE_QUANTILE)
        self._slow_fraction = 0.0

    def observe(self, latency_s: float) -> None:
        """Record the latency of a first call."""
        self._p95.add(latency_s)

    def set_slow_fraction(self, fraction: float) -> None:
        """Record the fraction of targets that are slow."""
        self._slow_fraction = fraction

    def plan(self) -> HedgePlan:
        """Return the current plan."""
        if self._p95.count < MIN_SAMPLES or self._slow_fraction > MAX_SLOW_FRACTION:
            return HedgePlan(None)
        return HedgePlan(self._p95.value)


class HedgingTask(Task):
    """Owns the :class:`Hedging` of one service and publishes its plan.

    Parameters
    ----------
    service
        The service.
    on_plan
        Called with the plan whenever it changes; it must not block.
    on_failure
        Called when a handler raises outside an ``ask``.
    """

    def __init__(
        self,
        service: str,
        on_plan: Callable[[HedgePlan], None],
        on_failure: Callable[[TaskFailed], None] | None = None,
    ) -> None:
        super().__init__(f"hedging-{service}", on_failure)
        self._on_plan = on_plan
        self._hedging = Hedging()
        self._published = HedgePlan()

    @handles(CallObserved)
    def _observe(self, message: CallObserved) -> None:
        self._hedging.observe(message.latency_s)
        self._publish()

    @handles(SlowTargets)
    def _set_slow_fraction(self, message: SlowTargets) -> None:
        self._hedging.set_slow_fraction(message.fraction)
        self._publish()

    def _publish(self) -> None:
        plan = self._hedging.plan()
        if plan != self._published:
            self._published = plan
            self._on_plan(plan)
