"""What an outside observer sees, and a checker that knows nothing else."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """What a caller was told about an attempt."""

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
    """A request whose effect a server committed; times are the observer's, in seconds."""

    server: str
    shard: int
    start: float
    end: float
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Received:
    """What a caller received for an attempt, and for which attempt the answer was made."""

    attempt: Attempt
    outcome: Outcome
    answers: Attempt | None = None


@dataclass
class History:
    """All executions and all that callers received."""

    executions: list[Execution] = field(default_factory=list)
    received: list[Received] = field(default_factory=list)


def faults_of(history: History) -> list[str]:
    """Return a line for each thing in the history that must never happen."""
    return [
        *_overlaps(history),
        *_repeated_executions(history),
        *_crossed_answers(history),
        *_false_refusals(history),
    ]


def _overlaps(history: History) -> Iterator[str]:
    executions_by_shard: dict[int, list[Execution]] = defaultdict(list)
    for execution in history.executions:
        executions_by_shard[execution.shard].append(execution)
    for shard, executions in executions_by_shard.items():
        running: list[Execution] = []
        for execution in sorted(executions, key=lambda item: item.start):
            running = [other for other in running if other.end > execution.start]
            for other in running:
                if other.server != execution.server:
                    yield (
                        f"shard {shard}: {other.server} [{other.start:.3f}, {other.end:.3f}] and "
                        f"{execution.server} [{execution.start:.3f}, {execution.end:.3f}] overlap"
                    )
            running.append(execution)


def _repeated_executions(history: History) -> Iterator[str]:
    count_by_id = Counter(item.attempt.request_id for item in history.executions)
    for request_id, count in count_by_id.items():
        if count > 1:
            yield f"request {request_id} ran {count} times"


def _crossed_answers(history: History) -> Iterator[str]:
    for item in history.received:
        if item.outcome is Outcome.DONE and item.answers != item.attempt:
            yield f"caller of {item.attempt} got the answer to {item.answers}"


def _false_refusals(history: History) -> Iterator[str]:
    executed = {item.attempt for item in history.executions}
    for item in history.received:
        if item.outcome is Outcome.NOT_RUN and item.attempt in executed:
            yield f"{item.attempt} was refused as not run, but ran"


def longest_gap_by_shard(
    history: History, shards: int, start: float, end: float
) -> dict[int, float]:
    """Return the longest time in [``start``, ``end``] without an execution of each shard."""
    moments_by_shard: dict[int, list[float]] = {shard: [start] for shard in range(shards)}
    for execution in sorted(history.executions, key=lambda item: item.end):
        if start <= execution.end <= end:
            moments_by_shard[execution.shard].append(execution.end)
    return {
        shard: max(b - a for a, b in zip(moments, [*moments[1:], end], strict=True))
        for shard, moments in moments_by_shard.items()
    }
