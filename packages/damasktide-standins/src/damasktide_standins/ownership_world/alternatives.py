"""Measures the unavailable time of the alternatives of section 4.2 of docs/design.md.

Alternative (a) confirms long renewal leases by a majority of the own failure domain only, (b) is
the protocol as implemented, and (c) renews leases through reads of the map row only.
"""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import click

from damasktide.ownership import grant_expiry, quorums, renewal_leases
from damasktide.ownership.constants import RENEWAL_LEASE_TTL_S
from damasktide.ownership.grant_expiry import GrantExpiryProof
from damasktide.ownership.renewal_leases import RenewalLeaseTracker
from damasktide.ownership.shard_map import ConfirmerSet
from damasktide.runtime.registry import Registry
from damasktide_standins.ownership_world.history import longest_gap_by_shard
from damasktide_standins.ownership_world.scenarios import SETTLE_TIME_S, losses
from damasktide_standins.ownership_world.simulation import SHAPE_BY_NAME, Simulation

LONG_LEASE_TTL_S = 60.0
REQUEST_INTERVAL_S = 0.3

alternatives: Registry[str, list[Any]] = Registry("alternative")


def _own_majority(confirmers: ConfirmerSet, domain: str, confirmed: frozenset[str]) -> bool:
    own_ids = confirmers.own_ids(domain)
    return len(own_ids & confirmed) * 2 > len(own_ids)


def _valid_by_map_row_only(tracker: RenewalLeaseTracker, confirmers: ConfirmerSet) -> float:
    return tracker.map_row_read_at + RENEWAL_LEASE_TTL_S


def _blocked_immediately(proof: GrantExpiryProof) -> GrantExpiryProof:
    return replace(proof, blocked_at=proof.durable_at)


# A lease of (a) ends only when its TTL has passed, so a takeover needs no acknowledgements.
alternatives.register("a")(
    [
        patch.dict(quorums.quorum_rules._item_by_key, {"yield": _own_majority}),
        patch.object(renewal_leases, "RENEWAL_LEASE_TTL_S", LONG_LEASE_TTL_S),
        patch.object(grant_expiry, "RENEWAL_LEASE_TTL_S", LONG_LEASE_TTL_S),
        patch.object(GrantExpiryProof, "started", _blocked_immediately),
    ]
)
alternatives.register("b")([])
alternatives.register("c")(
    [
        patch.object(RenewalLeaseTracker, "valid_until", _valid_by_map_row_only),
        patch.object(GrantExpiryProof, "started", _blocked_immediately),
    ]
)


@contextmanager
def alternative(name: str) -> Iterator[None]:
    """Apply the patches of an alternative to the ownership state machine."""
    with ExitStack() as stack:
        for patcher in alternatives.get(name):
            stack.enter_context(patcher)
        yield


def gaps_s(name: str, loss: str, seed: int, watch_s: float) -> list[float]:
    """Return each shard's longest time without an execution after ``loss``, in seconds, sorted."""
    shape = replace(SHAPE_BY_NAME["cocoa-commons"], request_interval_s=REQUEST_INTERVAL_S)
    with alternative(name):
        simulation = Simulation(shape, seed)
        simulation.run_until(SETTLE_TIME_S)
        losses.get(loss)(simulation)
        simulation.run_until(SETTLE_TIME_S + watch_s)
    end = simulation.queue.now
    return sorted(
        longest_gap_by_shard(simulation.history, shape.shards, SETTLE_TIME_S, end).values()
    )


@click.command()
@click.option("--name", type=click.Choice(["a", "b", "c"]), required=True)
@click.option("--seeds", default=2, help="Number of seeds, from 1.")
@click.option("--watch-s", default=75.0, help="Seconds to observe after the loss.")
def main(name: str, seeds: int, watch_s: float) -> None:
    """Print p50, p99 and maximum unavailable time over shards and seeds, for each loss."""
    for loss in losses:
        gaps = sorted(g for s in range(1, seeds + 1) for g in gaps_s(name, loss, s, watch_s))
        p50, p99 = gaps[len(gaps) // 2], gaps[int(len(gaps) * 0.99)]
        click.echo(f"({name}) {loss}: p50 {p50:.2f} s, p99 {p99:.2f} s, max {gaps[-1]:.2f} s")


if __name__ == "__main__":
    main()
