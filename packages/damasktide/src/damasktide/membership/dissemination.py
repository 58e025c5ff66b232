"""Queue of claims to disseminate."""

import math
from collections.abc import Callable, Iterator

from damasktide.membership.claims import Claim

TRANSMISSIONS_PER_DOUBLING = 2
# The first transmissions of a claim do not wait for the next probe. An epidemic in which each
# instance sends four copies reaches 98% of the instances; piggybacking on probes reaches the rest.
URGENT_TRANSMISSIONS = 4


def transmission_limit(members: int) -> int:
    """Return how often an instance sends a claim; logarithmic in the number of members."""
    return TRANSMISSIONS_PER_DOUBLING * math.ceil(math.log2(members + 1))


class GossipQueue:
    """Claims with their transmission counts; the least transmitted are sent first."""

    def __init__(self) -> None:
        self._claim_by_id: dict[str, Claim] = {}
        self._transmissions_by_id: dict[str, int] = {}

    def put(self, claim: Claim) -> None:
        """Add a claim; it replaces an earlier one about the same instance."""
        self._claim_by_id[claim.instance_id] = claim
        self._transmissions_by_id[claim.instance_id] = 0

    def has_urgent(self) -> bool:
        """Return whether any claim has urgent transmissions left."""
        return any(count < URGENT_TRANSMISSIONS for count in self._transmissions_by_id.values())

    def take(
        self, free_bytes: int, bytes_of: Callable[[Claim], int], limit: int
    ) -> Iterator[Claim]:
        """Yield the claims that fit and count one transmission for each.

        Parameters
        ----------
        free_bytes
            Free space in the datagram, in bytes.
        bytes_of
            Encoded size of a claim, in bytes.
        limit
            Transmissions after which a claim is dropped.
        """
        if not self._claim_by_id:
            return
        counts = self._transmissions_by_id
        for instance_id in sorted(counts, key=counts.__getitem__):
            claim = self._claim_by_id[instance_id]
            size = bytes_of(claim)
            if size > free_bytes:
                return
            free_bytes -= size
            self._count_transmission(instance_id, limit)
            yield claim

    def _count_transmission(self, instance_id: str, limit: int) -> None:
        self._transmissions_by_id[instance_id] += 1
        if self._transmissions_by_id[instance_id] >= limit:
            del self._transmissions_by_id[instance_id]
            del self._claim_by_id[instance_id]
