"""Tracks which instances share a limit, from a membership view that may be outdated."""

from collections.abc import Iterable
from dataclasses import dataclass

from damasktide.membership.instances import Instance, InstanceState

GROWTH_DELAY_S = 2.0
CONTACT_TIMEOUT_S = 1.0
# Instance ids contain a random incarnation. If departed ids were kept forever, each restart
# would reduce the share that an instance without contact uses. 15 min is MAX_STORELESS_RENEWAL_S,
# after which an isolated instance serves no keys.
DEPARTED_RETENTION_S = 900.0


@dataclass(frozen=True, slots=True)
class Member:
    """An instance and its state according to membership."""

    instance: Instance
    state: InstanceState


class SharerTracker:
    """Determines the instances with which this instance shares limits.

    A new member counts at once. A departed member still counts for 2 s, by which time its own
    share has ended or shrunk. If no peer has contacted this instance for 1 s, and until contact
    has lasted 2 s again, all known instances count, including departed ones, because the others
    may have stopped counting this one. A new instance has no share for its first 2 s.

    Parameters
    ----------
    own
        This instance.
    growth_delay_s
        Seconds before a share may grow.
    contact_timeout_s
        Seconds without a message from a peer after which the view counts as outdated.
    """

    def __init__(
        self,
        own: Instance,
        growth_delay_s: float = GROWTH_DELAY_S,
        contact_timeout_s: float = CONTACT_TIMEOUT_S,
    ) -> None:
        self._own = own
        self._growth_delay_s = growth_delay_s
        self._contact_timeout_s = contact_timeout_s
        self._known_by_id = {own.instance_id: own}
        self._departed_at_by_id: dict[str, float] = {}
        self._first_view_at: float | None = None
        self._contact_since = float("-inf")
        self._last_contact_at = float("-inf")

    @property
    def own(self) -> Instance:
        """The instance that runs this process."""
        return self._own

    def set_members(self, now: float, members: Iterable[Member]) -> None:
        """Replace the view; instances that are not listed or have failed count as departed."""
        if self._first_view_at is None:
            self._first_view_at = now
        present = {
            member.instance.instance_id: member.instance
            for member in members
            if member.state is not InstanceState.FAILED
        }
        present[self._own.instance_id] = self._own
        self._known_by_id |= present
        for instance_id in self._known_by_id:
            if instance_id in present:
                self._departed_at_by_id.pop(instance_id, None)
            else:
                self._departed_at_by_id.setdefault(instance_id, now)
        if self._in_contact(now):
            # An isolated instance must still count peers that keep running without it.
            self._drop_departed(now)

    def record_contact(self, now: float) -> None:
        """Record that a message from a peer was received."""
        if now - self._last_contact_at > self._contact_timeout_s:
            self._contact_since = now
        self._last_contact_at = now

    def sharers(self, now: float) -> tuple[Instance, ...]:
        """Return the instances that share, including this one; empty if it has no share yet."""
        if self._first_view_at is None or now - self._first_view_at < self._growth_delay_s:
            return ()
        if not self._in_contact(now):
            return tuple(self._known_by_id.values())
        return tuple(
            instance
            for instance_id, instance in self._known_by_id.items()
            if instance_id not in self._departed_at_by_id
            or now - self._departed_at_by_id[instance_id] < self._growth_delay_s
        )

    def _in_contact(self, now: float) -> bool:
        return (
            now - self._last_contact_at <= self._contact_timeout_s
            and now - self._contact_since >= self._growth_delay_s
        )

    def _drop_departed(self, now: float) -> None:
        for instance_id, departed_at in list(self._departed_at_by_id.items()):
            if now - departed_at > DEPARTED_RETENTION_S:
                del self._departed_at_by_id[instance_id]
                del self._known_by_id[instance_id]
