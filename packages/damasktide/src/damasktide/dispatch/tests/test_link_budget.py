"""Limiting of downloads that would saturate the link of a small machine."""

import unittest

from damasktide.dispatch.link_budget import MAX_BACKLOG_S, USABLE_FRACTION, LinkBudget

LINK_MBPS = 10.0
DOWNLOAD_BYTES = 90_000


class TestLinkBudget(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = LinkBudget(LINK_MBPS)
        self.budget.learn("pull", DOWNLOAD_BYTES)
        self.budget.learn("read", 1_500)

    def test_burst_of_downloads_is_refused_before_the_link_is_saturated(self) -> None:
        """Guards against control traffic queued behind downloads for seconds."""
        admitted = sum(self.budget.reserve(1.0, "pull") == 0.0 for _ in range(50))
        seconds = admitted * DOWNLOAD_BYTES * 8 / (LINK_MBPS * 1e6 * USABLE_FRACTION)
        self.assertLessEqual(seconds, MAX_BACKLOG_S + 0.1)
        self.assertGreaterEqual(admitted, 2)

    def test_refusal_reports_when_the_link_is_free(self) -> None:
        while (wait_s := self.budget.reserve(1.0, "pull")) == 0.0:
            pass
        self.assertEqual(self.budget.reserve(1.0 + wait_s, "pull"), 0.0)

    def test_steady_downloads_within_the_bandwidth_are_admitted(self) -> None:
        per_s = int(LINK_MBPS * 1e6 * USABLE_FRACTION / 8 / DOWNLOAD_BYTES)
        refused = sum(
            self.budget.reserve(step / per_s, "pull") > 0.0 for step in range(20 * per_s)
        )
        self.assertEqual(refused, 0)

    def test_short_responses_are_never_refused(self) -> None:
        self.assertTrue(all(self.budget.reserve(1.0, "read") == 0.0 for _ in range(1_000)))

    def test_nothing_is_refused_if_the_bandwidth_is_unknown(self) -> None:
        budget = LinkBudget(0.0)
        budget.learn("pull", DOWNLOAD_BYTES)
        self.assertTrue(all(budget.reserve(1.0, "pull") == 0.0 for _ in range(1_000)))
