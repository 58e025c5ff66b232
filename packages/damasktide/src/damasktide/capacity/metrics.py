"""Metrics of the learned capacity of targets."""

from collections.abc import Callable, Iterable

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from damasktide.dispatch.load_estimate import LoadEstimate


class CapacityCollector(Collector):
    """Provides the learned capacity of each target when the metrics are read.

    Parameters
    ----------
    estimates
        Returns the estimates of the dispatcher.
    """

    def __init__(self, estimates: Callable[[], Iterable[LoadEstimate]]) -> None:
        self._estimates = estimates

    def collect(self) -> Iterable[GaugeMetricFamily]:
        """Return the metrics."""
        labels = ("service", "target")
        ratio = GaugeMetricFamily(
            "damasktide_target_duration_ratio",
            "Duration of calls relative to the typical call.",
            labels=labels,
        )
        limit = GaugeMetricFamily(
            "damasktide_target_limit",
            "Concurrent calls that the target handles well.",
            labels=labels,
        )
        for estimate in self._estimates():
            values = (estimate.entry.service, estimate.entry.target_id)
            ratio.add_metric(values, estimate.duration_ratio)
            limit.add_metric(values, estimate.capacity)
        return ratio, limit
