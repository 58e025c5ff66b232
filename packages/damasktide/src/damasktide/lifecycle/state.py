"""State machine of an instance from start to stop."""

from dataclasses import dataclass, replace
from enum import Enum

# Time for the platform's load balancer to notice that the instance is no longer ready.
SERVE_AFTER_DRAIN_S = 2.0
# Callers on keep-alive connections get a refusal instead of a connection reset.
MIN_REFUSE_S = 0.5
LONGEST_DEADLINE_S = 60.0


class Phase(Enum):
    """Phases of an instance, in order."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    REFUSING = "refusing"
    ABORTING = "aborting"
    STOPPED = "stopped"


_SERVING = frozenset({Phase.READY, Phase.LEAVING})
_BEFORE_DRAIN = frozenset({Phase.STARTING, Phase.READY})


@dataclass(frozen=True, slots=True)
class StopTimes:
    """Times of a graceful stop, in seconds on the monotonic clock.

    Attributes
    ----------
    unlisted_at
        When the load balancer sends no new connections any more.
    abort_at
        When requests that are still in flight are aborted.
    """

    unlisted_at: float
    abort_at: float


@dataclass(frozen=True, slots=True)
class LifecycleSnapshot:
    """State of the lifecycle, published for request handlers and probes.

    Attributes
    ----------
    phase
        Current phase.
    failed_task
        Name of the first task that failed, or an empty string.
    stop_times
        Times of the graceful stop, or None before it has begun.
    """

    phase: Phase = Phase.STARTING
    failed_task: str = ""
    stop_times: StopTimes | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections."""
        return self.phase is Phase.READY

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are served; otherwise they are refused with ``draining``."""
        return self.phase in _SERVING

    @property
    def closes_connections(self) -> bool:
        """Whether responses close the connection, so that callers connect to other instances."""
        return self.phase not in _BEFORE_DRAIN

    @property
    def exit_code(self) -> int:
        """Exit code of the process: 1 after a failed task, otherwise 0."""
        return 1 if self.failed_task else 0


class Lifecycle:
    """Decides when an instance is ready, refuses requests and stops.

    Times are seconds on the monotonic clock.

    Parameters
    ----------
    serve_after_drain_s
        Seconds for which requests are still served after the drain has begun.
    longest_deadline_s
        Longest time in seconds that requests in flight get to finish after the instance has
        begun to refuse requests.
    abort_s
        Time in seconds that requests which are in flight after that get to respond to their
        callers. With 0 the instance stops without responses to them.
    """

    def __init__(
        self,
        serve_after_drain_s: float = SERVE_AFTER_DRAIN_S,
        longest_deadline_s: float = LONGEST_DEADLINE_S,
        abort_s: float = 0.0,
    ) -> None:
        self._serve_after_drain_s = serve_after_drain_s
        self._longest_deadline_s = longest_deadline_s
        self._abort_s = abort_s
        self._snapshot = LifecycleSnapshot()
        self._in_flight = 0
        self._phase_since = 0.0
        self._has_counted_all_requests = False

    @property
    def snapshot(self) -> LifecycleSnapshot:
        """Current state."""
        return self._snapshot

    @property
    def in_flight(self) -> int:
        """Requests that have started and not finished."""
        return self._in_flight

    def mark_ready(self, now: float) -> None:
        """Enter the ready phase, unless a drain has already begun."""
        if self._snapshot.phase is Phase.STARTING:
            self._enter(Phase.READY, now)

    def begin_drain(self, now: float) -> None:
        """Become unready and begin to drain; a second call does not restart the drain."""
        if self._snapshot.phase in _BEFORE_DRAIN:
            unlisted_at = now + self._serve_after_drain_s
            stop_times = StopTimes(unlisted_at, unlisted_at + self._longest_deadline_s)
            self._snapshot = replace(self._snapshot, stop_times=stop_times)
            self._enter(Phase.LEAVING, now)

    def fail_task(self, task_name: str, now: float) -> None:
        """Record a failed task and begin to drain; only the first failure is recorded."""
        if not self._snapshot.failed_task:
            self._snapshot = replace(self._snapshot, failed_task=task_name)
        self.begin_drain(now)

    def start_request(self) -> None:
        """Count a request that was accepted."""
        self._in_flight += 1

    def finish_request(self) -> None:
        """Count a request whose response has been written."""
        self._in_flight -= 1

    def confirm_counts(self) -> None:
        """Record that all requests accepted before the refusing phase have been counted."""
        if self._snapshot.phase is Phase.REFUSING:
            self._has_counted_all_requests = True

    def tick(self, now: float) -> None:
        """Enter the next phase if its time has come."""
        stop_times = self._snapshot.stop_times
        if stop_times is None:
            return
        has_finished = self._has_counted_all_requests and self._in_flight == 0
        match self._snapshot.phase:
            case Phase.LEAVING if now >= stop_times.unlisted_at:
                self._enter(Phase.REFUSING, now)
            case Phase.REFUSING if now >= stop_times.abort_at:
                self._enter(Phase.ABORTING if self._abort_s > 0.0 else Phase.STOPPED, now)
            case Phase.REFUSING if has_finished and now >= self._phase_since + MIN_REFUSE_S:
                self._enter(Phase.STOPPED, now)
            case Phase.ABORTING if has_finished or now >= stop_times.abort_at + self._abort_s:
                self._enter(Phase.STOPPED, now)

    def _enter(self, phase: Phase, now: float) -> None:
        self._snapshot = replace(self._snapshot, phase=phase)
        self._phase_since = now
