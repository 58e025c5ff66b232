"""How long commands may be delayed on a congested link between regions."""

import unittest

from damasktide.keyspace.path_delay import (
    CONGESTED_ARRIVAL_DELAY_S,
    CONGESTION_RETENTION_S,
    MAX_ARRIVAL_DELAY_S,
    QUEUED_RESPONSE_S,
    PathDelay,
)

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


class TestPathDelay(unittest.TestCase):
    def setUp(self) -> None:
        self.path_delay = PathDelay(REGIONS)

    def test_slow_responses_show_a_congested_link(self) -> None:
        """Guards against two owners when a grant arrives 1.4 s after its connection was reset."""
        self.path_delay.record_response(10.0, "a1", QUEUED_RESPONSE_S)
        self.assertEqual(
            self.path_delay.max_arrival_delay_s(12.0, "a2"), CONGESTED_ARRIVAL_DELAY_S
        )

    def test_link_without_slow_responses_is_not_congested(self) -> None:
        """Guards against the keys of a failed domain waiting longer than needed."""
        self.path_delay.record_response(10.0, "a1", 0.06)
        self.assertEqual(self.path_delay.max_arrival_delay_s(10.5, "a1"), MAX_ARRIVAL_DELAY_S)

    def test_other_regions_are_not_affected(self) -> None:
        self.path_delay.record_response(10.0, "a1", QUEUED_RESPONSE_S)
        self.assertEqual(self.path_delay.max_arrival_delay_s(10.5, "b1"), MAX_ARRIVAL_DELAY_S)

    def test_congestion_is_remembered_until_the_last_hold_has_expired(self) -> None:
        self.path_delay.record_response(10.0, "a1", 0.6)
        late = 10.0 + CONGESTION_RETENTION_S
        self.assertEqual(
            self.path_delay.max_arrival_delay_s(late, "a1"), CONGESTED_ARRIVAL_DELAY_S
        )
        self.assertEqual(
            self.path_delay.max_arrival_delay_s(late + 0.1, "a1"), MAX_ARRIVAL_DELAY_S
        )
