"""Reads what an instrumented instance has counted."""

import json
import signal
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from damasktide_standins.cluster.local_cluster import LocalCluster

INSTRUMENTED = "damasktide_standins.measure.instrumented"
_SNAPSHOT_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Counts of one instance.

    Attributes
    ----------
    at
        Monotonic time in seconds.
    bytes_by_kind
        Bytes and calls of the sockets.
    samples
        Number of samples and the stack of each, innermost function first.
    """

    at: float
    bytes_by_kind: Counter[str]
    samples: tuple[tuple[int, tuple[str, ...]], ...]


def take_snapshot(cluster: LocalCluster, name: str) -> Snapshot:
    """Ask an instrumented instance for its counts."""
    path = cluster.path / f"{name}.measured.json"
    path.unlink(missing_ok=True)
    cluster.process_by_name[name].send(signal.SIGUSR1)
    cluster.wait_until(path.exists, _SNAPSHOT_TIMEOUT_S, f"snapshot of {name}")
    raw: dict[str, Any] = json.loads(path.read_text())
    samples = tuple((count, tuple(stack)) for count, stack in raw["samples"])
    return Snapshot(raw["at"], Counter(raw["bytes"]), samples)


def bytes_per_s(before: Snapshot, after: Snapshot) -> dict[str, float]:
    """Return the rates of all counters between two snapshots."""
    spent_s = after.at - before.at
    return {
        kind: (count - before.bytes_by_kind[kind]) / spent_s
        for kind, count in after.bytes_by_kind.items()
    }


def new_samples(before: Snapshot, after: Snapshot) -> Iterator[tuple[int, tuple[str, ...]]]:
    """Yield the samples taken between two snapshots."""
    known = {stack: count for count, stack in before.samples}
    for count, stack in after.samples:
        if count > known.get(stack, 0):
            yield count - known.get(stack, 0), stack
