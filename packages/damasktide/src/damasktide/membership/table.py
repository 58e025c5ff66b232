"""Table of the members known to an instance."""

from collections.abc import Iterator
from dataclasses import replace

from damasktide.membership.claims import Claim, Health, contradicts, merge_claims
from damasktide.membership.instances import Instance
from damasktide.membership.messages import MembershipView

SUSPICION_TIMEOUT_S = 0.8
# Before an observer declares a suspect failed, it pings the suspect itself, because a refutation
# can take longer to reach this observer than the suspicion did. This lead before the timeout
# leaves time for two round trips between regions.
FINAL_PING_LEAD_S = 0.3
FAILED_VISIBLE_S = 30.0
# A failed member stays in the table after it is hidden from the view, so that the sides of a long
# network partition can rejoin each other and late claims about it do not revive it.
FAILED_REMEMBERED_S = 3600.0


class MemberTable:
    """Latest accepted claims about this instance and its peers.

    Parameters
    ----------
    own_instance
        Instance that the table belongs to.
    """

    def __init__(self, own_instance: Instance) -> None:
        self.own_claim = Claim(own_instance)
        self.has_view_changed = True
        self._peer_ids: tuple[str, ...] | None = None
        self._claim_by_id: dict[str, Claim] = {}
        self._times_out_at_by_suspect_id: dict[str, float] = {}
        self._unpinged_suspect_ids: set[str] = set()
        self._failed_at_by_id: dict[str, float] = {}
        self._hidden_ids: set[str] = set()

    @property
    def peer_ids(self) -> tuple[str, ...]:
        """Ids of the peers that have not failed."""
        if self._peer_ids is None:
            self._peer_ids = tuple(filter(self.is_live, self._claim_by_id))
        return self._peer_ids

    def live_instances(self) -> Iterator[Instance]:
        """Yield the peers that have not failed."""
        return (self._claim_by_id[peer_id].instance for peer_id in self.peer_ids)

    def get(self, instance_id: str) -> Claim | None:
        """Return the current claim about a peer, or None if the peer is unknown."""
        return self._claim_by_id.get(instance_id)

    def is_live(self, instance_id: str) -> bool:
        """Return whether a peer is known and has not failed."""
        claim = self._claim_by_id.get(instance_id)
        return claim is not None and claim.health is not Health.FAILED

    def is_contradicted_by(self, claim: Claim) -> bool:
        """Return whether the claim reports a peer as live that this table lists as failed."""
        current = self._claim_by_id.get(claim.instance_id)
        return current is not None and contradicts(current, claim)

    def lost_instances(self) -> Iterator[Instance]:
        """Yield the failed instances that did not leave gracefully."""
        for instance_id in self._failed_at_by_id:
            claim = self._claim_by_id[instance_id]
            if not claim.leaving:
                yield claim.instance

    def apply(self, claim: Claim, is_from_subject: bool, now: float) -> Claim | None:
        """Merge a claim about a peer and return the resulting claim if it changed."""
        current = self._claim_by_id.get(claim.instance_id)
        if current is None:
            if claim.health is Health.FAILED:
                return None
            self._set(claim, now)
            return claim
        merged = merge_claims(current, claim, is_from_subject)
        if merged is current:
            return None
        self._set(merged, now)
        return merged

    def suspect(self, instance_id: str, now: float) -> Claim | None:
        """Suspect a live peer and return the resulting claim if it changed."""
        current = self._claim_by_id[instance_id]
        return self.apply(replace(current, health=Health.SUSPECT), False, now)

    def refute(self, claim: Claim) -> bool:
        """Raise the incarnation of this instance above that of a claim that it is not alive.

        Returns
        -------
        bool
            Whether the incarnation was raised.
        """
        if claim.health is Health.ALIVE or claim.incarnation < self.own_claim.incarnation:
            return False
        self.own_claim = replace(self.own_claim, incarnation=claim.incarnation + 1)
        return True

    def raise_incarnation(self) -> None:
        """Refute any suspicion that peers may hold against this instance."""
        self.own_claim = replace(self.own_claim, incarnation=self.own_claim.incarnation + 1)

    def depart(self) -> None:
        """Mark this instance as stopped."""
        self.own_claim = replace(self.own_claim, health=Health.FAILED, leaving=True)
        self.has_view_changed = True

    def leave(self) -> None:
        """Mark this instance as leaving."""
        self.own_claim = replace(self.own_claim, leaving=True)
        self.has_view_changed = True

    def restart_suspicions(self, now: float) -> None:
        """Restart the suspicion timeout of every suspect."""
        for instance_id in self._times_out_at_by_suspect_id:
            self._times_out_at_by_suspect_id[instance_id] = now + SUSPICION_TIMEOUT_S
        self._unpinged_suspect_ids.update(self._times_out_at_by_suspect_id)

    def due_final_pings(self, now: float) -> Iterator[str]:
        """Yield each suspect once, shortly before its suspicion times out."""
        for instance_id in tuple(self._unpinged_suspect_ids):
            if self._times_out_at_by_suspect_id[instance_id] - now <= FINAL_PING_LEAD_S:
                self._unpinged_suspect_ids.discard(instance_id)
                yield instance_id

    def expire_suspicions(self, now: float) -> Iterator[Claim]:
        """Declare suspects failed whose suspicion has timed out and yield the new claims."""
        for instance_id, times_out_at in tuple(self._times_out_at_by_suspect_id.items()):
            if times_out_at <= now:
                claim = replace(self._claim_by_id[instance_id], health=Health.FAILED)
                self._set(claim, now)
                yield claim

    def expire_failed(self, now: float) -> None:
        """Hide failed members from the view, and later remove them from the table."""
        for instance_id, failed_at in tuple(self._failed_at_by_id.items()):
            age = now - failed_at
            if age >= FAILED_VISIBLE_S and instance_id not in self._hidden_ids:
                self._hidden_ids.add(instance_id)
                self.has_view_changed = True
            if age >= FAILED_REMEMBERED_S:
                self._hidden_ids.discard(instance_id)
                del self._failed_at_by_id[instance_id]
                del self._claim_by_id[instance_id]

    def view(self, last_contact: float) -> MembershipView:
        """Return an immutable view that includes this instance."""
        visible = {
            claim.instance_id: claim
            for claim in (self.own_claim, *self._claim_by_id.values())
            if claim.instance_id not in self._hidden_ids
        }
        return MembershipView(
            {instance_id: claim.instance for instance_id, claim in visible.items()},
            {instance_id: claim.state for instance_id, claim in visible.items()},
            last_contact,
        )

    def _set(self, claim: Claim, now: float) -> None:
        instance_id = claim.instance_id
        current = self._claim_by_id.get(instance_id)
        self._claim_by_id[instance_id] = claim
        if (
            current is None
            or current.state is not claim.state
            or current.instance != claim.instance
        ):
            self.has_view_changed = True
        if current is not None and (current.health, current.incarnation) == (
            claim.health,
            claim.incarnation,
        ):
            return
        self._restart_timers(claim, now)
        if current is None or (current.health is Health.FAILED) != (claim.health is Health.FAILED):
            self._peer_ids = None

    def _restart_timers(self, claim: Claim, now: float) -> None:
        instance_id = claim.instance_id
        self._times_out_at_by_suspect_id.pop(instance_id, None)
        self._unpinged_suspect_ids.discard(instance_id)
        self._failed_at_by_id.pop(instance_id, None)
        self._hidden_ids.discard(instance_id)
        if claim.health is Health.SUSPECT:
            self._times_out_at_by_suspect_id[instance_id] = now + SUSPICION_TIMEOUT_S
            self._unpinged_suspect_ids.add(instance_id)
        elif claim.health is Health.FAILED:
            self._failed_at_by_id[instance_id] = now
