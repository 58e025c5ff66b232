"""Tracks pending moves: which may complete, and which acknowledgements the others wait for."""

from collections.abc import Iterator, Mapping, Set

from damasktide.ownership.grant_expiry import GrantExpiryProof
from damasktide.ownership.reachability import ReachabilityTracker
from damasktide.ownership.shard_map import (
    ConfirmerSet,
    PendingMove,
    ShardMap,
    with_settled_confirmers,
    without_pending,
)

# Failure domain, and the map version before which all grants of its servers have to expire.
_ProofKey = tuple[str, int]


class MoveProgress:
    """Tracks the pending moves and confirmer changes of one service by their acknowledgements.

    A change of the confirmers is settled once no instance can use the older confirmer sets any
    more; until then the row keeps them.

    Parameters
    ----------
    policy
        Isolation policy of the service.
    max_deadline_s
        Longest request deadline in seconds if the service's servers do not check grants, else
        None.
    """

    def __init__(self, policy: str, max_deadline_s: float | None) -> None:
        self._policy = policy
        self._max_deadline_s = max_deadline_s
        self._acked_version_by_id: dict[str, int] = {}
        self._proof_by_key: dict[_ProofKey, GrantExpiryProof] = {}
        self._settlement_proof_by_key: dict[_ProofKey, GrantExpiryProof] = {}

    def on_new_map(self, shard_map: ShardMap, own_id: str, now: float) -> None:
        """Update the proofs for a map adopted at ``now``; this instance acknowledges the map."""
        self._proof_by_key = {
            key: self._proof_by_key.get(key) or self._new_proof(key, sets, now)
            for key, sets in _pending_keys(shard_map)
        }
        self._settlement_proof_by_key = {
            key: self._settlement_proof_by_key.get(key) or self._new_proof(key, sets, now)
            for key, sets in _settlement_keys(shard_map)
        }
        self.record_ack(own_id, shard_map.version, now)

    def record_ack(self, instance_id: str, version: int, now: float) -> None:
        """Record that an instance has adopted ``version`` or newer."""
        previous = self._acked_version_by_id.get(instance_id, 0)
        self._acked_version_by_id[instance_id] = max(previous, version)
        self._proof_by_key = _with_ack(self._proof_by_key, instance_id, version, now)
        self._settlement_proof_by_key = _with_ack(
            self._settlement_proof_by_key, instance_id, version, now
        )

    def missing_acks(self, shard_map: ShardMap, controlled: Set[str]) -> set[str]:
        """Return the confirmers that moves from the controlled servers still wait for."""
        return {
            instance_id
            for move in shard_map.pending
            if move.old_owner in controlled
            for instance_id in self._missing(self._proof_of(shard_map, move))
        }

    def missing_settlement_acks(self, shard_map: ShardMap) -> set[str]:
        """Return the confirmers that must still acknowledge before older sets are dropped."""
        return {
            instance_id
            for proof in self._settlement_proof_by_key.values()
            for instance_id in self._missing(proof)
        }

    def completed(
        self,
        shard_map: ShardMap,
        controlled: Set[str],
        reachability: ReachabilityTracker,
        now: float,
    ) -> ShardMap | None:
        """Return the map with all moves completed that may complete, or None if none may."""
        shards = [
            move.shard
            for move in shard_map.pending
            if move.old_owner in controlled
            and (_is_fenced(move, reachability) or self._is_expiry_proven(shard_map, move, now))
        ]
        return without_pending(shard_map, shards) if shards else None

    def is_settled(self, shard_map: ShardMap, now: float) -> bool:
        """Return whether there are older confirmer sets and no instance can use them any more."""
        if len(shard_map.confirmer_sets) < 2:
            return False
        return all(proof.complete_at() <= now for proof in self._settlement_proof_by_key.values())

    def settled(self, shard_map: ShardMap) -> ShardMap:
        """Return the map with only the current confirmer set."""
        return with_settled_confirmers(shard_map)

    def complete_at_by_shard(self, shard_map: ShardMap, now: float) -> Mapping[int, float]:
        """Return the time at which the grant expiry proof of each pending shard completes."""
        return {
            move.shard: self._proof_of(shard_map, move).complete_at() for move in shard_map.pending
        }

    def next_completion(self, shard_map: ShardMap, after: float) -> float:
        """Return the completion time of the first grant expiry proof later than ``after``."""
        times = self.complete_at_by_shard(shard_map, after).values()
        return min((time for time in times if time > after), default=float("inf"))

    def _new_proof(
        self, key: _ProofKey, sets: tuple[ConfirmerSet, ...], now: float
    ) -> GrantExpiryProof:
        domain, since_version = key
        proof = GrantExpiryProof(
            domain=domain,
            policy=self._policy,
            since_version=since_version,
            durable_at=now,
            confirmer_sets=sets,
            max_deadline_s=self._max_deadline_s,
        ).started()
        for instance_id, version in self._acked_version_by_id.items():
            if version >= since_version:
                proof = proof.with_ack(instance_id, now)
        return proof

    def _proof_of(self, shard_map: ShardMap, move: PendingMove) -> GrantExpiryProof:
        return self._proof_by_key[_proof_key(shard_map, move)]

    def _is_expiry_proven(self, shard_map: ShardMap, move: PendingMove, now: float) -> bool:
        return self._proof_of(shard_map, move).complete_at() <= now

    @staticmethod
    def _missing(proof: GrantExpiryProof) -> frozenset[str]:
        return frozenset() if proof.blocked_at is not None else proof.missing()


def _with_ack(
    proof_by_key: Mapping[_ProofKey, GrantExpiryProof], instance_id: str, version: int, now: float
) -> dict[_ProofKey, GrantExpiryProof]:
    return {
        key: proof.with_ack(instance_id, now) if version >= proof.since_version else proof
        for key, proof in proof_by_key.items()
    }


def _is_fenced(move: PendingMove, reachability: ReachabilityTracker) -> bool:
    """Return whether the old owner accepted a grant without the shard and has drained it."""
    contact = reachability.get(move.old_owner)
    return (
        contact is not None
        and contact.accepted_version >= move.since_version
        and contact.draining == 0
    )


def _proof_key(shard_map: ShardMap, move: PendingMove) -> _ProofKey:
    return shard_map.server_by_id()[move.old_owner].domain, move.since_version


def _pending_keys(
    shard_map: ShardMap,
) -> Iterator[tuple[_ProofKey, tuple[ConfirmerSet, ...]]]:
    """Yield the key of each required proof, with the confirmer sets of older map versions."""
    domain_by_id = {server.server_id: server.domain for server in shard_map.servers}
    keys = {(domain_by_id[move.old_owner], move.since_version) for move in shard_map.pending}
    for key in sorted(keys):
        older = tuple(s for s in shard_map.confirmer_sets if s.since_version < key[1])
        # If no older set remains, all of them are settled: each either had the same confirmers
        # for this failure domain as the oldest remaining set, or can no longer be used.
        yield key, older or shard_map.confirmer_sets[:1]


def _settlement_keys(
    shard_map: ShardMap,
) -> Iterator[tuple[_ProofKey, tuple[ConfirmerSet, ...]]]:
    """Yield a proof key for each failure domain whose confirmers changed, with the old sets."""
    current = shard_map.confirmers
    older = shard_map.confirmer_sets[:-1]
    domains = {domain for confirmers in older for domain in confirmers.ids_by_domain}
    for domain in sorted(domains):
        changed = tuple(s for s in older if _voters(s, domain) != _voters(current, domain))
        if changed:
            yield (domain, current.since_version), changed


def _voters(confirmers: ConfirmerSet, domain: str) -> tuple[frozenset[str], frozenset[str]]:
    return confirmers.own_ids(domain), confirmers.witness_ids(domain)
