"""Checks a run by the execution logs of the backend servers and the callers' records."""

from collections.abc import Iterator, Mapping
from itertools import pairwise
from typing import Any

from damasktide.ownership.shards import ShardSpace
from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.ownership_world.history import (
    Attempt,
    Execution,
    History,
    find_violations,
)
from damasktide_standins.process_faults.load import CallRecord


def history_of(cluster: LocalCluster, record: CallRecord) -> History:
    """Return the executions of the servers and the outcomes that callers received."""
    return History(list(_executions(cluster)), list(record.received))


def violations(cluster: LocalCluster, record: CallRecord) -> list[str]:
    """Return a line for each violation of a guarantee."""
    return find_violations(history_of(cluster, record))


def longest_gap_s(record: CallRecord, key: str, start: float, end: float) -> float:
    """Return the longest time in [``start``, ``end``] without a response for ``key``."""
    times = [served.at for served in record.served if served.key == key]
    inside = [start, *(at for at in sorted(times) if start <= at <= end), end]
    return max(later - earlier for earlier, later in pairwise(inside))


def _executions(cluster: LocalCluster) -> Iterator[Execution]:
    layout = cluster.layout
    space = ShardSpace(
        layout.services[0].shards, tuple(sorted(set(layout.region_by_domain.values())))
    )
    # The execution logs hold no attempt numbers, so each attempt counts as number 1, as it does in
    # the callers' records.
    for line in cluster.executions():
        if line["key"] and _has_effect(line):
            yield Execution(
                server=str(line["server_id"]),
                shard=space.shard_of(str(line["key"])),
                start=float(str(line["start"])),
                end=float(str(line["end"])),
                attempt=Attempt(str(line["request_id"]), 1),
            )


def _has_effect(line: Mapping[str, Any]) -> bool:
    return bool(line["ending"] == "completed")
