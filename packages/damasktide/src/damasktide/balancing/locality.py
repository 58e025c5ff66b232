"""Distance levels of targets, and the byte budget of the link between regions."""

from dataclasses import dataclass

from damasktide.balancing.targets import Target
from damasktide.limits.token_bucket import TokenBucket

SAME_DOMAIN = 0
SAME_REGION = 1
OTHER_REGION = 2
LEVELS = (SAME_DOMAIN, SAME_REGION, OTHER_REGION)
LINK_BURST_S = 1.0


@dataclass(frozen=True, slots=True)
class Locality:
    """Location of this instance."""

    domain: str
    region: str

    def level_of(self, target: Target) -> int:
        """Return the distance level of ``target``, from 0 in the same failure domain to 2."""
        if target.region != self.region:
            return OTHER_REGION
        return SAME_DOMAIN if target.domain == self.domain else SAME_REGION


class LinkBudget:
    """Bytes that this instance may send over the link between regions.

    Parameters
    ----------
    bytes_per_s
        Steady rate in bytes per second.
    now
        Monotonic time in seconds.

    Attributes
    ----------
    counted_bytes
        Bytes counted since the budget was created.
    """

    def __init__(self, bytes_per_s: float, now: float) -> None:
        self.counted_bytes = 0
        self._bucket = TokenBucket(bytes_per_s, bytes_per_s * LINK_BURST_S, now)

    def set_rate(self, bytes_per_s: float, now: float) -> None:
        """Change the steady rate."""
        self._bucket.set_rate(bytes_per_s, bytes_per_s * LINK_BURST_S, now)

    def allows(self, now: float, size: int) -> bool:
        """Return whether ``size`` bytes may cross the link now."""
        return self._bucket.has(now, max(size, 1))

    def count(self, now: float, size: int) -> None:
        """Charge bytes that cross the link, even if the budget becomes negative."""
        self.counted_bytes += size
        self._bucket.charge(now, size)
