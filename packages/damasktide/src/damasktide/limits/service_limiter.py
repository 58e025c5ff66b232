"""Admits requests to one service while slots are free, and queues or refuses the others."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import ceil

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.limits.fair_queue import FairQueue, Lane
from damasktide.limits.messages import Admitted, Entry, Refused, Verdict
from damasktide.limits.quantile import QuantileEstimate

# A queued request must start with at least this quantile of the service time remaining.
RESERVE_QUANTILE = 0.9
# With no more time than this quantile of the service time, almost no request ends in time.
SHORTEST_CALL_QUANTILE = 0.02
# Smallest weight of a new sample in the mean service time.
MIN_SAMPLE_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class _Running:
    entry: Entry
    started_at: float
    charged_s: float
    lane: Lane


class ServiceLimiter:
    """Decides on the admission of requests to one service.

    Parameters
    ----------
    queue
        Queue of waiting requests.
    refuses_early
        Whether a request that is unlikely to meet its deadline is refused on arrival or while
        queued; only tests turn this off, as a control.
    """

    def __init__(self, queue: FairQueue | None = None, refuses_early: bool = True) -> None:
        self._queue = queue if queue is not None else FairQueue()
        self._refuses_early = refuses_early
        self._slots = 0
        self._slots_by_server: Mapping[str, int] = {}
        self._running_by_ticket: dict[int, _Running] = {}
        self._running_by_lane: Counter[str] = Counter()
        self._mean_s = 0.0
        self._reserve = QuantileEstimate(RESERVE_QUANTILE)
        self._shortest_call = QuantileEstimate(SHORTEST_CALL_QUANTILE)

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    def set_capacity(
        self, now: float, slots: int, slots_by_server: Mapping[str, int]
    ) -> Iterator[Verdict]:
        """Replace the slots and admit queued requests that now have a slot."""
        self._slots = slots
        self._slots_by_server = dict(slots_by_server)
        yield from self._admit_queued(now)

    def enter(self, now: float, entry: Entry) -> Iterator[Verdict]:
        """Admit, queue or refuse a request; a queued request gets no verdict yet."""
        refusal = self._refusal(now, entry)
        if refusal is not None:
            yield Refused(entry.ticket, refusal)
        elif not self._queue and self._is_free(entry.owner):
            yield self._start(now, entry)
        else:
            victim = self._queue.push(entry)
            if victim is not None:
                yield Refused(victim.ticket, _overloaded("the queue is full", self._mean_s))
            # The queue may hold only work for busy owners while other slots are free.
            yield from self._admit_queued(now)

    def place(self, ticket: int, server_id: str) -> None:
        """Record the target of an unkeyed request, which occupies one of the target's slots."""
        running = self._running_by_ticket.get(ticket)
        if running is None or running.lane is not None:
            return
        self._running_by_lane[server_id] += 1
        self._running_by_ticket[ticket] = _Running(
            running.entry, running.started_at, running.charged_s, server_id
        )

    def leave(self, now: float, ticket: int) -> Iterator[Verdict]:
        """Free the slot of a request, or remove it from the queue."""
        running = self._running_by_ticket.pop(ticket, None)
        if running is None:
            self._queue.remove(ticket)
            return
        if running.lane is not None:
            self._running_by_lane[running.lane] -= 1
        self._record_service_time(running, now - running.started_at)
        yield from self._admit_queued(now)

    def expire(self, now: float) -> Iterator[Verdict]:
        """Refuse queued requests that are unlikely to meet their deadline; call this often."""
        yield from self._refuse_late(now)
        self._queue.drop_idle_customers()

    def _refuse_late(self, now: float) -> Iterator[Verdict]:
        earliest_deadline = now + (self._reserve.value if self._refuses_early else 0.0)
        for entry in self._queue.pop_late(earliest_deadline):
            yield Refused(
                entry.ticket,
                _overloaded("no slot before the deadline", self._mean_s),
            )

    def _refusal(self, now: float, entry: Entry) -> Refusal | None:
        if not self._slots and not self._slots_by_server:
            return Refusal(RefusalCode.NO_TARGET, f"no target of {entry.service} has a slot")
        if entry.owner is not None and not self._slots_by_server.get(entry.owner):
            return _overloaded("no slot of the owner at this instance", self._mean_s)
        if not self._refuses_early:
            return None
        remaining_s = entry.deadline - now
        if remaining_s <= self._shortest_call.value:
            return Refusal(RefusalCode.DEADLINE_TOO_SHORT, "shorter than the service takes")
        wait_s = self._expected_wait_s(entry)
        if wait_s and remaining_s < wait_s + self._reserve.value:
            return _overloaded(f"expected wait {wait_s:.3f} s", wait_s)
        return None

    def _expected_wait_s(self, entry: Entry) -> float:
        if not self._queue and self._is_free(entry.owner):
            return 0.0
        ahead = self._queue.entries_ahead(entry.customer) + 1
        return ahead * self._mean_s / max(1, self._slots)

    def _is_free(self, lane: Lane) -> bool:
        if len(self._running_by_ticket) >= self._slots:
            return False
        if lane is None:
            return True
        return self._running_by_lane[lane] < self._slots_by_server.get(lane, 0)

    def _admit_queued(self, now: float) -> Iterator[Verdict]:
        if not self._queue:
            return
        if self._refuses_early:
            yield from self._refuse_late(now)
        while len(self._running_by_ticket) < self._slots:
            entry = self._queue.pop(self._is_free, self._mean_s)
            if entry is None:
                return
            yield self._start(now, entry)

    def _start(self, now: float, entry: Entry) -> Admitted:
        charged_s = self._mean_s
        self._queue.charge(entry.customer, charged_s)
        self._running_by_ticket[entry.ticket] = _Running(entry, now, charged_s, entry.owner)
        if entry.owner is not None:
            self._running_by_lane[entry.owner] += 1
        return Admitted(entry.ticket)

    def _record_service_time(self, running: _Running, service_s: float) -> None:
        self._queue.correct(running.entry.customer, service_s - running.charged_s)
        self._reserve.add(service_s)
        self._shortest_call.add(service_s)
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self._reserve.count)
        self._mean_s += weight * (service_s - self._mean_s)


def _overloaded(detail: str, wait_s: float) -> Refusal:
    return Refusal(RefusalCode.OVERLOADED, detail, max(1, ceil(wait_s)))
