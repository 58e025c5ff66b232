"""A candidate policy that learns the latency of each request class at each target."""

from collections.abc import Sequence
from random import Random

from damasktide.balancing.policies import balancing_policies
from damasktide.balancing.state import TargetStats

# Weight of the newest sample in the moving average.
SAMPLE_WEIGHT = 0.1


@balancing_policies.register("least_wait_by_class")
class LeastWaitByClass:
    """Chooses the target with the smallest product of load and latency of the request's class.

    Attributes
    ----------
    request_class
        Class of the request to route; ``PolicyModel`` sets it before each call of ``choose``.
    """

    def __init__(self, rng: Random) -> None:
        self._random = rng.random
        self._latency_by_class: tuple[dict[str, float], dict[str, float]] = ({}, {})
        self.request_class = 0

    def observe(self, request_class: int, server_id: str, latency_s: float) -> None:
        """Update the moving average of the latency with one call."""
        latency_by_server = self._latency_by_class[request_class]
        average_s = latency_by_server.get(server_id, latency_s)
        latency_by_server[server_id] = average_s + SAMPLE_WEIGHT * (latency_s - average_s)

    def choose(
        self, candidates: Sequence[TargetStats], now: float, median_s: float
    ) -> TargetStats:
        """Return the candidate with the shortest expected wait; unobserved targets come first."""
        latency_by_server = self._latency_by_class[self.request_class]

        def expected_wait(stats: TargetStats) -> tuple[float, float]:
            latency_s = latency_by_server.get(stats.target.server_id, 0.0)
            return (stats.load(now) + 1.0) * latency_s, self._random()

        return min(candidates, key=expected_wait)
