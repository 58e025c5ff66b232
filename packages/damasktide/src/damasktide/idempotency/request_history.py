"""Request history that decides whether a non-idempotent request may run."""

from dataclasses import dataclass

from damasktide.admission.refusals import Refusal, RefusalCode
from damasktide.idempotency.records import (
    Completed,
    NotRun,
    RecordCodec,
    RequestOutcome,
    Unknown,
)

RETENTION_S = 60.0
# Room for 1,240 requests/s during the retention of 60 s, plus running requests.
MAX_RECORDS = 80_000
# Time after the deadline within which the outcome of a run must be reported.
FINISH_GRACE_S = 5.0
_RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class Proceed:
    """The request may be sent once.

    Attributes
    ----------
    run
        Number of this run, to be reported together with its outcome.
    """

    run: int


@dataclass(frozen=True, slots=True)
class Replay:
    """The request has already run; the caller gets the stored response."""

    response: Completed


Decision = Proceed | Replay | Refusal


@dataclass(frozen=True, slots=True)
class _Run:
    number: int
    outcome_due_at: float


class RequestHistory:
    """Keeps non-idempotent requests and their outcomes.

    Times are seconds on the monotonic clock.

    Parameters
    ----------
    max_records
        Maximum number of requests kept; further new requests are refused.
    retention_s
        Seconds for which a request is kept after its end.
    """

    def __init__(self, max_records: int = MAX_RECORDS, retention_s: float = RETENTION_S) -> None:
        self._max_records = max_records
        self._retention_s = retention_s
        self._codec = RecordCodec()
        self._last_run = 0
        self._run_by_identity: dict[bytes, _Run] = {}
        # Ordered by end and therefore by expiry, because the retention is constant.
        self._record_by_identity: dict[bytes, bytes] = {}

    def __len__(self) -> int:
        return len(self._run_by_identity) + len(self._record_by_identity)

    def begin(self, identity: bytes, attempt: int, timeout_s: float, now: float) -> Decision:
        """Decide whether a request may run; if it may, register the run.

        Parameters
        ----------
        identity
            Result of :func:`damasktide.idempotency.placement.identity_of`.
        attempt
            Attempt number given by the caller; 1 for the first attempt.
        timeout_s
            Seconds until the deadline of the request.
        now
            Current time.
        """
        if identity in self._run_by_identity:
            return Refusal(RefusalCode.DUPLICATE_IN_PROGRESS, "the first attempt is running", 1)
        record = self._record_by_identity.get(identity)
        if record is not None:
            outcome = self._codec.unpack(record)
            if not isinstance(outcome, NotRun):
                return _decide_by_outcome(outcome)
            del self._record_by_identity[identity]
        elif attempt > 1:
            return Refusal(RefusalCode.OUTCOME_UNKNOWN, "no record of the first attempt")
        elif len(self) >= self._max_records:
            return Refusal(
                RefusalCode.OVERLOADED, "too many requests are remembered", _RETRY_AFTER_S
            )
        return self._proceed(identity, now + timeout_s + FINISH_GRACE_S)

    def finish(self, identity: bytes, run: int, outcome: RequestOutcome, now: float) -> bool:
        """Record the outcome of a run; return False if the run is not the current one."""
        current = self._run_by_identity.get(identity)
        # A late report of an earlier run must not end the current one.
        if current is None or current.number != run:
            return False
        self._end(identity, outcome, now)
        return True

    def sweep(self, now: float) -> None:
        """Delete expired records and end runs whose outcome is overdue as unknown."""
        overdue = [
            identity
            for identity, run in self._run_by_identity.items()
            if run.outcome_due_at <= now
        ]
        for identity in overdue:
            self._end(identity, Unknown(), now)
        expired = []
        for identity, record in self._record_by_identity.items():
            if self._codec.expiry(record) > now:
                break
            expired.append(identity)
        for identity in expired:
            del self._record_by_identity[identity]

    def _proceed(self, identity: bytes, outcome_due_at: float) -> Proceed:
        self._last_run += 1
        self._run_by_identity[identity] = _Run(self._last_run, outcome_due_at)
        return Proceed(self._last_run)

    def _end(self, identity: bytes, outcome: RequestOutcome, now: float) -> None:
        del self._run_by_identity[identity]
        record = self._codec.pack(outcome, now + self._retention_s)
        self._record_by_identity[identity] = record


def _decide_by_outcome(outcome: Completed | Unknown) -> Decision:
    if isinstance(outcome, Unknown):
        return Refusal(RefusalCode.OUTCOME_UNKNOWN, "the first attempt may have run")
    if outcome.body is None:
        return Refusal(
            RefusalCode.OUTCOME_KNOWN, f"the first response had status {outcome.status}"
        )
    return Replay(outcome)
