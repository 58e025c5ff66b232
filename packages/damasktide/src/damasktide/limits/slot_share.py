"""An instance's share of a number of slots that are dealt out one by one."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotShare:
    """Position of an instance in the order in which slots are dealt to all members.

    Slot ``k`` belongs to the member at position ``k % members``. The shares of all members
    add up to the limit for every limit, and no share grows when members are added, so views
    that differ only by extra members never add up to more than the limit.

    Attributes
    ----------
    position
        Place of this instance in the order, from 0.
    members
        Number of instances that share; 0 means that this instance has no share.
    """

    position: int = 0
    members: int = 1

    def of(self, limit: int) -> int:
        """Return this instance's part of ``limit`` slots."""
        if self.members == 0 or limit <= self.position:
            return 0
        return (limit - self.position + self.members - 1) // self.members


WHOLE = SlotShare(0, 1)
NOTHING = SlotShare(0, 0)
