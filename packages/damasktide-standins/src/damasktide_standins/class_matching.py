"""Optimal assignment of request classes to kinds of targets, by arrival and service rates.

Solves the linear program of Rasooli and Down, "An Adaptive Scheduling Algorithm for Dynamic
Heterogeneous Hadoop Systems" (2011): maximise lambda so that the sum over targets j of
``mu[i, j] * delta[i, j]`` is at least ``lambda * alpha[i]`` for each class i, where the deltas
of a target add up to at most 1. Targets of one kind have the same rates, so they share one delta.
"""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Matching:
    """Solution of the linear program for two classes.

    Attributes
    ----------
    capacity_per_s
        The largest lambda: requests per second of all classes that the targets can serve.
    delta
        Fraction of its time that each kind of target spends on each of the two classes,
        ``delta[class][kind]``.
    """

    capacity_per_s: float
    delta: tuple[tuple[float, ...], tuple[float, ...]]


def match_two_classes(alpha: tuple[float, float], rate: Sequence[tuple[float, float]]) -> Matching:
    """Solve the linear program for two classes and any number of kinds of targets.

    Sorts the kinds by the ratio of their rates for class 0 and class 1, highest first. The
    optimum gives the kinds before some position to class 0 and the kinds after it to class 1.
    At most the kind at that position serves both classes.

    Parameters
    ----------
    alpha
        Fraction of the requests that belong to each class; both above 0.
    rate
        For each kind, the requests per second that the slots of all its targets can serve, by
        class.
    """
    kinds_by_advantage = sorted(
        range(len(rate)), key=lambda kind: rate[kind][0] / rate[kind][1], reverse=True
    )
    delta_0 = [0.0] * len(rate)
    served_0, served_1 = 0.0, sum(rate_by_class[1] for rate_by_class in rate)
    for kind in kinds_by_advantage:
        rate_0, rate_1 = rate[kind]
        # Smallest fraction of this kind at which class 0 is served as well as class 1.
        fraction = (alpha[0] * served_1 - alpha[1] * served_0) / (
            alpha[1] * rate_0 + alpha[0] * rate_1
        )
        delta_0[kind] = min(1.0, max(0.0, fraction))
        served_0 += delta_0[kind] * rate_0
        served_1 -= delta_0[kind] * rate_1
    capacity = min(served_0 / alpha[0], served_1 / alpha[1])
    return Matching(capacity, (tuple(delta_0), tuple(1.0 - fraction for fraction in delta_0)))
