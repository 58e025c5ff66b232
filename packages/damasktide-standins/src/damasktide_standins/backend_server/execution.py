"""State machine of a backend server: slots, queue, grants, faults and cold start."""

from collections import deque
from collections.abc import Iterator
from dataclasses import replace

from damasktide_standins.backend_server.faults import Faults
from damasktide_standins.backend_server.grants import GrantLedger
from damasktide_standins.backend_server.requests import (
    Arrival,
    Ending,
    Finish,
    Load,
    ServerSettings,
    Start,
    Verdict,
)


class Execution:
    """Decides which requests run, wait or are refused.

    Times are seconds on the monotonic clock. The queue has as many places as there are slots.

    Parameters
    ----------
    settings
        Settings of the server.
    ledger
        State of its grant.
    """

    def __init__(self, settings: ServerSettings, ledger: GrantLedger) -> None:
        self.settings = settings
        self.ledger = ledger
        self.faults = Faults()
        self._next_run_id = 0
        self._running: dict[int, tuple[Arrival, str]] = {}
        self._cancelled: set[int] = set()
        self._queue: deque[tuple[int, Arrival]] = deque()
        self._loads: deque[tuple[float, Load]] = deque()

    def enter(self, arrival: Arrival, now: float) -> tuple[int, Start | None]:
        """Return the number of the request and its start, or None if it waits in the queue."""
        self._next_run_id += 1
        run_id = self._next_run_id
        if self.faults.resets_before_run:
            self.faults = self.faults.spend("resets_before_run")
            return run_id, Start(run_id, Verdict.RESET)
        start: Start | None = self._start(run_id, arrival, now)
        if start is not None and start.verdict is Verdict.SHED and self._may_queue(now):
            self._queue.append((run_id, arrival))
            start = None
        self._note_load(now)
        return run_id, start

    def leave(self, run_id: int, now: float) -> Finish:
        """Free the slot of a run and return how the run ended."""
        arrival, boot_id = self._running.pop(run_id)
        self._note_load(now)
        term_end = None if arrival.shard is None else self.ledger.finish(run_id, now)
        if run_id in self._cancelled:
            self._cancelled.remove(run_id)
            return Finish(Ending.CANCELLED)
        if boot_id != self.ledger.boot_id:
            return Finish(Ending.CUT, term_end, reset=True)
        if self.settings.checked and term_end is not None:
            return Finish(Ending.CUT, term_end)
        return self._response_faults()

    def next_starts(self, now: float) -> Iterator[Start]:
        """Yield the starts of queued requests for which there is a slot now."""
        while self._queue and len(self._running) < self._capacity(now):
            run_id, arrival = self._queue.popleft()
            yield self._start(run_id, arrival, now)
        self._note_load(now)

    def cancel(self, request_id: str) -> tuple[list[int], list[int]]:
        """Cancel a request and return its numbers in the queue and among the runs."""
        queued = [run_id for run_id, waiting in self._queue if waiting.request_id == request_id]
        self._queue = deque(entry for entry in self._queue if entry[0] not in queued)
        running = [
            run_id for run_id, (run, _) in self._running.items() if run.request_id == request_id
        ]
        self._cancelled.update(running)
        return queued, running

    def cold_start(self, boot_id: str, seconds: float, factor: float, now: float) -> None:
        """Boot again: new boot id and term, then slow and easily overloaded."""
        self.ledger.reboot(boot_id, now)
        self.faults = replace(
            self.faults, cold_from=now, cold_until=now + seconds, cold_factor=factor, cold_sheds=0
        )

    def is_collapsing(self) -> bool:
        """Return whether the load of a cold start has brought the server down."""
        return self.faults.cold_sheds >= self.faults.collapse_after_sheds

    def load(self, now: float) -> Load:
        """Return the load as reported, which lags if the fault says so."""
        while len(self._loads) > 1 and self._loads[1][0] <= now - self.faults.lag_s:
            self._loads.popleft()
        return self._loads[0][1] if self._loads else self._load()

    def _start(self, run_id: int, arrival: Arrival, now: float) -> Start:
        verdict = self._verdict(arrival, now)
        if verdict is not Verdict.RUN:
            return Start(run_id, verdict)
        self._running[run_id] = (arrival, self.ledger.boot_id)
        if arrival.shard is not None:
            self.ledger.begin(run_id, arrival.shard, now)
        return Start(run_id, verdict, self._service_time_s(now))

    def _verdict(self, arrival: Arrival, now: float) -> Verdict:
        if arrival.deadline is not None and arrival.deadline <= now:
            return Verdict.DEADLINE_PASSED
        if self.settings.checked and arrival.key and not self._owns(arrival.shard, now):
            return Verdict.NOT_OWNER
        if len(self._running) >= self._capacity(now):
            return Verdict.SHED
        return Verdict.RUN

    def _owns(self, shard: int | None, now: float) -> bool:
        return shard is not None and self.ledger.owns(shard, now)

    def _may_queue(self, now: float) -> bool:
        if self.faults.is_cold(now):
            self.faults = replace(self.faults, cold_sheds=self.faults.cold_sheds + 1)
            return False
        return len(self._queue) < self.settings.slots

    def _capacity(self, now: float) -> int:
        slots = self.settings.slots
        return 1 + int((slots - 1) * self.faults.warmth(now))

    def _service_time_s(self, now: float) -> float:
        return self.settings.service_time_ms / 1000 * self.faults.slowness(now)

    def _response_faults(self) -> Finish:
        if self.faults.resets_after_run:
            self.faults = self.faults.spend("resets_after_run")
            return Finish(Ending.COMPLETED, reset=True)
        if self.faults.truncations:
            self.faults = self.faults.spend("truncations")
            return Finish(Ending.COMPLETED, truncate=True)
        if self.faults.crossings:
            self.faults = self.faults.spend("crossings")
            return Finish(Ending.COMPLETED, cross=True)
        return Finish(Ending.COMPLETED)

    def _load(self) -> Load:
        in_flight = len(self._running) + len(self._queue)
        return Load(in_flight, self.settings.slots, self.ledger.boot_id)

    def _note_load(self, now: float) -> None:
        self._loads.append((now, self._load()))
        while len(self._loads) > 1 and self._loads[1][0] <= now - self.faults.lag_s:
            self._loads.popleft()
