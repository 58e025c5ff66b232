"""Policies that choose among targets with a free slot."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from damasktide.balancing.state import TargetStats
from damasktide.runtime.registry import Registry

# Before the first sample all latencies are 0, and expected waits must still differ by load.
MIN_LATENCY_S = 1e-6
# Latencies up to this multiple of the median count as equal.
LATENCY_TOLERANCE = 1.25


class BalancingPolicy(Protocol):
    """Chooses one of several targets."""

    def choose(
        self, candidates: Sequence[TargetStats], now: float, median_s: float
    ) -> TargetStats:
        """Return one of ``candidates``.

        Parameters
        ----------
        candidates
            Targets with a free slot; never empty.
        now
            Monotonic time in seconds.
        median_s
            Median of the decayed latencies of all targets in seconds.
        """


balancing_policies: Registry[str, Callable[[Random], BalancingPolicy]] = Registry(
    "balancing policy"
)


@balancing_policies.register("random")
class RandomPolicy:
    """Chooses uniformly at random."""

    def __init__(self, rng: Random) -> None:
        self._random = rng.random

    def choose(
        self, candidates: Sequence[TargetStats], now: float, median_s: float
    ) -> TargetStats:
        """Return a random candidate."""
        return candidates[int(self._random() * len(candidates))]


@balancing_policies.register("round_robin")
class RoundRobinPolicy:
    """Chooses the candidates in turn."""

    def __init__(self, rng: Random) -> None:
        # A random first index keeps instances that start together from choosing in lockstep.
        self._next = rng.randrange(1 << 16)

    def choose(
        self, candidates: Sequence[TargetStats], now: float, median_s: float
    ) -> TargetStats:
        """Return the next candidate."""
        self._next += 1
        return candidates[self._next % len(candidates)]


@balancing_policies.register("least_in_flight")
class LeastInFlightPolicy:
    """Chooses the candidate with the fewest calls of this instance; ties are broken at random."""

    def __init__(self, rng: Random) -> None:
        self._random = rng.random

    def choose(
        self, candidates: Sequence[TargetStats], now: float, median_s: float
    ) -> TargetStats:
        """Return a candidate with the fewest calls in flight."""
        least = min([state.in_flight for state in candidates])
        ties = [state for state in candidates if state.in_flight == least]
        return ties[int(self._random() * len(ties))]


@balancing_policies.register("power_of_two")
class PowerOfTwoPolicy:
    """Chooses the better of two random candidates.

    The expected wait is the load, including the new call, times the decayed latency.
    See Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
    """

    def __init__(self, rng: Random) -> None:
        self._random = rng.random

    def choose(
        self, candidates: Sequence[TargetStats], now: float, median_s: float
    ) -> TargetStats:
        """Return the candidate with the lower expected wait."""
        count = len(candidates)
        if count == 1:
            return candidates[0]
        first_index = int(self._random() * count)
        second_index = int(self._random() * (count - 1))
        if second_index >= first_index:
            second_index += 1
        first, second = candidates[first_index], candidates[second_index]
        first_wait = _expected_wait_s(first, now, median_s)
        second_wait = _expected_wait_s(second, now, median_s)
        return first if first_wait <= second_wait else second


def _expected_wait_s(state: TargetStats, now: float, median_s: float) -> float:
    latency_s = max(state.latency_s(now, median_s), LATENCY_TOLERANCE * median_s) + MIN_LATENCY_S
    # A target that fails at once looks idle, so each consecutive failure counts as a call.
    return (state.load(now) + 1.0 + state.consecutive_failures) * latency_s
