import unittest
from pathlib import Path
from random import Random

from damasktide.admission.refusals import RefusalCode
from damasktide.forwarding.failures import FailureKind
from damasktide.telemetry.aggregate import MAX_SAMPLES_PER_FLUSH, Aggregate
from damasktide.telemetry.metrics import (
    REQUEST_DURATION,
    REQUESTS_RECEIVED,
    UNDECLARED,
    metric_by_name,
    refusal_metric,
    retry_metric,
)
from damasktide.telemetry.reference import DEFAULT_OUTPUT, render_page

ROOT = Path(__file__).parents[6]


class MetricsTest(unittest.TestCase):
    def test_every_refusal_and_retry_reason_has_a_counter(self) -> None:
        """Guards against refusals that no metric counts."""
        names = {refusal_metric(code) for code in RefusalCode}
        names |= {retry_metric(kind.value) for kind in FailureKind}
        self.assertLessEqual(names, metric_by_name().keys())

    def test_page_is_up_to_date(self) -> None:
        """Guards against a metrics reference that differs from the code."""
        self.assertEqual((ROOT / DEFAULT_OUTPUT).read_text(encoding="utf-8"), render_page())


class AggregateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.aggregate = Aggregate(metric_by_name(), Random(1))

    def test_undeclared_name_is_not_sent(self) -> None:
        """Guards against request data that leaves its home region as part of a metric name."""
        self.aggregate.count("request.key.ondo:4711", 1)
        self.aggregate.observe("customer.anna", 1.0)
        flush = self.aggregate.flush()
        self.assertEqual(flush.amount_by_name, {UNDECLARED: 2})
        self.assertEqual(flush.samples_by_name, {})

    def test_flush_resets_the_counters(self) -> None:
        """Guards against counts that are sent twice."""
        self.aggregate.count(REQUESTS_RECEIVED, 2)
        self.aggregate.count(REQUESTS_RECEIVED, 3)
        self.assertEqual(self.aggregate.flush().amount_by_name, {REQUESTS_RECEIVED: 5})
        self.assertEqual(self.aggregate.flush().amount_by_name, {})

    def test_sample_is_bounded_and_covers_the_whole_second(self) -> None:
        """Guards against a sample of only the first requests of a second."""
        for value in range(2000):
            self.aggregate.observe(REQUEST_DURATION, float(value))
        samples = self.aggregate.flush().samples_by_name[REQUEST_DURATION]
        self.assertEqual(len(samples), MAX_SAMPLES_PER_FLUSH)
        self.assertAlmostEqual(sum(samples) / len(samples), 1000, delta=300)


if __name__ == "__main__":
    unittest.main()
