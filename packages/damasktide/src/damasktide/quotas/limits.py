"""How far the usage of an organisation may exceed its cap, and what the excess is used for."""

from dataclasses import dataclass

from damasktide.organisations.organisation import Organisation

# Parts of the tolerated excess. An allocator hands out this part in addition to the cap, so that a
# small organisation whose requests arrive at random is not refused while within its cap.
ALLOCATOR_PART = 0.4
# Instances that cannot draw use this part over all of them, and an allocator that they reach again
# charges it.
OFFLINE_PART = 0.6
# A new allocator starts with this part, because the one before may have handed out all the rest.
INITIAL_PART = 0.3
# A window on one machine may be slightly longer than on another.
WINDOW_MARGIN = 1.05


@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """Bound on the requests of an organisation in any window, over all instances.

    Attributes
    ----------
    excess
        Tolerated excess over the cap, as a fraction.
    slack
        Tolerated requests in addition to that.
    window_s
        Length of the window in seconds.
    """

    excess: float = 0.1
    slack: float = 20.0
    window_s: float = 5.0

    def bound(self, organisation: Organisation) -> float:
        """Return the largest number of requests in any window."""
        return self._cap(organisation) + self.tolerance(organisation)

    def tolerance(self, organisation: Organisation) -> float:
        """Return the number of requests by which a window may exceed the cap."""
        return self._cap(organisation) * self.excess + self.slack

    def depth(self, organisation: Organisation) -> float:
        """Return the largest number of unused tokens over all instances."""
        return max(1.0, organisation.burst, ALLOCATOR_PART * self.tolerance(organisation))

    def refill_per_s(self, organisation: Organisation) -> float:
        """Return the tokens per second that an allocator adds.

        The depth and the refill of a window together are the cap and the allocator's part of the
        tolerance, so a caller that sends steadily may use the burst in each window.
        """
        allowed = self._cap(organisation) + ALLOCATOR_PART * self.tolerance(organisation)
        refill = (allowed - self.depth(organisation)) / self.window_s
        return max(organisation.requests_per_s, refill)

    def initial_tokens(self, organisation: Organisation) -> float:
        """Return the tokens with which a new allocator starts."""
        return min(self.depth(organisation), INITIAL_PART * self.tolerance(organisation))

    def offline_tokens(self, organisation: Organisation) -> int:
        """Return the requests per window that instances without an allocator may share."""
        return int(OFFLINE_PART * self.tolerance(organisation))

    def _cap(self, organisation: Organisation) -> float:
        return organisation.requests_per_s * self.window_s + organisation.burst
