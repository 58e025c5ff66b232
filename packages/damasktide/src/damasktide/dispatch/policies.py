"""Policies that rank the targets of a service."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from damasktide.dispatch.load_estimate import LoadEstimate
from damasktide.runtime.registry import Registry

# Failing calls come back soon, so a target that fails looks fast; each failure costs the caller
# about this many calls.
FAILURE_CALLS = 6.0
# Instances that see the same reports must not all choose the same target.
JITTER = 0.15


@dataclass(frozen=True, slots=True)
class Ranking:
    """What a policy may use besides the target's own estimate.

    Attributes
    ----------
    now
        Monotonic time in seconds.
    typical_s
        Time that such a call usually takes.
    reserved_part
        Part of a target's slots that is left to more urgent requests.
    """

    now: float
    typical_s: float
    reserved_part: float = 0.0


Policy = Callable[[LoadEstimate, Ranking, Random], float]
dispatch_policies: Registry[str, Policy] = Registry("dispatch policy")


@dispatch_policies.register("expected_finish")
def expected_finish(estimate: LoadEstimate, ranking: Ranking, rng: Random) -> float:
    """Return the expected seconds to the end of the call, failures counted as repeated calls."""
    now, typical_s = ranking.now, ranking.typical_s
    failures_s = FAILURE_CALLS * typical_s * estimate.failure_ratio(now)
    finish_s = estimate.finish_s(now, typical_s) * (1.0 + JITTER * rng.random())
    silence_s = estimate.silence_s(now, typical_s)
    return finish_s + failures_s + silence_s + _reserve_s(estimate, ranking)


def _reserve_s(estimate: LoadEstimate, ranking: Ranking) -> float:
    """Return the delay that a call in reserved slots would cause to more urgent ones."""
    open_slots = estimate.entry.slots * (1.0 - ranking.reserved_part)
    excess = estimate.calls(ranking.now) + 1.0 - open_slots
    return max(0.0, excess) * ranking.typical_s / max(1, estimate.entry.slots)


@dispatch_policies.register("least_calls")
def least_calls(estimate: LoadEstimate, ranking: Ranking, rng: Random) -> float:
    """Return the estimated calls per slot, as time; speed and failures are ignored."""
    calls = estimate.calls(ranking.now) + rng.random()
    return calls / max(1, estimate.entry.slots) * ranking.typical_s


@dispatch_policies.register("random")
def random_choice(estimate: LoadEstimate, ranking: Ranking, rng: Random) -> float:
    """Return a random rank."""
    return rng.random() * ranking.typical_s
