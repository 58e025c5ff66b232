"""A bounded queue that is fair between customers and ordered by deadline within each."""

from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heappush

from damasktide.limits.messages import Entry

MAX_QUEUED = 512
MAX_QUEUED_PER_CUSTOMER = 128
# Keyed work of a customer may run ahead of unkeyed work of others by this many calls.
KEYED_LEAD_CALLS = 2.0

# Backend server whose slot a request needs, or None if any server will do.
Lane = str | None


class _Backlog:
    """Queued entries of one customer and the service time charged to it."""

    __slots__ = ("heap_by_lane", "queued", "virtual_time_s")

    def __init__(self) -> None:
        self.heap_by_lane: dict[Lane, list[tuple[float, int, Entry]]] = {}
        self.queued = 0
        self.virtual_time_s = 0.0

    def head(self, is_free: Callable[[Lane], bool]) -> Entry | None:
        """Return the next entry that can run, keyed entries first, then by deadline."""
        keyed = [
            heap[0]
            for lane, heap in self.heap_by_lane.items()
            if lane is not None and is_free(lane)
        ]
        if keyed:
            return min(keyed)[2]
        unkeyed = self.heap_by_lane.get(None)
        return unkeyed[0][2] if unkeyed and is_free(None) else None

    def insert(self, entry: Entry) -> None:
        heappush(self.heap_by_lane.setdefault(entry.owner, []), _heap_item(entry))
        self.queued += 1

    def remove(self, entry: Entry) -> None:
        heap = self.heap_by_lane[entry.owner]
        if heap[0][2] is entry:
            heappop(heap)
        else:
            heap.remove(_heap_item(entry))
            heapify(heap)
        if not heap:
            del self.heap_by_lane[entry.owner]
        self.queued -= 1


def _heap_item(entry: Entry) -> tuple[float, int, Entry]:
    return entry.deadline, entry.ticket, entry


class FairQueue:
    """Queued requests of one service.

    Start-time fair queueing schedules customers by the seconds of service that they received;
    other customers use the share of an idle one. Keyed work goes first as long as its customer
    is not more than ``KEYED_LEAD_CALLS`` ahead of the others. When the queue is full, the
    customer with the longest backlog loses its entry with the latest deadline. See Goyal, Vin
    and Cheng, "Start-time Fair Queuing" (1996).

    Parameters
    ----------
    max_queued, max_per_customer
        Bounds on queued entries.
    """

    def __init__(
        self,
        max_queued: int = MAX_QUEUED,
        max_per_customer: int = MAX_QUEUED_PER_CUSTOMER,
    ) -> None:
        self._max_queued = max_queued
        self._max_per_customer = max_per_customer
        self._backlog_by_customer: dict[str, _Backlog] = {}
        self._active_by_customer: dict[str, _Backlog] = {}
        self._entry_by_ticket: dict[int, Entry] = {}
        self._virtual_time_s = 0.0

    def __len__(self) -> int:
        return len(self._entry_by_ticket)

    def entries_ahead(self, customer: str) -> int:
        """Estimate how many queued entries run before a new one of ``customer``."""
        own = self._active_by_customer.get(customer)
        customers = len(self._active_by_customer) + (own is None)
        own_queued = own.queued if own is not None else 0
        return min(len(self), (own_queued + 1) * customers - 1)

    def push(self, entry: Entry) -> Entry | None:
        """Queue ``entry``; if a bound is reached, return the refused entry, perhaps ``entry``."""
        backlog = self._backlog(entry.customer)
        if backlog.queued >= self._max_per_customer:
            return entry
        victim = self._victim(backlog) if len(self) >= self._max_queued else None
        if victim is not None and victim.customer == entry.customer:
            return entry
        if victim is not None:
            self.remove(victim.ticket)
        self._insert(entry, backlog)
        return victim

    def pop(self, is_free: Callable[[Lane], bool], mean_call_s: float) -> Entry | None:
        """Remove and return the entry to run next, or return None if none can run.

        Parameters
        ----------
        is_free
            Returns whether a lane has a free slot.
        mean_call_s
            Mean seconds of a call, the unit of ``KEYED_LEAD_CALLS``.
        """
        if not self._entry_by_ticket:
            return None
        min_virtual_time_s = min(
            backlog.virtual_time_s for backlog in self._active_by_customer.values()
        )
        lead_limit_s = min_virtual_time_s + KEYED_LEAD_CALLS * mean_call_s
        best_rank: tuple[bool, bool, float, float, int] | None = None
        next_entry: Entry | None = None
        for backlog in self._active_by_customer.values():
            head = backlog.head(is_free)
            if head is None:
                continue
            virtual_time_s = backlog.virtual_time_s
            rank = (
                virtual_time_s > lead_limit_s,
                head.owner is None,
                virtual_time_s,
                head.deadline,
                head.ticket,
            )
            if best_rank is None or rank < best_rank:
                best_rank, next_entry = rank, head
        if next_entry is not None:
            self.remove(next_entry.ticket)
        return next_entry

    def charge(self, customer: str, seconds: float) -> None:
        """Charge the expected service time of a call of ``customer`` that starts."""
        backlog = self._backlog(customer)
        self._virtual_time_s = max(self._virtual_time_s, backlog.virtual_time_s)
        backlog.virtual_time_s += seconds

    def correct(self, customer: str, seconds: float) -> None:
        """Add the difference between actual and charged service time to ``customer``."""
        backlog = self._backlog_by_customer.get(customer)
        if backlog is not None:
            backlog.virtual_time_s += seconds

    def remove(self, ticket: int) -> Entry | None:
        """Remove and return the entry with ``ticket``, or return None if it is not queued."""
        entry = self._entry_by_ticket.pop(ticket, None)
        if entry is None:
            return None
        backlog = self._active_by_customer[entry.customer]
        backlog.remove(entry)
        if not backlog.queued:
            del self._active_by_customer[entry.customer]
        return entry

    def pop_late(self, earliest_deadline: float) -> Iterator[Entry]:
        """Remove and yield the entries whose deadline is before ``earliest_deadline``."""
        late = [
            entry for entry in self._entry_by_ticket.values() if entry.deadline < earliest_deadline
        ]
        for entry in late:
            self.remove(entry.ticket)
            yield entry

    def drop_idle_customers(self) -> None:
        """Drop the records of idle customers that are not ahead of the virtual time."""
        for customer, backlog in list(self._backlog_by_customer.items()):
            if not backlog.queued and backlog.virtual_time_s <= self._virtual_time_s:
                del self._backlog_by_customer[customer]

    def _backlog(self, customer: str) -> _Backlog:
        backlog = self._backlog_by_customer.get(customer)
        if backlog is None:
            backlog = self._backlog_by_customer[customer] = _Backlog()
        if not backlog.queued:
            backlog.virtual_time_s = max(backlog.virtual_time_s, self._virtual_time_s)
        return backlog

    def _insert(self, entry: Entry, backlog: _Backlog) -> None:
        backlog.insert(entry)
        self._active_by_customer[entry.customer] = backlog
        self._entry_by_ticket[entry.ticket] = entry

    def _victim(self, newcomer: _Backlog) -> Entry:
        longest = max(self._active_by_customer.values(), key=lambda backlog: backlog.queued)
        if newcomer.queued >= longest.queued:
            longest = newcomer
        return max(heap_item for heap in longest.heap_by_lane.values() for heap_item in heap)[2]
