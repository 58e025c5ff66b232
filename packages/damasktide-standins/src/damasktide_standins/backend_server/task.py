"""Task that owns the state of a stand-in backend server."""

import json
import secrets
import time
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import IO, Any

from gevent.event import AsyncResult, Event

from damasktide.runtime.clock import Clock
from damasktide.runtime.task import Task, handles
from damasktide_standins.backend_server.execution import Execution
from damasktide_standins.backend_server.faults import FAULTS
from damasktide_standins.backend_server.grants import Grant, GrantState
from damasktide_standins.backend_server.requests import (
    Admission,
    AdmissionDecision,
    IncomingRequest,
    Load,
    RunResult,
)


@dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Asks to run a request.

    A queued request is admitted only while the task handles later messages, so the admission
    comes through an ``AsyncResult`` of its own instead of the reply.

    Attributes
    ----------
    request
        The request.
    admission
        Receives the :class:`Admission`.
    cancelled
        Set if the request is cancelled while it runs.
    """

    request: IncomingRequest
    admission: AsyncResult
    cancelled: Event


@dataclass(frozen=True, slots=True)
class FinishRun:
    """Reports that a run has ended; the reply is a :class:`RunResult`.

    Times are seconds of ``time.time``.
    """

    run_id: int
    request: IncomingRequest
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class ReadGrant:
    """Asks for the :class:`GrantState`."""


@dataclass(frozen=True, slots=True)
class ApplyGrant:
    """Asks to apply a grant; the reply is a refusal reason or None, and the grant state."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Asks for the :class:`Load`."""


@dataclass(frozen=True, slots=True)
class Cancel:
    """Asks to cancel a request; the reply is ``queued``, ``running`` or ``unknown``."""

    request_id: str


@dataclass(frozen=True, slots=True)
class InjectFault:
    """Asks to switch on a fault."""

    fault: str
    parameters: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ReadFaults:
    """Asks for the faults as a dictionary."""


class ExecutionTask(Task):
    """Owns the execution state and the execution log.

    Parameters
    ----------
    execution
        State machine.
    clock
        Monotonic clock.
    log
        Text file that receives a JSON line for each run, or None.
    """

    def __init__(self, execution: Execution, clock: Clock, log: IO[str] | None) -> None:
        super().__init__(f"execution {execution.settings.server_id}")
        self._execution = execution
        self._clock = clock
        self._log = log
        self._queued_by_run_id: dict[int, AdmitRequest] = {}
        self._cancel_event_by_run_id: dict[int, Event] = {}

    def on_stop(self) -> None:
        """Close the execution log."""
        if self._log is not None:
            self._log.close()

    @handles(AdmitRequest)
    def _admit_request(self, message: AdmitRequest) -> None:
        run_id, admission = self._execution.admit(message.request, self._clock.now())
        if admission is None:
            self._queued_by_run_id[run_id] = message
        else:
            self._deliver_admission(admission, message)
        if self._execution.is_collapsing():
            self._collapse()

    @handles(FinishRun)
    def _finish_run(self, message: FinishRun) -> RunResult:
        now = self._clock.now()
        result = self._execution.finish(message.run_id, now)
        self._cancel_event_by_run_id.pop(message.run_id, None)
        self._write_log_line(message, result)
        for admission in self._execution.admit_queued(now):
            self._deliver_admission(admission, self._queued_by_run_id.pop(admission.run_id))
        return result

    @handles(ReadGrant)
    def _read_grant(self, message: ReadGrant) -> GrantState:
        return self._execution.grant_tracker.state(self._clock.now())

    @handles(ApplyGrant)
    def _apply_grant(self, message: ApplyGrant) -> tuple[str | None, GrantState]:
        now = self._clock.now()
        refusal = self._execution.grant_tracker.apply(message.grant, now)
        return refusal, self._execution.grant_tracker.state(now)

    @handles(ReadLoad)
    def _read_load(self, message: ReadLoad) -> Load:
        return self._execution.load(self._clock.now())

    @handles(Cancel)
    def _cancel(self, message: Cancel) -> str:
        queued, running = self._execution.cancel(message.request_id)
        for run_id in queued:
            self._deliver_admission(
                Admission(run_id, AdmissionDecision.CANCELLED), self._queued_by_run_id.pop(run_id)
            )
        for run_id in running:
            self._cancel_event_by_run_id[run_id].set()
        return "queued" if queued else "running" if running else "unknown"

    @handles(InjectFault)
    def _inject_fault(self, message: InjectFault) -> None:
        parameters = {"boot_id": new_boot_id(), **message.parameters}
        FAULTS.get(message.fault)(self._execution, parameters, self._clock.now())

    @handles(ReadFaults)
    def _read_faults(self, message: ReadFaults) -> dict[str, Any]:
        return asdict(self._execution.faults)

    def _deliver_admission(self, admission: Admission, message: AdmitRequest) -> None:
        if admission.decision is AdmissionDecision.RUN:
            self._cancel_event_by_run_id[admission.run_id] = message.cancelled
        message.admission.set(admission)

    def _collapse(self) -> None:
        now = self._clock.now()
        faults = self._execution.faults
        duration_s = faults.cold_until - faults.cold_from
        self._execution.cold_start(new_boot_id(), duration_s, faults.cold_factor, now)

    def _write_log_line(self, run: FinishRun, result: RunResult) -> None:
        if self._log is None:
            return
        line = {
            "request_id": run.request.request_id,
            "key": run.request.key,
            "server_id": self._execution.settings.server_id,
            "start": run.start,
            "end": self._ended_at(run, result),
            "ending": result.ending.value,
        }
        self._log.write(json.dumps(line) + "\n")
        self._log.flush()

    def _ended_at(self, run: FinishRun, result: RunResult) -> float:
        if result.term_ended_at is None:
            return run.end
        # A run that outlives its term is rolled back as of the end of that term.
        overrun_s = self._clock.now() - result.term_ended_at
        return max(run.start, min(run.end, time.time() - overrun_s))


def new_boot_id() -> str:
    """Return a random boot id."""
    return secrets.token_hex(4)
