"""State machine of a stand-in backend server: slots, queue, grants, faults and cold start."""

from collections import deque
from collections.abc import Iterator
from dataclasses import replace

from damasktide_standins.backend_server.faults import Faults
from damasktide_standins.backend_server.grants import GrantTracker
from damasktide_standins.backend_server.requests import (
    Admission,
    AdmissionDecision,
    Ending,
    IncomingRequest,
    Load,
    RunResult,
    ServerSettings,
)


class Execution:
    """Decides whether requests run, wait in the queue or are refused.

    Times are seconds on the monotonic clock. The queue holds as many requests as there
    are slots.

    Parameters
    ----------
    settings
        Settings of the server.
    grant_tracker
        Tracks the server's grant.
    """

    def __init__(self, settings: ServerSettings, grant_tracker: GrantTracker) -> None:
        self.settings = settings
        self.grant_tracker = grant_tracker
        self.faults = Faults()
        self._next_run_id = 0
        self._running: dict[int, tuple[IncomingRequest, str]] = {}
        self._cancelled: set[int] = set()
        self._queue: deque[tuple[int, IncomingRequest]] = deque()
        self._load_history: deque[tuple[float, Load]] = deque()

    def admit(self, request: IncomingRequest, now: float) -> tuple[int, Admission | None]:
        """Return the run id of a request and its admission, or None if it waits in the queue."""
        self._next_run_id += 1
        run_id = self._next_run_id
        if self.faults.resets_before_run:
            self.faults = self.faults.decrement("resets_before_run")
            return run_id, Admission(run_id, AdmissionDecision.RESET)
        admission: Admission | None = self._admit(run_id, request, now)
        if (
            admission is not None
            and admission.decision is AdmissionDecision.SHED
            and self._may_queue(now)
        ):
            self._queue.append((run_id, request))
            admission = None
        self._record_load(now)
        return run_id, admission

    def finish(self, run_id: int, now: float) -> RunResult:
        """Free the slot of a run and return the result of the run."""
        request, boot_id = self._running.pop(run_id)
        self._record_load(now)
        term_ended_at = None if request.shard is None else self.grant_tracker.finish(run_id, now)
        if run_id in self._cancelled:
            self._cancelled.remove(run_id)
            return RunResult(Ending.CANCELLED)
        if boot_id != self.grant_tracker.boot_id:
            return RunResult(Ending.ROLLED_BACK, term_ended_at, reset=True)
        if self.settings.checks_grants and term_ended_at is not None:
            return RunResult(Ending.ROLLED_BACK, term_ended_at)
        return self._response_faults()

    def admit_queued(self, now: float) -> Iterator[Admission]:
        """Yield the admissions of queued requests while there are free slots."""
        while self._queue and len(self._running) < self._capacity(now):
            run_id, request = self._queue.popleft()
            yield self._admit(run_id, request, now)
        self._record_load(now)

    def cancel(self, request_id: str) -> tuple[list[int], list[int]]:
        """Cancel a request; return its run ids that were queued and those that are running."""
        queued = [run_id for run_id, request in self._queue if request.request_id == request_id]
        self._queue = deque(entry for entry in self._queue if entry[0] not in queued)
        running = [
            run_id
            for run_id, (request, _) in self._running.items()
            if request.request_id == request_id
        ]
        self._cancelled.update(running)
        return queued, running

    def cold_start(self, boot_id: str, duration_s: float, factor: float, now: float) -> None:
        """Restart with a new boot id and term; the server is then slow and easily overloaded."""
        self.grant_tracker.restart(boot_id, now)
        self.faults = replace(
            self.faults,
            cold_from=now,
            cold_until=now + duration_s,
            cold_factor=factor,
            cold_sheds=0,
        )

    def is_collapsing(self) -> bool:
        """Return whether the server has shed so many requests while cold that it restarts."""
        return self.faults.cold_sheds >= self.faults.collapse_after_sheds

    def load(self, now: float) -> Load:
        """Return the load to report, which is out of date by ``lag_s`` under the lag fault."""
        while len(self._load_history) > 1 and self._load_history[1][0] <= now - self.faults.lag_s:
            self._load_history.popleft()
        return self._load_history[0][1] if self._load_history else self._current_load()

    def _admit(self, run_id: int, request: IncomingRequest, now: float) -> Admission:
        decision = self._decide(request, now)
        if decision is not AdmissionDecision.RUN:
            return Admission(run_id, decision)
        self._running[run_id] = (request, self.grant_tracker.boot_id)
        if request.shard is not None:
            self.grant_tracker.begin(run_id, request.shard, now)
        return Admission(run_id, decision, self._service_time_s(now))

    def _decide(self, request: IncomingRequest, now: float) -> AdmissionDecision:
        if request.deadline is not None and request.deadline <= now:
            return AdmissionDecision.DEADLINE_PASSED
        if self.settings.checks_grants and request.key and not self._owns(request.shard, now):
            return AdmissionDecision.NOT_OWNER
        if len(self._running) >= self._capacity(now):
            return AdmissionDecision.SHED
        return AdmissionDecision.RUN

    def _owns(self, shard: int | None, now: float) -> bool:
        return shard is not None and self.grant_tracker.owns(shard, now)

    def _may_queue(self, now: float) -> bool:
        """Return whether a request may wait for a slot; during a cold start, count it as shed."""
        if self.faults.is_cold(now):
            self.faults = replace(self.faults, cold_sheds=self.faults.cold_sheds + 1)
            return False
        return len(self._queue) < self.settings.slots

    def _capacity(self, now: float) -> int:
        slots = self.settings.slots
        return 1 + int((slots - 1) * self.faults.warm_up_progress(now))

    def _service_time_s(self, now: float) -> float:
        return self.settings.service_time_ms / 1000 * self.faults.service_time_factor(now)

    def _response_faults(self) -> RunResult:
        if self.faults.resets_after_run:
            self.faults = self.faults.decrement("resets_after_run")
            return RunResult(Ending.COMPLETED, reset=True)
        if self.faults.truncations:
            self.faults = self.faults.decrement("truncations")
            return RunResult(Ending.COMPLETED, truncate=True)
        if self.faults.crossings:
            self.faults = self.faults.decrement("crossings")
            return RunResult(Ending.COMPLETED, cross=True)
        return RunResult(Ending.COMPLETED)

    def _current_load(self) -> Load:
        in_flight = len(self._running) + len(self._queue)
        return Load(in_flight, self.settings.slots, self.grant_tracker.boot_id)

    def _record_load(self, now: float) -> None:
        self._load_history.append((now, self._current_load()))
        while len(self._load_history) > 1 and self._load_history[1][0] <= now - self.faults.lag_s:
            self._load_history.popleft()
