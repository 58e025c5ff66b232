"""Assigns roles to instances by rendezvous hashing; each instance computes them on its own.

No role has to be exclusive: if two instances both believe that they have a role, the
conditional write of the map row decides between them.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import cached_property, lru_cache
from hashlib import blake2b

from damasktide.membership.instances import Instance
from damasktide.ownership.shard_map import ConfirmerSet, OwnerServer

READERS_PER_DOMAIN = 2
RENEWERS_PER_SERVER = 2
MONITORS_PER_DOMAIN = 2
SAMPLE_PER_DOMAIN = 5


# Enough for the roles that one instance computes at the design size; membership rarely changes.
_MAX_CACHED_RANKINGS = 2048


def rendezvous(key: str, candidate_ids: Iterable[str]) -> list[str]:
    """Return the candidates ranked for ``key`` by rendezvous hashing, the best one first."""
    return list(_ranking(key, tuple(candidate_ids)))


@lru_cache(maxsize=_MAX_CACHED_RANKINGS)
def _ranking(key: str, candidate_ids: tuple[str, ...]) -> tuple[str, ...]:
    def weight(candidate_id: str) -> bytes:
        return blake2b(f"{key}|{candidate_id}".encode(), digest_size=8).digest()

    return tuple(sorted(candidate_ids, key=weight, reverse=True))


@dataclass(frozen=True)
class Roles:
    """Roles of the instances for one service, as computed by one of them.

    Attributes
    ----------
    instance_id, domain
        Id and failure domain of the instance that computes the roles.
    service
        Name of the service.
    alive
        Instances that this instance believes to be alive, itself included.
    """

    instance_id: str
    domain: str
    service: str
    alive: Sequence[Instance]

    def readers(self) -> list[str]:
        """Return the instances of this failure domain that read the map row at each tick."""
        ids = self._ids_in(self.domain)
        return rendezvous(f"reader/{self.service}", ids)[:READERS_PER_DOMAIN]

    def is_placer(self) -> bool:
        """Return whether this instance plans the moves of the service, except from lost servers.

        These are moves to joining servers, from leaving servers and for balance.
        """
        ids = [instance.instance_id for instance in self.alive]
        return rendezvous(f"placer/{self.service}", ids)[:1] == [self.instance_id]

    def is_confirmer_manager(self) -> bool:
        """Return whether this instance proposes the confirmers of its failure domain."""
        ids = self._ids_in(self.domain)
        return rendezvous(f"confirmers/{self.service}", ids)[:1] == [self.instance_id]

    def monitored_domain(self, confirmers: ConfirmerSet) -> str | None:
        """Return the failure domain that this instance monitors, or None.

        Two instances of the witness domain monitor a failure domain, so that its loss is
        detected within the suspicion timeout of its servers.
        """
        monitors = rendezvous(f"guard/{self.service}", self._ids_in(self.domain))
        if self.instance_id not in monitors[:MONITORS_PER_DOMAIN]:
            return None
        domains = confirmers.region_by_domain
        return next((name for name in domains if confirmers.witness_of(name) == self.domain), None)

    def sample_of(self, domain: str) -> list[str]:
        """Return the instances of ``domain`` whose replies show that the domain is alive."""
        return rendezvous(f"sample/{self.service}", self._ids_in(domain))[:SAMPLE_PER_DOMAIN]

    def round_robin_peer(self, turn: int) -> list[str]:
        """Return one other instance of this failure domain, the next one each turn, or none."""
        ids = sorted(set(self._ids_in(self.domain)) - {self.instance_id})
        return [ids[turn % len(ids)]] if ids else []

    def without(self, domain: str) -> "Roles":
        """Return the roles as if no instance of ``domain`` were alive."""
        return replace(self, alive=[one for one in self.alive if one.domain != domain])

    def renewers(self, server: OwnerServer, confirmers: ConfirmerSet) -> list[str]:
        """Return the instances that renew the grants of ``server``; the first controls its moves.

        They are instances of the server's failure domain. If none of these is alive, instances
        of the witness domain take their place, and if none of those is alive, any instance.
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
