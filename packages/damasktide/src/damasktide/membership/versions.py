"""Versions held by this instance, compared with those of its peers."""

from collections.abc import Callable, Iterator, Mapping

from damasktide.membership.messages import VersionObserved

MAX_VERSIONS_BYTES = 256
# A higher version is reported again while this instance lacks it, so that failed pulls are
# retried.
REPORT_INTERVAL_S = 1.0


class VersionTracker:
    """Tracks the local versions and reports higher versions of peers."""

    def __init__(self) -> None:
        self._version_by_name: dict[str, int] = {}
        self._last_report_by_name: dict[str, tuple[int, float]] = {}

    def announce(self, name: str, version: int) -> bool:
        """Record a local version and return whether it is higher than before."""
        if version <= self._version_by_name.get(name, -1):
            return False
        self._version_by_name[name] = version
        return True

    def next_batch(self, bytes_of: Callable[[str], int]) -> Mapping[str, int]:
        """Return the versions for one datagram, in rotation if not all of them fit."""
        batch: dict[str, int] = {}
        free_bytes = MAX_VERSIONS_BYTES
        for name in tuple(self._version_by_name):
            free_bytes -= bytes_of(name)
            if free_bytes < 0:
                break
            batch[name] = self._version_by_name[name]
        if len(batch) < len(self._version_by_name):
            for name in batch:
                # Moves the name behind those that did not fit.
                self._version_by_name[name] = self._version_by_name.pop(name)
        return batch

    def higher_versions(
        self, instance_id: str, version_by_name: Mapping[str, int], now: float
    ) -> Iterator[VersionObserved]:
        """Yield the versions of a peer that exceed the local ones and are due for a report."""
        for name, version in version_by_name.items():
            if version > self._version_by_name.get(name, -1) and self._is_report_due(
                name, version, now
            ):
                self._last_report_by_name[name] = (version, now)
                yield VersionObserved(name, version, instance_id)

    def _is_report_due(self, name: str, version: int, now: float) -> bool:
        reported_version, reported_at = self._last_report_by_name.get(name, (-1, now))
        return version > reported_version or now - reported_at >= REPORT_INTERVAL_S
