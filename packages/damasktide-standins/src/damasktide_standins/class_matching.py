"""Matching of request classes to kinds of targets by arrival and service rates.

The linear program is that of Rasooli and Down, "An Adaptive Scheduling Algorithm for Dynamic
Heterogeneous Hadoop Systems" (2011): maximise lambda so that the sum over targets j of
``mu[i, j] * delta[i, j]`` is at least ``lambda * alpha[i]`` for each class i, where the deltas
of a target add up to at most 1. Targets of one kind are alike, so they share one delta.
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
        Fraction of the time of each kind of target for the two classes, ``delta[class][kind]``.
    """

    capacity_per_s: float
    delta: tuple[tuple[float, ...], tuple[float, ...]]


def match_two_classes(alpha: tuple[float, float], rate: Sequence[tuple[float, float]]) -> Matching:
    """Solve the linear program for two classes and any number of kinds of targets.

    Kinds are ordered by their advantage for class 0. In the optimum, class 0 has the kinds up
    to one of them, class 1 has those after it, and at most that one kind is divided.

    Parameters
    ----------
    alpha
        Fraction of the requests that belongs to each class; both above 0.
    rate
        For each kind, the requests per second that all its slots serve of either class.
    """
    order = sorted(range(len(rate)), key=lambda kind: rate[kind][0] / rate[kind][1], reverse=True)
    first = [0.0] * len(rate)
    served_0, served_1 = 0.0, sum(rates[1] for rates in rate)
    for kind in order:
        rate_0, rate_1 = rate[kind]
        # Smallest part of this kind with which class 0 is served as well as class 1.
        part = (alpha[0] * served_1 - alpha[1] * served_0) / (
            alpha[1] * rate_0 + alpha[0] * rate_1
        )
        first[kind] = min(1.0, max(0.0, part))
        served_0 += first[kind] * rate_0
        served_1 -= first[kind] * rate_1
    capacity = min(served_0 / alpha[0], served_1 / alpha[1])
    return Matching(capacity, (tuple(first), tuple(1.0 - part for part in first)))
