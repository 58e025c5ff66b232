import unittest

from damasktide.ownership.tests.fixtures import (
    TICK_S,
    confirm,
    decisions,
    first_map,
    granted,
    reply,
)


class GrantTest(unittest.TestCase):
    def test_restarted_server_needs_table_news(self) -> None:
        """Guards against a grant of an old version to a server that lost its fence.

        The server was fenced by a newer version, which its restart has erased. A quorum that
        does not know the newer version still confirms the old one.
        """
        subject = decisions("a1", "a2", "b1", "b2")
        subject.on_table_read(first_map(), 0.0, 0.0)
        list(subject.on_tick(0.0))
        subject.on_server_reply("old", reply(boot=2, version=0), 0.6)
        list(subject.on_tick(0.6))
        for peer in ("a2", "b1", "b2"):
            subject.on_confirm_reply(confirm(peer), 0.6)
        self.assertGreater(subject.right_valid_until("a"), 0.7)
        self.assertFalse(granted(list(subject.on_tick(0.7))))
        subject.on_table_read(first_map(), 0.7, 0.71)
        self.assertTrue(granted(list(subject.on_tick(0.71 + TICK_S))))

    def test_server_that_kept_its_fence_needs_no_table(self) -> None:
        """Guards against an outage of the table that stops servers which still run."""
        subject = decisions("a1", "a2", "b1", "b2")
        subject.on_table_read(first_map(), 0.0, 0.0)
        list(subject.on_tick(0.0))
        subject.on_server_reply("old", reply(version=1), 0.6)
        list(subject.on_tick(0.6))
        for peer in ("a2", "b1", "b2"):
            subject.on_confirm_reply(confirm(peer), 0.6)
        self.assertTrue(granted(list(subject.on_tick(0.7))))
