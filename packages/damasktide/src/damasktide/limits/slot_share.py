"""An instance's share of slots that are assigned round-robin."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotShare:
    """Position of an instance in the order in which slots are assigned to all members.

    Slot ``k`` belongs to the member at position ``k % members``, so the shares of all members
    add up to any given limit. Adding a member never increases the share of another one. Even if
    the views of the instances differ, their shares therefore add up to at most the limit as long
    as every view includes all running instances; additional members only leave slots unused.

    Attributes
    ----------
    position
        Position of this instance in the order, from 0.
    members
        Number of instances that share; 0 means that this instance has no share.
    """

    position: int = 0
    members: int = 1

    def of(self, limit: int) -> int:
        """Return how many of ``limit`` slots belong to this instance."""
        if self.members == 0 or limit <= self.position:
            return 0
        return (limit - self.position + self.members - 1) // self.members


FULL_SHARE = SlotShare(0, 1)
NO_SHARE = SlotShare(0, 0)
