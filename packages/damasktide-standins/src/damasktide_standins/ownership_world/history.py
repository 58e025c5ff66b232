"""History of a run as an outside observer sees it, and a checker of its invariants."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """Outcome of an attempt as its caller knows it."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request that must run at most once over all its attempts."""

    request_id: str
    number: int


@dataclass(frozen=True, slots=True)
class Execution:
    """A request whose effect a server committed; times are in seconds on a clock common to all."""

    server: str
    shard: int
    start: float
    end: float
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What a caller received for an attempt.

    Attributes
    ----------
    attempt
        Attempt that the caller sent.
    outcome
        Outcome that the caller received.
    answered_attempt
        Attempt that the reply names, or None if there was no reply or it named none.
    """

    attempt: Attempt
    outcome: Outcome
    answered_attempt: Attempt | None = None


@dataclass
class History:
    """All executions by servers and all results that callers received."""

    executions: list[Execution] = field(default_factory=list)
    received: list[AttemptResult] = field(default_factory=list)


def find_violations(history: History) -> list[str]:
    """Return a line for each violation of the ownership and request guarantees."""
    return [
        *_overlaps(history),
        *_repeated_executions(history),
        *_mismatched_replies(history),
        *_false_refusals(history),
    ]


def _overlaps(history: History) -> Iterator[str]:
    executions_by_shard: dict[int, list[Execution]] = defaultdict(list)
    for execution in history.executions:
        executions_by_shard[execution.shard].append(execution)
    for shard, executions in executions_by_shard.items():
        running: list[Execution] = []
        for execution in sorted(executions, key=lambda execution: execution.start):
            running = [other for other in running if other.end > execution.start]
            for other in running:
                if other.server != execution.server:
                    yield (
                        f"shard {shard}: {other.server} [{other.start:.3f}, {other.end:.3f}] and "
                        f"{execution.server} [{execution.start:.3f}, {execution.end:.3f}] overlap"
                    )
            running.append(execution)


def _repeated_executions(history: History) -> Iterator[str]:
    count_by_id = Counter(execution.attempt.request_id for execution in history.executions)
    for request_id, count in count_by_id.items():
        if count > 1:
            yield f"request {request_id} ran {count} times"


def _mismatched_replies(history: History) -> Iterator[str]:
    for result in history.received:
        if result.outcome is Outcome.DONE and result.answered_attempt != result.attempt:
            yield f"caller of {result.attempt} received the reply to {result.answered_attempt}"


def _false_refusals(history: History) -> Iterator[str]:
    executed = {execution.attempt for execution in history.executions}
    for result in history.received:
        if result.outcome is Outcome.NOT_RUN and result.attempt in executed:
            yield f"{result.attempt} was refused as not run, but ran"


def longest_gap_by_shard(
    history: History, shards: int, start: float, end: float
) -> dict[int, float]:
    """Return for each shard the longest time in [``start``, ``end``] without an execution."""
    times_by_shard: dict[int, list[float]] = {shard: [start] for shard in range(shards)}
    for execution in sorted(history.executions, key=lambda execution: execution.end):
        if start <= execution.end <= end:
            times_by_shard[execution.shard].append(execution.end)
    return {
        shard: max(b - a for a, b in zip(times, [*times[1:], end], strict=True))
        for shard, times in times_by_shard.items()
    }
