"""Which targets can be reached with orders."""

from collections.abc import Iterable
from dataclasses import dataclass

from damasktide.keyspace.key_map import Incarnation

# A target whose grants fail for this long has its keys moved.
LOST_AFTER_S = 0.9
# A target that was given up gets no keys for this time, besides the time for which an order may
# still arrive, so that it is silent before they may return to it. The time doubles with each try
# that finds it out of reach still: its keys are not served for the length of a hold then.
LEFT_OUT_FIRST_S = 4.0
LEFT_OUT_LONGEST_S = 16.0
# With more than this part of the targets out of reach the instance itself is cut off, and moving
# keys would only take them from targets that others can reach.
CUT_OFF_PART = 0.5


@dataclass(slots=True)
class _Contact:
    failing_since: float | None = None
    left_out_until: float = float("-inf")
    left_out_s: float = 0.0


class ReachabilityTracker:
    """Remembers which lives of targets fail to answer orders."""

    def __init__(self) -> None:
        self._contact_by_life: dict[Incarnation, _Contact] = {}

    def answered(self, incarnation: Incarnation) -> None:
        """Note an answer."""
        contact = self._contact_by_life.get(incarnation)
        if contact is not None:
            contact.failing_since = None
            contact.left_out_s = 0.0

    def failed(
        self, now: float, incarnation: Incarnation, is_leaving: bool, last_arrival_s: float
    ) -> None:
        """Note an order without an answer, or that the target takes no more orders.

        ``last_arrival_s`` is how long the order may still take to arrive, in seconds.
        """
        contact = self._contact_by_life.setdefault(incarnation, _Contact())
        if contact.failing_since is None:
            contact.failing_since = now
        if is_leaving or now - contact.failing_since >= LOST_AFTER_S:
            if now >= contact.left_out_until:
                doubled_s = min(LEFT_OUT_LONGEST_S, 2.0 * contact.left_out_s)
                contact.left_out_s = max(LEFT_OUT_FIRST_S, doubled_s)
            left_out_s = max(LEFT_OUT_FIRST_S, contact.left_out_s)
            contact.left_out_until = now + left_out_s + last_arrival_s

    def is_left_out(self, now: float, incarnation: Incarnation) -> bool:
        """Return whether the target is to hold no keys at present."""
        contact = self._contact_by_life.get(incarnation)
        return contact is not None and now < contact.left_out_until

    def reachable(self, now: float, incarnations: Iterable[Incarnation]) -> frozenset[Incarnation]:
        """Return the lives that may hold keys; all of them if this instance seems cut off."""
        known = frozenset(incarnations)
        found = frozenset(
            incarnation for incarnation in known if not self.is_left_out(now, incarnation)
        )
        return found if len(known) - len(found) <= CUT_OFF_PART * len(known) else known

    def keep_only(self, target_ids: frozenset[str]) -> None:
        """Forget targets other than ``target_ids``."""
        self._contact_by_life = {
            incarnation: contact
            for incarnation, contact in self._contact_by_life.items()
            if incarnation[0] in target_ids
        }
