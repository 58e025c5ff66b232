"""Reads the counters and stack samples of an instrumented instance."""

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
    """Counters and stack samples of one instance.

    Attributes
    ----------
    at
        Time of the snapshot from ``time.monotonic``.
    bytes_by_kind
        Transferred bytes and number of calls by kind of socket operation.
    samples
        Number of samples for each stack; a stack starts with the innermost function.
    """

    at: float
    bytes_by_kind: Counter[str]
    samples: tuple[tuple[int, tuple[str, ...]], ...]


def take_snapshot(cluster: LocalCluster, name: str) -> Snapshot:
    """Request a snapshot from an instrumented instance and read it."""
    path = cluster.path / f"{name}.measured.json"
    path.unlink(missing_ok=True)
    cluster.process_by_name[name].send(signal.SIGUSR1)
    cluster.wait_until(path.exists, _SNAPSHOT_TIMEOUT_S, f"snapshot of {name}")
    raw: dict[str, Any] = json.loads(path.read_text())
    samples = tuple((count, tuple(stack)) for count, stack in raw["samples"])
    return Snapshot(raw["at"], Counter(raw["bytes"]), samples)


def bytes_per_s(before: Snapshot, after: Snapshot) -> dict[str, float]:
    """Return the rate of each counter per second between two snapshots."""
    elapsed_s = after.at - before.at
    return {
        kind: (count - before.bytes_by_kind[kind]) / elapsed_s
        for kind, count in after.bytes_by_kind.items()
    }


def new_samples(before: Snapshot, after: Snapshot) -> Iterator[tuple[int, tuple[str, ...]]]:
    """Yield number and stack of the samples taken between two snapshots."""
    count_by_stack = {stack: count for count, stack in before.samples}
    for count, stack in after.samples:
        if count > count_by_stack.get(stack, 0):
            yield count - count_by_stack.get(stack, 0), stack
