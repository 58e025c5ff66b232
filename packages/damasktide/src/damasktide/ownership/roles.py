"""Which instance does which duty, computed by each instance from its own view.

No duty needs to be exclusive: the conditional write of the map row decides between two
instances that both believe they have a duty.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import cached_property, lru_cache
from hashlib import blake2b

from damasktide.membership.instances import Instance
from damasktide.ownership.shard_map import ConfirmerSet, OwnerServer

READERS_PER_DOMAIN = 2
RENEWERS_PER_SERVER = 2
GUARDS_PER_DOMAIN = 2
SAMPLE_PER_DOMAIN = 5


# Enough for the duties of one instance at the design size; membership seldom changes.
_KEPT_RANKINGS = 2048


def rendezvous(key: str, candidate_ids: Iterable[str]) -> list[str]:
    """Return the candidates by descending rendezvous hash of ``key``."""
    return list(_ranking(key, tuple(candidate_ids)))


@lru_cache(maxsize=_KEPT_RANKINGS)
def _ranking(key: str, candidate_ids: tuple[str, ...]) -> tuple[str, ...]:
    def weight(candidate_id: str) -> bytes:
        return blake2b(f"{key}|{candidate_id}".encode(), digest_size=8).digest()

    return tuple(sorted(candidate_ids, key=weight, reverse=True))


@dataclass(frozen=True)
class Roles:
    """Duties of the instances that one instance believes to be alive.

    Attributes
    ----------
    instance_id, domain
        The instance that computes the duties, and its failure domain.
    service
        Name of the service.
    alive
        Instances believed to be alive, itself included.
    """

    instance_id: str
    domain: str
    service: str
    alive: Sequence[Instance]

    def readers(self) -> list[str]:
        """Return the instances of this failure domain that read the map row."""
        ids = self._ids_in(self.domain)
        return rendezvous(f"reader/{self.service}", ids)[:READERS_PER_DOMAIN]

    def is_placer(self) -> bool:
        """Return whether this instance plans joins, leaves and balance for the service."""
        ids = [instance.instance_id for instance in self.alive]
        return rendezvous(f"placer/{self.service}", ids)[:1] == [self.instance_id]

    def is_confirmer_manager(self) -> bool:
        """Return whether this instance proposes the confirmers of its failure domain."""
        ids = self._ids_in(self.domain)
        return rendezvous(f"confirmers/{self.service}", ids)[:1] == [self.instance_id]

    def guarded_domain(self, confirmers: ConfirmerSet) -> str | None:
        """Return the failure domain that this instance guards, or None.

        Two instances of the witness domain watch a failure domain, so that its loss is noticed
        within the suspicion time of its servers.
        """
        guards = rendezvous(f"guard/{self.service}", self._ids_in(self.domain))
        if self.instance_id not in guards[:GUARDS_PER_DOMAIN]:
            return None
        domains = confirmers.region_by_domain
        return next((name for name in domains if confirmers.witness_of(name) == self.domain), None)

    def sample_of(self, domain: str) -> list[str]:
        """Return the instances of ``domain`` whose replies show that it is alive."""
        return rendezvous(f"sample/{self.service}", self._ids_in(domain))[:SAMPLE_PER_DOMAIN]

    def neighbour(self, turn: int) -> list[str]:
        """Return another instance of this failure domain, a different one each turn."""
        ids = sorted(set(self._ids_in(self.domain)) - {self.instance_id})
        return [ids[turn % len(ids)]] if ids else []

    def without(self, domain: str) -> "Roles":
        """Return the duties as if no instance of ``domain`` were alive."""
        return replace(self, alive=[one for one in self.alive if one.domain != domain])

    def renewers(self, server: OwnerServer, confirmers: ConfirmerSet) -> list[str]:
        """Return the instances that renew ``server``; the first one controls its moves.

        Where no instance of its failure domain is alive, the witness domain steps in, and
        then any other instance.
        """
        ids = self._ids_in(server.domain)
        if not ids:
            ids = self._ids_in(confirmers.witness_of(server.domain))
        if not ids:
            ids = tuple(instance.instance_id for instance in self.alive)
        return rendezvous(f"server/{server.server_id}", ids)[:RENEWERS_PER_SERVER]

    def controls(self, server: OwnerServer, confirmers: ConfirmerSet) -> bool:
        """Return whether this instance controls the moves of ``server``."""
        return self.renewers(server, confirmers)[:1] == [self.instance_id]

    def _ids_in(self, domain: str | None) -> tuple[str, ...]:
        return self._ids_by_domain.get(domain, ())

    @cached_property
    def _ids_by_domain(self) -> Mapping[str | None, tuple[str, ...]]:
        ids_by_domain: dict[str | None, list[str]] = {}
        for instance in self.alive:
            ids_by_domain.setdefault(instance.domain, []).append(instance.instance_id)
        return {domain: tuple(ids) for domain, ids in ids_by_domain.items()}
