"""Policies that rank the targets of a service."""

from collections.abc import Callable
from dataclasses import dataclass
from math import pow
from random import Random

from damasktide.dispatch.load_estimate import LoadEstimate
from damasktide.runtime.registry import Registry

# Failing calls return early, which makes a failing target look fast. Each failure is counted as
# this many repeated calls.
FAILURE_COST_CALLS = 6.0
# Random increase of the expected finish time, as a fraction, so that instances with the same load
# reports do not all choose the same target.
JITTER_FRACTION = 0.15
# A full target still has this fraction of its capacity in the ranking by spare throughput; what
# the queue costs is added as a time.
MIN_FREE_FRACTION = 0.1
# Sampling and the assumption of a typical speed make slow targets look faster than they are; with
# an exponent of 1 they got up to 9% more than their share.
SPEED_EXPONENT = 1.3


@dataclass(frozen=True, slots=True)
class RankingContext:
    """Inputs of a policy other than the target's own estimate.

    Attributes
    ----------
    now
        Monotonic time in seconds.
    typical_call_s
        Typical duration of such a call, in seconds.
    reserved_fraction
        Fraction of a target's slots that is reserved for more urgent requests.
    mean_calls
        Mean number of calls at a target of the service.
    """

    now: float
    typical_call_s: float
    reserved_fraction: float = 0.0
    mean_calls: float = 0.0


Policy = Callable[[LoadEstimate, RankingContext, Random], float]
dispatch_policies: Registry[str, Policy] = Registry("dispatch policy")


@dispatch_policies.register("expected_finish")
def expected_finish(estimate: LoadEstimate, context: RankingContext, rng: Random) -> float:
    """Return the expected time to the end of the call; failures count as repeated calls."""
    now, typical_call_s = context.now, context.typical_call_s
    failures_s = FAILURE_COST_CALLS * typical_call_s * estimate.failure_ratio(now)
    finish_s = estimate.finish_s(now, typical_call_s) * (1.0 + JITTER_FRACTION * rng.random())
    overdue_s = estimate.overdue_s(now, typical_call_s)
    return finish_s + failures_s + overdue_s + _reserved_slots_penalty_s(estimate, context)


def _reserved_slots_penalty_s(estimate: LoadEstimate, context: RankingContext) -> float:
    """Return the delay that a call in the reserved slots would cause to more urgent calls."""
    unreserved_slots = estimate.entry.slots * (1.0 - context.reserved_fraction)
    excess = estimate.calls(context.now) + 1.0 - unreserved_slots
    return max(0.0, excess) * context.typical_call_s / max(1, estimate.entry.slots)


@dispatch_policies.register("spare_throughput")
def spare_throughput(estimate: LoadEstimate, context: RankingContext, rng: Random) -> float:
    """Return a random time whose mean is inverse to the target's speed and its free capacity.

    The smallest of exponentially distributed times is that of a target with a probability
    proportional to its rate. Targets thus get calls in proportion to their spare throughput, and
    instances with the same knowledge do not choose the same target. Failures and waiting time are
    counted as in :func:`expected_finish`.
    """
    now, typical_call_s = context.now, context.typical_call_s
    calls, capacity = estimate.calls(now), estimate.capacity
    call_s = typical_call_s * estimate.duration_ratio * estimate.slowdown(now)
    # A target without a recent report is not taken for an idle one: it may not respond at all.
    used = estimate.calls_around(now, context.mean_calls)
    free = max(MIN_FREE_FRACTION, (capacity - used) / max(1, estimate.entry.slots))
    wait_s = call_s * max(0.0, calls + 1.0 - capacity) / capacity
    failures_s = FAILURE_COST_CALLS * typical_call_s * estimate.failure_ratio(now)
    relative_rate = free / pow(call_s / typical_call_s, SPEED_EXPONENT)
    random_s = typical_call_s / relative_rate * rng.expovariate(1.0)
    overdue_s = estimate.overdue_s(now, typical_call_s)
    return (
        random_s + wait_s + failures_s + overdue_s + _reserved_slots_penalty_s(estimate, context)
    )


@dispatch_policies.register("least_calls")
def least_calls(estimate: LoadEstimate, context: RankingContext, rng: Random) -> float:
    """Return the estimated calls per slot, scaled to a time; ignore speed and failures."""
    calls = estimate.calls(context.now) + rng.random()
    return calls / max(1, estimate.entry.slots) * context.typical_call_s


@dispatch_policies.register("random")
def random_choice(estimate: LoadEstimate, context: RankingContext, rng: Random) -> float:
    """Return a random time, so that targets are ranked at random."""
    return rng.random() * context.typical_call_s
