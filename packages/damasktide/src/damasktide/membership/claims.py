"""Claims about instances and the rules by which a newer claim replaces an older one."""

from dataclasses import dataclass, replace
from enum import IntEnum

from damasktide.membership.instances import Instance, InstanceState


class Health(IntEnum):
    """Health of an instance; at the same incarnation, the higher value is the newer claim."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2


@dataclass(frozen=True, slots=True)
class Claim:
    """What one instance says about another one or about itself.

    Attributes
    ----------
    instance
        The instance that the claim is about.
    incarnation
        Number that only this instance raises, in order to refute a suspicion.
    health
        Its health.
    leaving
        Whether it has begun a graceful stop; this is never taken back.
    """

    instance: Instance
    incarnation: int = 0
    health: Health = Health.ALIVE
    leaving: bool = False

    @property
    def instance_id(self) -> str:
        """Id of the instance that the claim is about."""
        return self.instance.instance_id

    @property
    def state(self) -> InstanceState:
        """State that other slices see."""
        if self.health is Health.FAILED:
            return InstanceState.FAILED
        if self.leaving:
            return InstanceState.LEAVING
        if self.health is Health.SUSPECT:
            return InstanceState.SUSPECT
        return InstanceState.ALIVE


def merge_claims(held: Claim, received: Claim, from_subject: bool) -> Claim:
    """Return what to believe after a claim was received.

    Somebody else's claim of failure only makes an instance suspect. Both sides of a healed
    network partition hold the other side to have failed, and would otherwise take this from
    each other before anyone could refute it. An instance that is leaving refutes nothing.

    Parameters
    ----------
    held
        What was believed so far.
    received
        The claim about the same instance.
    from_subject
        Whether the instance made the claim about itself.

    Returns
    -------
    Claim
        ``held`` if the received claim says nothing newer.
    """
    leaving = held.leaving or received.leaving
    health = received.health
    if health is Health.FAILED and not (leaving or from_subject):
        health = Health.SUSPECT
    if (received.incarnation, health) <= (held.incarnation, held.health):
        return replace(held, leaving=leaving) if leaving != held.leaving else held
    return Claim(received.instance, received.incarnation, health, leaving)


def contradicts(held: Claim, received: Claim) -> bool:
    """Return whether somebody still sees an instance that is held to have failed."""
    return (
        held.health is Health.FAILED
        and received.health is not Health.FAILED
        and received.incarnation <= held.incarnation
    )
