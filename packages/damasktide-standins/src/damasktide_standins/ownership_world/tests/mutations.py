"""Mutations, each a list of patches that disable one mechanism of the protocol."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from damasktide.ownership import grant_expiry, moves, quorums
from damasktide.ownership.grant_expiry import GrantExpiryProof
from damasktide.ownership.moves import MoveProgress
from damasktide.ownership.reachability import Contact
from damasktide.ownership.renewal_leases import RenewalLeaseTracker
from damasktide.runtime.registry import Registry
from damasktide_standins.ownership_world.server import ServerNode
from damasktide_standins.ownership_world.table import FakeTable

Patches = list[Any]
mutations: Registry[str, Patches] = Registry("mutation")


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """Disable one mechanism of the protocol."""
    patches = mutations.get(name)
    for patcher in patches:
        patcher.start()
    try:
        yield
    finally:
        for patcher in patches:
            patcher.stop()


def _blocked_immediately(proof: GrantExpiryProof) -> GrantExpiryProof:
    return GrantExpiryProof(
        proof.domain,
        proof.policy,
        proof.since_version,
        proof.durable_at,
        proof.confirmer_sets,
        proof.acked,
        proof.durable_at,
        proof.max_deadline_s,
    )


def _quorum_without_witness(confirmers: Any, domain: str, confirmed: Any) -> bool:
    own_ids = confirmers.own_ids(domain)
    return len(own_ids & confirmed) * 2 > len(own_ids)


def _write_unconditionally(
    table: FakeTable, row: Any, based_on: int, change_id: str, reply: Any
) -> None:
    table.row, table.change_id = row, change_id
    reply(True)


mutations.register("basis and term of a grant")(
    [
        patch.object(ServerNode, "is_current", lambda self, grant: True),
        patch("damasktide_standins.ownership_world.server._grant_end", lambda grant: float("inf")),
    ]
)
mutations.register("term of a grant")(
    [patch.object(ServerNode, "is_current", lambda self, grant: True)]
)
mutations.register("expiry of a renewal lease")(
    [patch.object(RenewalLeaseTracker, "valid_until", lambda self, confirmers: float("inf"))]
)
# R is the TTL of a renewal lease, G that of a grant.
mutations.register("wait of R + G")(
    [patch.object(GrantExpiryProof, "complete_at", lambda self: self.durable_at)]
)
mutations.register("acknowledgements that block")(
    [patch.object(GrantExpiryProof, "started", _blocked_immediately)]
)
mutations.register("witness in the quorum")(
    [
        patch.dict(quorums.quorum_rules._item_by_key, {"yield": _quorum_without_witness}),
        patch.object(
            grant_expiry,
            "is_blocked",
            lambda policy, confirmers, domain, acked: bool(
                confirmers.witness_ids(domain) <= acked
            ),
        ),
    ]
)
mutations.register("version fence")(
    [patch.object(ServerNode, "is_fenced", lambda self, grant: False)]
)
mutations.register("conditional write")(
    [patch.object(FakeTable, "_apply", _write_unconditionally)]
)
mutations.register("settlement of confirmer sets")(
    [
        patch.object(
            MoveProgress,
            "is_settled",
            lambda self, shard_map, now: len(shard_map.confirmer_sets) > 1,
        )
    ]
)
mutations.register("draining")([patch.object(ServerNode, "draining", lambda self: 0)])
mutations.register("commit check")(
    [patch.object(ServerNode, "may_commit", lambda self, running: True)]
)
mutations.register("newer map row read after a restart")(
    [patch.object(Contact, "may_be_granted", lambda self, map_row_read_at: True)]
)
mutations.register("fence of a reachable owner")(
    [patch.object(moves, "_is_fenced", lambda move, reachability: True)]
)
