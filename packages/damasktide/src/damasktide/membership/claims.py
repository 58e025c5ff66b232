"""Claims about instances, and the rules for merging them."""

from dataclasses import dataclass, replace
from enum import IntEnum

from damasktide.membership.instances import Instance, InstanceState


class Health(IntEnum):
    """Health of an instance; at equal incarnation, the higher value takes precedence.

    An instance is called live unless it is ``FAILED``.
    """

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2


@dataclass(frozen=True, slots=True)
class Claim:
    """A statement of an instance about the state of a peer or of itself.

    Attributes
    ----------
    instance
        The instance that the claim is about.
    incarnation
        The incarnation number of SWIM, which only the instance itself raises, in order to refute a
        suspicion. It is not the incarnation of the process that is part of the instance's id.
    health
        Health of the instance.
    leaving
        Whether it has begun a graceful stop; never reset once set.
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
        """State that is reported to other packages."""
        if self.health is Health.FAILED:
            return InstanceState.FAILED
        if self.leaving:
            return InstanceState.LEAVING
        if self.health is Health.SUSPECT:
            return InstanceState.SUSPECT
        return InstanceState.ALIVE


def merge_claims(current: Claim, received: Claim, is_from_subject: bool) -> Claim:
    """Merge a received claim into the current one about the same instance.

    A failure reported by a third party only makes an instance suspect. After a network partition
    heals, each side still lists the other side as failed; without this rule, both would adopt
    these failures from each other before any instance could refute them. A reported failure of a
    leaving instance is adopted directly, since no refutation is expected from it.

    Parameters
    ----------
    current
        The claim accepted so far.
    received
        The received claim about the same instance.
    is_from_subject
        Whether the sender made the claim about itself.

    Returns
    -------
    Claim
        The merged claim; ``current`` itself if the received claim adds nothing.
    """
    leaving = current.leaving or received.leaving
    health = received.health
    if health is Health.FAILED and not (leaving or is_from_subject):
        health = Health.SUSPECT
    if (received.incarnation, health) <= (current.incarnation, current.health):
        return replace(current, leaving=leaving) if leaving != current.leaving else current
    return Claim(received.instance, received.incarnation, health, leaving)


def contradicts(current: Claim, received: Claim) -> bool:
    """Return whether a received claim reports an instance as live that is listed as failed.

    A claim with a higher incarnation does not contradict the failure: it refutes it.
    """
    return (
        current.health is Health.FAILED
        and received.health is not Health.FAILED
        and received.incarnation <= current.incarnation
    )
