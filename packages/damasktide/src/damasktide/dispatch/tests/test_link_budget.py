"""Downloads that would fill the link of a small machine."""

import unittest

from damasktide.dispatch.link_budget import LONGEST_BACKLOG_S, USABLE_PART, LinkBudget

LINK_MBPS = 10.0
DOWNLOAD_BYTES = 90_000


class TestLinkBudget(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = LinkBudget(LINK_MBPS)
        self.budget.learn("pull", DOWNLOAD_BYTES)
        self.budget.learn("read", 1_500)

    def test_burst_of_downloads_is_refused_before_the_link_is_full(self) -> None:
        """Guards against control traffic that waits seconds behind downloads."""
        admitted = sum(self.budget.reserve(1.0, "pull") == 0.0 for _ in range(50))
        seconds = admitted * DOWNLOAD_BYTES * 8 / (LINK_MBPS * 1e6 * USABLE_PART)
        self.assertLessEqual(seconds, LONGEST_BACKLOG_S + 0.1)
        self.assertGreaterEqual(admitted, 2)

    def test_refused_caller_is_told_when_the_link_is_free(self) -> None:
        while (wait_s := self.budget.reserve(1.0, "pull")) == 0.0:
            pass
        self.assertEqual(self.budget.reserve(1.0 + wait_s, "pull"), 0.0)

    def test_steady_downloads_within_the_link_pass(self) -> None:
        per_s = int(LINK_MBPS * 1e6 * USABLE_PART / 8 / DOWNLOAD_BYTES)
        refused = sum(
            self.budget.reserve(step / per_s, "pull") > 0.0 for step in range(20 * per_s)
        )
        self.assertEqual(refused, 0)

    def test_short_responses_are_never_refused(self) -> None:
        self.assertTrue(all(self.budget.reserve(1.0, "read") == 0.0 for _ in range(1_000)))

    def test_unknown_link_refuses_nothing(self) -> None:
        budget = LinkBudget(0.0)
        budget.learn("pull", DOWNLOAD_BYTES)
        self.assertTrue(all(budget.reserve(1.0, "pull") == 0.0 for _ in range(1_000)))
