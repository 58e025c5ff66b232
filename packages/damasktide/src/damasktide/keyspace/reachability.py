"""Tracks which targets can be reached with commands."""

from collections.abc import Iterable
from dataclasses import dataclass

from damasktide.keyspace.key_map import Incarnation

# The keys of a target whose grants fail for this long are moved.
UNREACHABLE_AFTER_S = 0.9
# An unreachable target gets no keys for this time plus the time for which a command may still
# arrive, so that its grants have expired before keys may return to it. The time doubles with each
# attempt that finds it still unreachable, because each attempt leaves the keys that it assigns
# unserved for the length of a hold.
INITIAL_EXCLUSION_S = 4.0
MAX_EXCLUSION_S = 16.0
# If more than this share of the targets is unreachable, this instance itself is taken to be
# isolated: moving keys would only take them from targets that other instances can reach.
ISOLATION_RATIO = 0.5


@dataclass(slots=True)
class _Contact:
    failing_since: float | None = None
    excluded_until: float = float("-inf")
    exclusion_s: float = 0.0


class ReachabilityTracker:
    """Tracks which incarnations of targets do not respond to commands."""

    def __init__(self) -> None:
        self._contact_by_incarnation: dict[Incarnation, _Contact] = {}

    def record_response(self, incarnation: Incarnation) -> None:
        """Record a response."""
        contact = self._contact_by_incarnation.get(incarnation)
        if contact is not None:
            contact.failing_since = None
            contact.exclusion_s = 0.0

    def record_failure(
        self, now: float, incarnation: Incarnation, is_leaving: bool, max_arrival_delay_s: float
    ) -> None:
        """Record that a command got no response, or that the target accepts no more commands.

        ``max_arrival_delay_s`` is the longest time for which the command may still arrive, in
        seconds.
        """
        contact = self._contact_by_incarnation.setdefault(incarnation, _Contact())
        if contact.failing_since is None:
            contact.failing_since = now
        if is_leaving or now - contact.failing_since >= UNREACHABLE_AFTER_S:
            if now >= contact.excluded_until:
                doubled_s = min(MAX_EXCLUSION_S, 2.0 * contact.exclusion_s)
                contact.exclusion_s = max(INITIAL_EXCLUSION_S, doubled_s)
            exclusion_s = max(INITIAL_EXCLUSION_S, contact.exclusion_s)
            contact.excluded_until = now + exclusion_s + max_arrival_delay_s

    def is_excluded(self, now: float, incarnation: Incarnation) -> bool:
        """Return whether the target must not hold keys at present."""
        contact = self._contact_by_incarnation.get(incarnation)
        return contact is not None and now < contact.excluded_until

    def reachable(self, now: float, incarnations: Iterable[Incarnation]) -> frozenset[Incarnation]:
        """Return the incarnations that may hold keys, or all if this instance seems isolated."""
        known = frozenset(incarnations)
        found = frozenset(
            incarnation for incarnation in known if not self.is_excluded(now, incarnation)
        )
        return found if len(known) - len(found) <= ISOLATION_RATIO * len(known) else known

    def retain_only(self, target_ids: frozenset[str]) -> None:
        """Drop the records of all targets except ``target_ids``."""
        self._contact_by_incarnation = {
            incarnation: contact
            for incarnation, contact in self._contact_by_incarnation.items()
            if incarnation[0] in target_ids
        }
