"""A link between regions that downloads fill: late grants and the keys they hold."""

import unittest

from damasktide.keyspace.path_delay import (
    FULL_LINK_ARRIVAL_S,
    LAST_ARRIVAL_S,
    QUEUED_ANSWER_S,
    REMEMBERED_S,
    PathDelay,
)

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


class TestPathDelay(unittest.TestCase):
    def setUp(self) -> None:
        self.paths = PathDelay(REGIONS)

    def test_late_answers_show_a_full_link(self) -> None:
        """Guards against two owners when a grant arrives 1.4 s after it was given up."""
        self.paths.answered(10.0, "a1", QUEUED_ANSWER_S)
        self.assertEqual(self.paths.last_arrival_s(12.0, "a2"), FULL_LINK_ARRIVAL_S)

    def test_silence_alone_shows_none(self) -> None:
        """Guards against keys of a domain without power waiting longer than needed."""
        self.paths.answered(10.0, "a1", 0.06)
        self.assertEqual(self.paths.last_arrival_s(10.5, "a1"), LAST_ARRIVAL_S)

    def test_other_regions_are_not_concerned(self) -> None:
        self.paths.answered(10.0, "a1", QUEUED_ANSWER_S)
        self.assertEqual(self.paths.last_arrival_s(10.5, "b1"), LAST_ARRIVAL_S)

    def test_it_is_remembered_until_the_last_hold_has_run_out(self) -> None:
        self.paths.answered(10.0, "a1", 0.6)
        late = 10.0 + REMEMBERED_S
        self.assertEqual(self.paths.last_arrival_s(late, "a1"), FULL_LINK_ARRIVAL_S)
        self.assertEqual(self.paths.last_arrival_s(late + 0.1, "a1"), LAST_ARRIVAL_S)
