"""Discrete-event model of callers, one limiter and its slots."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush, merge
from random import Random

from damasktide.limits.messages import Admitted, Entry, Verdict
from damasktide.limits.service_limiter import ServiceLimiter

SERVICE = "desk"
SLOTS = 15
MEAN_CALL_S = 0.02
DEADLINE_S = 0.2
CAPACITY_PER_S = SLOTS / MEAN_CALL_S


def arrivals(
    rng: Random, customer: str, per_s: float, seconds: float, owner: str | None = None
) -> Iterator[tuple[float, str, str | None]]:
    """Yield Poisson arrivals as tuples of time, customer and owner."""
    now = rng.expovariate(per_s)
    while now < seconds:
        yield now, customer, owner
        now += rng.expovariate(per_s)


@dataclass
class Tally:
    """Counts requests per customer: all, and those that ended within their deadline."""

    offered: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)

    def success_fraction(self, customer: str) -> float:
        return self.in_time[customer] / self.offered[customer]


class OverloadModel:
    """Runs arrivals through a limiter; a call keeps its slot until it ends, even if late."""

    def __init__(self, limiter: ServiceLimiter, rng: Random) -> None:
        self._limiter = limiter
        self._rng = rng
        self._ends: list[tuple[float, int]] = []
        self._entry_by_ticket: dict[int, Entry] = {}
        self.tally = Tally()
        list(limiter.set_capacity(0.0, SLOTS, {"s0": SLOTS, "s1": SLOTS}))

    def run(self, *streams: Iterable[tuple[float, str, str | None]]) -> Tally:
        for ticket, (now, customer, owner) in enumerate(merge(*streams), start=1):
            self._end_calls(now)
            entry = Entry(ticket, customer, SERVICE, now + DEADLINE_S, owner)
            self._entry_by_ticket[ticket] = entry
            self.tally.offered[customer] += 1
            self._start_calls(now, self._limiter.enter(now, entry))
        self._end_calls(float("inf"))
        return self.tally

    def _end_calls(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            end, ticket = heappop(self._ends)
            entry = self._entry_by_ticket.pop(ticket)
            self.tally.in_time[entry.customer] += end <= entry.deadline
            self._start_calls(end, self._limiter.leave(end, ticket))

    def _start_calls(self, now: float, verdicts: Iterable[Verdict]) -> None:
        for verdict in verdicts:
            if isinstance(verdict, Admitted):
                end = now + self._rng.expovariate(1.0 / MEAN_CALL_S)
                heappush(self._ends, (end, verdict.ticket))
            else:
                del self._entry_by_ticket[verdict.ticket]
