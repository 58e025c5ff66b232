"""Versions that this instance holds and those seen at its peers."""

from collections.abc import Callable, Iterator, Mapping

from damasktide.membership.messages import VersionObserved

VERSIONS_BYTES = 256
# A sighting is repeated while the version is missing, so that a failed pull is tried again.
SIGHTING_PERIOD_S = 1.0


class VersionBoard:
    """Holds the own versions and reports higher ones of peers."""

    def __init__(self) -> None:
        self._version_by_name: dict[str, int] = {}
        self._sighting_by_name: dict[str, tuple[int, float]] = {}

    def announce(self, name: str, version: int) -> bool:
        """Set an own version and return whether it is higher than before."""
        if version <= self._version_by_name.get(name, -1):
            return False
        self._version_by_name[name] = version
        return True

    def page(self, bytes_of: Callable[[str], int]) -> Mapping[str, int]:
        """Return the versions for one datagram; they take turns if there are too many."""
        page: dict[str, int] = {}
        free_bytes = VERSIONS_BYTES
        for name in tuple(self._version_by_name):
            free_bytes -= bytes_of(name)
            if free_bytes < 0:
                break
            page[name] = self._version_by_name[name]
        if len(page) < len(self._version_by_name):
            for name in page:
                # Moves the name behind those that had no room.
                self._version_by_name[name] = self._version_by_name.pop(name)
        return page

    def sightings(
        self, instance_id: str, version_by_name: Mapping[str, int], now: float
    ) -> Iterator[VersionObserved]:
        """Yield the versions of a peer that are higher than the own ones."""
        for name, version in version_by_name.items():
            if version > self._version_by_name.get(name, -1) and self._is_new(name, version, now):
                self._sighting_by_name[name] = (version, now)
                yield VersionObserved(name, version, instance_id)

    def _is_new(self, name: str, version: int, now: float) -> bool:
        seen_version, seen_at = self._sighting_by_name.get(name, (-1, now))
        return version > seen_version or now - seen_at >= SIGHTING_PERIOD_S
