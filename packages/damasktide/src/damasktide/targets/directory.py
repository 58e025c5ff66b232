"""Directory of the listed targets; keeps entries that expire during a store outage."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace

from damasktide.rows.store import era_of, number_of
from damasktide.targets.target import TargetEntry, TargetState, TargetView

# Time for which entries that expired during a store outage are kept, counted from the first
# response after the outage. Live targets are listed again within 2 s of the store's return.
EXPIRED_ENTRY_GRACE_S = 2.2
# Time after which an incarnation that started earlier than the known one is taken for a later one,
# if the known one has not checked in meanwhile. A live target checks in about once a second.
EARLIER_START_CONFIRMATION_S = 2.2
# Number of incarnations remembered as leaving. They are kept after their entries have gone,
# because an entry may lapse and return.
MAX_LEAVING = 4096


@dataclass(frozen=True, slots=True)
class _Return:
    """Return of a failure domain to service after an evacuation.

    Attributes
    ----------
    version
        Version of the store at which the evacuation ended.
    known_since
        Monotonic time in seconds at which this instance learned of it.
    """

    version: int
    known_since: float

    def precedes(self, version: int) -> bool:
        """Return whether a row of ``version`` was written after the return.

        A restored row is in a later era, but keeps the number that it had before.
        """
        return version > self.version and number_of(version) > number_of(self.version)


@dataclass(frozen=True, slots=True)
class _EarlierStart:
    """Latest entry of an incarnation whose start is earlier than that of the known one."""

    entry: TargetEntry
    version: int
    listed_since: float


class TargetDirectory:
    """State machine of the list of targets.

    Versions are those of the store's rows, which only increase. An older row never replaces a
    newer one, so a delayed or stale response changes nothing. A row that a restored store brings
    back never makes a target usable that was withdrawn before.

    Parameters
    ----------
    shortest_outage_s
        Shortest outage of the store, in seconds, in which the entry of a live target can expire.
    cold_s
        Returns for how many seconds at most a target of a service stays cold.
    """

    def __init__(
        self,
        shortest_outage_s: float = 0.0,
        cold_s: Callable[[str], float] = lambda service: float("inf"),
    ) -> None:
        self._shortest_outage_s = shortest_outage_s
        self._cold_s = cold_s
        self._entry_by_id: dict[str, TargetEntry] = {}
        self._version_by_id: dict[str, int] = {}
        self._evacuated_domains: frozenset[str] = frozenset()
        self._return_by_domain: dict[str, _Return] = {}
        # Monotonic time of the latest return of the targets that may be cold without saying so.
        self._unconfirmed_since_by_id: dict[str, float] = {}
        # Time until which a missing entry is kept; None until the outage in which it disappeared
        # has ended.
        self._kept_until_by_id: dict[str, float | None] = {}
        self._earlier_start_by_id: dict[str, _EarlierStart] = {}
        self._is_store_unavailable = False
        self._store_available_at = float("-inf")
        self._leaving_since_by_incarnation: dict[tuple[str, int], float] = {}
        self._view = TargetView()
        self._is_view_outdated = False

    @property
    def view(self) -> TargetView:
        """The current view."""
        if self._is_view_outdated:
            self._rebuild()
        return self._view

    def record_store_unavailable(self) -> None:
        """Record that the store does not respond."""
        self._is_store_unavailable = True

    def record_store_available(self, now: float, unconfirmed_s: float = float("inf")) -> None:
        """Record that the store responds again.

        This outage does not extend the time for which entries missing since an earlier one are
        kept.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        unconfirmed_s
            Seconds since the request of the last response before, which is at least the length of
            the outage.
        """
        self._is_store_unavailable = False
        kept_until = now
        if unconfirmed_s >= self._shortest_outage_s:
            self._store_available_at = now
            kept_until = now + EXPIRED_ENTRY_GRACE_S
        for target_id, until in self._kept_until_by_id.items():
            if until is None:
                self._kept_until_by_id[target_id] = kept_until

    def record_no_outage(self, now: float) -> None:
        """Record that the store was available to others while it was not to this instance.

        No entry of a live target has expired then, so missing ones are not kept.
        """
        self._store_available_at = float("-inf")
        for target_id in self._kept_until_by_id:
            self._kept_until_by_id[target_id] = now

    def record_restored(self, now: float) -> None:
        """Record that the store returned from an older copy, which may lack entries."""
        self._store_available_at = now

    def record_listed(self, now: float, version: int, entry: TargetEntry) -> bool:
        """Record a listed entry; return whether it changed anything besides the check-in.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        version
            Version of the row.
        entry
            The entry.
        """
        if version <= self._version_by_id.get(entry.target_id, 0):
            return False
        known = self._entry_by_id.get(entry.target_id)
        if known is not None and entry.started_at_ms < known.started_at_ms:
            self._record_earlier_start(now, version, entry)
            return False
        self._earlier_start_by_id.pop(entry.target_id, None)
        if self._may_be_restored(version, entry):
            # The next check-in, within a second, has a higher number than this row.
            self._version_by_id[entry.target_id] = version
            return False
        self._version_by_id[entry.target_id] = version
        self._kept_until_by_id.pop(entry.target_id, None)
        if known == entry:
            return False
        self._entry_by_id[entry.target_id] = entry
        self._update_unconfirmed(now, version, entry, is_new=known is None)
        self._is_view_outdated = True
        return True

    def record_unlisted(self, now: float, version: int, target_id: str) -> bool:
        """Record that an entry no longer exists; return whether its target was listed.

        The target is removed, or kept for a while if the entry may have expired in an outage.
        """
        if version <= self._version_by_id.get(target_id, 0):
            return False
        self._version_by_id[target_id] = version
        self._earlier_start_by_id.pop(target_id, None)
        if target_id not in self._entry_by_id:
            return False
        if self._is_in_grace_period(now):
            until = (
                None
                if self._is_store_unavailable
                else self._store_available_at + EXPIRED_ENTRY_GRACE_S
            )
            self._kept_until_by_id.setdefault(target_id, until)
            return True
        self._remove(target_id)
        return True

    def is_kept(self, target_id: str) -> bool:
        """Return whether the target is kept although its entry no longer exists."""
        return target_id in self._kept_until_by_id

    def reconcile(self, now: float, version: int, listed_ids: frozenset[str]) -> tuple[str, ...]:
        """Record as unlisted, and return, the known targets missing from a complete list.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        version
            Version of the store up to which the list is complete.
        listed_ids
            Ids in the list.
        """
        missing_ids = set(self._entry_by_id) - listed_ids
        return tuple(
            target_id for target_id in missing_ids if self.record_unlisted(now, version, target_id)
        )

    def remove_expired(self, now: float) -> tuple[str, ...]:
        """Remove and return the targets that are still missing after the grace period."""
        expired = tuple(
            target_id
            for target_id, until in self._kept_until_by_id.items()
            if until is not None and now >= until
        )
        for target_id in expired:
            self._remove(target_id)
        return expired

    def withdraw_earlier_starts(self, now: float) -> tuple[str, ...]:
        """Withdraw and return the targets that drain according to an earlier start.

        The time of day of a target's machine may have been set back before it started again. The
        known incarnation is not replaced: if it still runs, it holds its keys.
        """
        if self._is_store_unavailable:
            return ()
        withdrawn = tuple(
            target_id
            for target_id, earlier in self._earlier_start_by_id.items()
            if self._is_draining_for_certain(now, earlier)
            and self._entry_by_id[target_id].state is TargetState.READY
        )
        for target_id in withdrawn:
            entry = self._entry_by_id[target_id]
            self._entry_by_id[target_id] = replace(entry, state=TargetState.DRAINING)
        if withdrawn:
            self._is_view_outdated = True
        return withdrawn

    def record_leaving(self, now: float, incarnation: tuple[str, int]) -> bool:
        """Record that a target announced its end in a response; return whether that is new.

        The announcement holds for the rest of this incarnation, whatever its entry says.
        """
        if incarnation in self._leaving_since_by_incarnation:
            return False
        self._leaving_since_by_incarnation[incarnation] = now
        if len(self._leaving_since_by_incarnation) > MAX_LEAVING:
            del self._leaving_since_by_incarnation[next(iter(self._leaving_since_by_incarnation))]
        self._is_view_outdated = True
        return True

    def set_evacuated(
        self, now: float, domains: frozenset[str], ended_at_version_by_domain: Mapping[str, int]
    ) -> bool:
        """Replace the failure domains whose targets get no work; return whether they changed.

        The targets of a domain may have become cold shortly before its evacuation ends. Earlier
        entries do not show it: they may be from before an outage of the store, which not every
        instance notices, or may be written late. Each target counts as unconfirmed until its entry
        or a report states a cold start, a report states that it is warm, or a cold start would
        have ended. An entry without a cold start confirms nothing, because it may be written late.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        domains
            The failure domains.
        ended_at_version_by_domain
            Version of the store at the end of the latest evacuation of each failure domain.
        """
        known = self._return_by_domain
        ended = {
            domain: _Return(version, now)
            for domain, version in ended_at_version_by_domain.items()
            if domain not in known or version > known[domain].version
        }
        if domains == self._evacuated_domains and not ended:
            return False
        self._return_by_domain.update(ended)
        for target_id, entry in self._entry_by_id.items():
            if entry.domain in ended:
                self._unconfirmed_since_by_id[target_id] = now
        self._evacuated_domains = domains
        self._is_view_outdated = True
        return True

    def record_cold_start(
        self, incarnation: tuple[str, int], returned_at: float, remaining_s: float
    ) -> bool:
        """Record a target's report of its cold start; return whether it was awaited.

        Parameters
        ----------
        incarnation
            The target.
        returned_at
            Monotonic time in seconds of the return to service for which it was asked.
        remaining_s
            Seconds of cold start that remain.
        """
        target_id, _ = incarnation
        entry = self._entry_by_id.get(target_id)
        if (
            entry is None
            or entry.incarnation != incarnation
            or self._unconfirmed_since_by_id.get(target_id) != returned_at
        ):
            return False
        del self._unconfirmed_since_by_id[target_id]
        self._entry_by_id[target_id] = replace(entry, cold_start_remaining_s=remaining_s)
        self._is_view_outdated = True
        return True

    def confirm_warm(self, now: float) -> None:
        """Confirm the returned targets that would not be cold any more if they had been."""
        warm_ids = [
            target_id
            for target_id, since in self._unconfirmed_since_by_id.items()
            if now >= since + self._cold_s(self._entry_by_id[target_id].service)
        ]
        for target_id in warm_ids:
            del self._unconfirmed_since_by_id[target_id]
            self._is_view_outdated = True

    def _record_earlier_start(self, now: float, version: int, entry: TargetEntry) -> None:
        """Record an entry that may be a delayed check-in of an incarnation that has ended."""
        earlier = self._earlier_start_by_id.get(entry.target_id)
        if earlier is not None and version <= earlier.version:
            return
        is_same = earlier is not None and earlier.entry.incarnation == entry.incarnation
        listed_since = earlier.listed_since if earlier is not None and is_same else now
        self._earlier_start_by_id[entry.target_id] = _EarlierStart(entry, version, listed_since)

    def _is_draining_for_certain(self, now: float, earlier: _EarlierStart) -> bool:
        """Return whether a check-in with an earlier start is not a delayed one, and drains."""
        listed_since = max(earlier.listed_since, self._store_available_at)
        is_delayed = now < listed_since + EARLIER_START_CONFIRMATION_S
        return earlier.entry.state is TargetState.DRAINING and not is_delayed

    def _may_be_restored(self, version: int, entry: TargetEntry) -> bool:
        """Return whether a row may come from a copy that is older than what is known.

        Rows of the copy keep their numbers. A row that withdraws its target is not held back.
        """
        known_version = self._version_by_id.get(entry.target_id, 0)
        if era_of(version) <= era_of(known_version) or number_of(version) >= number_of(
            known_version
        ):
            return False
        known = self._entry_by_id.get(entry.target_id)
        if known is None:
            return True
        is_same_incarnation = known.incarnation == entry.incarnation
        return is_same_incarnation and entry.state is TargetState.READY

    def _update_unconfirmed(
        self, now: float, version: int, entry: TargetEntry, is_new: bool
    ) -> None:
        """Update whether it is known if a target is cold, after its entry has changed."""
        latest = self._return_by_domain.get(entry.domain)
        if latest is None:
            return
        if entry.cold_start_remaining_s > 0.0 and latest.precedes(version):
            self._unconfirmed_since_by_id.pop(entry.target_id, None)
        elif is_new and now < latest.known_since + self._cold_s(entry.service):
            # A late write may restore an entry that was deleted.
            self._unconfirmed_since_by_id[entry.target_id] = latest.known_since

    def _is_in_grace_period(self, now: float) -> bool:
        return self._is_store_unavailable or now < self._store_available_at + EXPIRED_ENTRY_GRACE_S

    def _remove(self, target_id: str) -> None:
        self._kept_until_by_id.pop(target_id, None)
        self._earlier_start_by_id.pop(target_id, None)
        self._unconfirmed_since_by_id.pop(target_id, None)
        del self._entry_by_id[target_id]
        self._is_view_outdated = True

    def _rebuild(self) -> None:
        self._is_view_outdated = False
        entry_by_id = {entry.target_id: entry for entry in self._effective_entries()}
        leaving_since_by_id = {
            target_id: since
            for (target_id, _), since in self._leaving_since_by_incarnation.items()
            if target_id in entry_by_id and entry_by_id[target_id].state is not TargetState.READY
        }
        view = TargetView(
            entry_by_id,
            {},
            self._evacuated_domains,
            leaving_since_by_id,
            dict(self._unconfirmed_since_by_id),
        )
        usable_by_service: dict[str, list[TargetEntry]] = defaultdict(list)
        for target_id in sorted(self._entry_by_id):
            entry = view.usable(target_id)
            if entry is not None:
                usable_by_service[entry.service].append(entry)
        by_service = {service: tuple(entries) for service, entries in usable_by_service.items()}
        self._view = replace(view, usable_by_service=by_service)

    def _effective_entries(self) -> Iterator[TargetEntry]:
        for entry in self._entry_by_id.values():
            is_leaving = entry.incarnation in self._leaving_since_by_incarnation
            if is_leaving and entry.state is TargetState.READY:
                yield replace(entry, state=TargetState.LEAVING)
            else:
                yield entry
