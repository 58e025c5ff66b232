"""Which instances share a limit, from a view of the membership that may be old."""

from collections.abc import Iterable
from dataclasses import dataclass

from damasktide.membership.instances import Instance, InstanceState

GROWTH_DELAY_S = 2.0
CONTACT_S = 1.0
# Instance ids contain a random incarnation, so without this the fallback would shrink with
# every restart. 15 min is the hold limit, after which a cut-off instance serves no keys.
FORGET_S = 900.0


@dataclass(frozen=True, slots=True)
class Member:
    """An instance and what membership believes about it."""

    instance: Instance
    state: InstanceState


class SharingView:
    """Decides with whom this instance shares.

    A member that appears shares at once. A member that departed still counts for 2 s, in
    which its own share has certainly ended or shrunk. Without contact to a peer for 1 s, and
    until contact has lasted 2 s again, all instances ever known count, because the others
    may have counted this one out. A new instance has no share for its first 2 s.

    Parameters
    ----------
    own
        This instance.
    growth_delay_s
        Seconds before a share may grow.
    contact_s
        Seconds without a message from a peer after which the view counts as old.
    """

    def __init__(
        self, own: Instance, growth_delay_s: float = GROWTH_DELAY_S, contact_s: float = CONTACT_S
    ) -> None:
        self._own = own
        self._growth_delay_s = growth_delay_s
        self._contact_s = contact_s
        self._known_by_id = {own.instance_id: own}
        self._departed_at_by_id: dict[str, float] = {}
        self._first_view_at: float | None = None
        self._contact_since = float("-inf")
        self._heard_at = float("-inf")

    @property
    def own(self) -> Instance:
        """The instance that runs this process."""
        return self._own

    def set_members(self, now: float, members: Iterable[Member]) -> None:
        """Replace the view; members that are absent count as departed."""
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
            # A cut-off instance must not forget those that still serve without it.
            self._forget(now)

    def hear(self, now: float) -> None:
        """Take in that a message from a peer has arrived."""
        if now - self._heard_at > self._contact_s:
            self._contact_since = now
        self._heard_at = now

    def sharers(self, now: float) -> tuple[Instance, ...]:
        """Return the instances that share, this one included; empty if it has no share yet."""
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
            now - self._heard_at <= self._contact_s
            and now - self._contact_since >= self._growth_delay_s
        )

    def _forget(self, now: float) -> None:
        for instance_id, departed_at in list(self._departed_at_by_id.items()):
            if now - departed_at > FORGET_S:
                del self._departed_at_by_id[instance_id]
                del self._known_by_id[instance_id]
