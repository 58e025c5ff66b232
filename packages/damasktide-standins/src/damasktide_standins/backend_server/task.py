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
    Arrival,
    Finish,
    Load,
    Start,
    Verdict,
)


@dataclass(frozen=True, slots=True)
class Enter:
    """A request wants to run; ``started`` receives a :class:`Start`, ``cancelled`` is set early.

    The reply may come after other messages, so it has its own channel.
    """

    arrival: Arrival
    started: AsyncResult
    cancelled: Event


@dataclass(frozen=True, slots=True)
class Leave:
    """A run has ended; times are seconds of ``time.time``."""

    run_id: int
    arrival: Arrival
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class ReadGrant:
    """Asks for the :class:`GrantState`."""


@dataclass(frozen=True, slots=True)
class ApplyGrant:
    """Asks to adopt a grant; the reply is a pair of refusal or None, and the state."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class ReadLoad:
    """Asks for the :class:`Load`."""


@dataclass(frozen=True, slots=True)
class Cancel:
    """Asks to cancel a request; the reply is ``queued``, ``running`` or ``unknown``."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Inject:
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
        Open text file for one JSON line per run, or None.
    """

    def __init__(self, execution: Execution, clock: Clock, log: IO[str] | None) -> None:
        super().__init__(f"execution {execution.settings.server_id}")
        self._execution = execution
        self._clock = clock
        self._log = log
        self._waiting: dict[int, Enter] = {}
        self._cancel_by_run: dict[int, Event] = {}

    def on_stop(self) -> None:
        """Close the execution log."""
        if self._log is not None:
            self._log.close()

    @handles(Enter)
    def _enter(self, message: Enter) -> None:
        run_id, start = self._execution.enter(message.arrival, self._clock.now())
        if start is None:
            self._waiting[run_id] = message
        else:
            self._announce(start, message)
        if self._execution.is_collapsing():
            self._collapse()

    @handles(Leave)
    def _leave(self, message: Leave) -> Finish:
        now = self._clock.now()
        finish = self._execution.leave(message.run_id, now)
        self._cancel_by_run.pop(message.run_id, None)
        self._write(message, finish)
        for start in self._execution.next_starts(now):
            self._announce(start, self._waiting.pop(start.run_id))
        return finish

    @handles(ReadGrant)
    def _read_grant(self, message: ReadGrant) -> GrantState:
        return self._execution.ledger.state(self._clock.now())

    @handles(ApplyGrant)
    def _apply_grant(self, message: ApplyGrant) -> tuple[str | None, GrantState]:
        now = self._clock.now()
        refusal = self._execution.ledger.apply(message.grant, now)
        return refusal, self._execution.ledger.state(now)

    @handles(ReadLoad)
    def _read_load(self, message: ReadLoad) -> Load:
        return self._execution.load(self._clock.now())

    @handles(Cancel)
    def _cancel(self, message: Cancel) -> str:
        queued, running = self._execution.cancel(message.request_id)
        for run_id in queued:
            self._announce(Start(run_id, Verdict.CANCELLED), self._waiting.pop(run_id))
        for run_id in running:
            self._cancel_by_run[run_id].set()
        return "queued" if queued else "running" if running else "unknown"

    @handles(Inject)
    def _inject(self, message: Inject) -> None:
        parameters = {"boot_id": new_boot_id(), **message.parameters}
        FAULTS.get(message.fault)(self._execution, parameters, self._clock.now())

    @handles(ReadFaults)
    def _read_faults(self, message: ReadFaults) -> dict[str, Any]:
        return asdict(self._execution.faults)

    def _announce(self, start: Start, enter: Enter) -> None:
        if start.verdict is Verdict.RUN:
            self._cancel_by_run[start.run_id] = enter.cancelled
        enter.started.set(start)

    def _collapse(self) -> None:
        now = self._clock.now()
        faults = self._execution.faults
        seconds = faults.cold_until - faults.cold_from
        self._execution.cold_start(new_boot_id(), seconds, faults.cold_factor, now)

    def _write(self, run: Leave, finish: Finish) -> None:
        if self._log is None:
            return
        line = {
            "request_id": run.arrival.request_id,
            "key": run.arrival.key,
            "server_id": self._execution.settings.server_id,
            "start": run.start,
            "end": self._end(run, finish),
            "ending": finish.ending.value,
        }
        self._log.write(json.dumps(line) + "\n")
        self._log.flush()

    def _end(self, run: Leave, finish: Finish) -> float:
        if finish.ended_at is None:
            return run.end
        # A run that outlives its term is rolled back as of the end of the term.
        overrun_s = self._clock.now() - finish.ended_at
        return max(run.start, min(run.end, time.time() - overrun_s))


def new_boot_id() -> str:
    """Return a random boot id."""
    return secrets.token_hex(4)
