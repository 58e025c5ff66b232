"""Table of the members that an instance knows."""

from collections.abc import Iterator
from dataclasses import replace

from damasktide.membership.claims import Claim, Health, contradicts, merge_claims
from damasktide.membership.instances import Instance
from damasktide.membership.messages import MembershipView

SUSPICION_S = 0.8
# Each observer asks a suspect itself before it declares it failed, because a refutation may
# reach this observer later than the suspicion did. Leaves two round trips between regions.
LAST_CALL_S = 0.3
FAILED_VISIBLE_S = 30.0
# A failed member is remembered, unseen, so that the sides of a long network partition find
# each other again and late claims about it do not bring it back.
FAILED_REMEMBERED_S = 3600.0


class MemberTable:
    """What this instance believes about itself and the others.

    Parameters
    ----------
    own
        This instance.
    """

    def __init__(self, own: Instance) -> None:
        self.own = Claim(own)
        self.changed = True
        self._peer_ids: tuple[str, ...] | None = None
        self._claim_by_id: dict[str, Claim] = {}
        self._deadline_by_suspect_id: dict[str, float] = {}
        self._uncalled_suspect_ids: set[str] = set()
        self._failed_at_by_id: dict[str, float] = {}
        self._removed_ids: set[str] = set()

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
        """Return what is believed about a peer, or None if it is unknown."""
        return self._claim_by_id.get(instance_id)

    def is_live(self, instance_id: str) -> bool:
        """Return whether a peer is known and has not failed."""
        claim = self._claim_by_id.get(instance_id)
        return claim is not None and claim.health is not Health.FAILED

    def is_contradicted_by(self, claim: Claim) -> bool:
        """Return whether the claim says that a peer held to have failed is alive."""
        held = self._claim_by_id.get(claim.instance_id)
        return held is not None and contradicts(held, claim)

    def lost_instances(self) -> Iterator[Instance]:
        """Yield the failed instances that did not leave by themselves."""
        for instance_id in self._failed_at_by_id:
            claim = self._claim_by_id[instance_id]
            if not claim.leaving:
                yield claim.instance

    def apply(self, claim: Claim, from_subject: bool, now: float) -> Claim | None:
        """Take in a claim about a peer and return the new belief if it changed."""
        held = self._claim_by_id.get(claim.instance_id)
        if held is None:
            if claim.health is Health.FAILED:
                return None
            self._set(claim, now)
            return claim
        merged = merge_claims(held, claim, from_subject)
        if merged is held:
            return None
        self._set(merged, now)
        return merged

    def suspect(self, instance_id: str, now: float) -> Claim | None:
        """Suspect a live peer and return the new belief if it changed."""
        held = self._claim_by_id[instance_id]
        return self.apply(replace(held, health=Health.SUSPECT), False, now)

    def refute(self, claim: Claim) -> bool:
        """Raise the own incarnation above a claim about this instance, if it is not alive."""
        if claim.health is Health.ALIVE or claim.incarnation < self.own.incarnation:
            return False
        self.own = replace(self.own, incarnation=claim.incarnation + 1)
        return True

    def raise_incarnation(self) -> None:
        """Refute any suspicion that may exist."""
        self.own = replace(self.own, incarnation=self.own.incarnation + 1)

    def depart(self) -> None:
        """Mark this instance as gone."""
        self.own = replace(self.own, health=Health.FAILED, leaving=True)
        self.changed = True

    def leave(self) -> None:
        """Mark this instance as leaving."""
        self.own = replace(self.own, leaving=True)
        self.changed = True

    def restart_suspicions(self, now: float) -> None:
        """Give all suspects the full time again."""
        for instance_id in self._deadline_by_suspect_id:
            self._deadline_by_suspect_id[instance_id] = now + SUSPICION_S
        self._uncalled_suspect_ids.update(self._deadline_by_suspect_id)

    def last_calls(self, now: float) -> Iterator[str]:
        """Yield once the ids of suspects whose time is nearly over."""
        for instance_id in tuple(self._uncalled_suspect_ids):
            if self._deadline_by_suspect_id[instance_id] - now <= LAST_CALL_S:
                self._uncalled_suspect_ids.discard(instance_id)
                yield instance_id

    def expire_suspicions(self, now: float) -> Iterator[Claim]:
        """Declare the suspects failed whose time is over and yield the new beliefs."""
        for instance_id, deadline in tuple(self._deadline_by_suspect_id.items()):
            if deadline <= now:
                claim = replace(self._claim_by_id[instance_id], health=Health.FAILED)
                self._set(claim, now)
                yield claim

    def forget_failed(self, now: float) -> None:
        """Remove failed members from the view, and later from memory."""
        for instance_id, failed_at in tuple(self._failed_at_by_id.items()):
            age = now - failed_at
            if age >= FAILED_VISIBLE_S and instance_id not in self._removed_ids:
                self._removed_ids.add(instance_id)
                self.changed = True
            if age >= FAILED_REMEMBERED_S:
                self._removed_ids.discard(instance_id)
                del self._failed_at_by_id[instance_id]
                del self._claim_by_id[instance_id]

    def view(self, last_contact: float) -> MembershipView:
        """Return an immutable view that includes this instance."""
        visible = {
            claim.instance_id: claim
            for claim in (self.own, *self._claim_by_id.values())
            if claim.instance_id not in self._removed_ids
        }
        return MembershipView(
            {instance_id: claim.instance for instance_id, claim in visible.items()},
            {instance_id: claim.state for instance_id, claim in visible.items()},
            last_contact,
        )

    def _set(self, claim: Claim, now: float) -> None:
        instance_id = claim.instance_id
        held = self._claim_by_id.get(instance_id)
        self._claim_by_id[instance_id] = claim
        if held is None or held.state is not claim.state or held.instance != claim.instance:
            self.changed = True
        if held is not None and (held.health, held.incarnation) == (
            claim.health,
            claim.incarnation,
        ):
            return
        self._restart_timers(claim, now)
        if held is None or (held.health is Health.FAILED) != (claim.health is Health.FAILED):
            self._peer_ids = None

    def _restart_timers(self, claim: Claim, now: float) -> None:
        instance_id = claim.instance_id
        self._deadline_by_suspect_id.pop(instance_id, None)
        self._uncalled_suspect_ids.discard(instance_id)
        self._failed_at_by_id.pop(instance_id, None)
        self._removed_ids.discard(instance_id)
        if claim.health is Health.SUSPECT:
            self._deadline_by_suspect_id[instance_id] = now + SUSPICION_S
            self._uncalled_suspect_ids.add(instance_id)
        elif claim.health is Health.FAILED:
            self._failed_at_by_id[instance_id] = now
