"""Cache of the newest load report of each target; a state machine without I/O."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.loads.messages import PeerReport

# Calls take about 0.4 s, so an older report does not describe a target's present load.
MAX_REPORT_AGE_S = 1.5
# The age of a report does not include its time in transit, so a copy that arrives over a second
# path appears slightly newer than the first one.
NEWER_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class _Entry:
    report: LoadReport
    reported_at: float
    source: str


class LoadReportCache:
    """Keeps the newest report of each incarnation of a target.

    Times are seconds on the monotonic clock. The source of a report is the name of the instance
    that it was received from.
    """

    def __init__(self) -> None:
        self._entry_by_incarnation: dict[int, _Entry] = {}

    def record_own(self, now: float, incarnation: int, report: LoadReport, source: str) -> None:
        """Record a report that a target has just made.

        A target without a report is assumed to be idle, so a report is kept only if its target is
        full, or was full before.
        """
        known = self._entry_by_incarnation.get(incarnation)
        if _is_full(report) or (known is not None and _is_full(known.report)):
            self._entry_by_incarnation[incarnation] = _Entry(report, now, source)

    def has_full_target(self) -> bool:
        """Return whether the report of any target shows it to be full."""
        return any(_is_full(entry.report) for entry in self._entry_by_incarnation.values())

    def merge(self, now: float, received: Iterable[PeerReport], source: str) -> list[PeerReport]:
        """Merge reports received from an instance, and return those that were new."""
        updates = []
        for peer_report in received:
            reported_at = now - peer_report.age_s
            known = self._entry_by_incarnation.get(peer_report.incarnation)
            if peer_report.age_s <= MAX_REPORT_AGE_S and (
                known is None or reported_at > known.reported_at + NEWER_MARGIN_S
            ):
                self._entry_by_incarnation[peer_report.incarnation] = _Entry(
                    peer_report.report, reported_at, source
                )
                updates.append(peer_report)
        return updates

    def reports_excluding(self, now: float, excluded: frozenset[str]) -> list[PeerReport]:
        """Return the reports whose source is not in ``excluded``."""
        return self._select_reports(now, lambda source: source not in excluded)

    def reports_from(self, now: float, source: str) -> list[PeerReport]:
        """Return the reports received from ``source``."""
        return self._select_reports(now, lambda entry_source: entry_source == source)

    def drop_expired(self, now: float) -> None:
        """Drop reports that are too old to be sent."""
        self._entry_by_incarnation = {
            incarnation: entry
            for incarnation, entry in self._entry_by_incarnation.items()
            if now - entry.reported_at <= MAX_REPORT_AGE_S
        }

    def _select_reports(
        self, now: float, matches_source: Callable[[str], bool]
    ) -> list[PeerReport]:
        return [
            PeerReport(incarnation, entry.report, now - entry.reported_at)
            for incarnation, entry in self._entry_by_incarnation.items()
            if now - entry.reported_at <= MAX_REPORT_AGE_S and matches_source(entry.source)
        ]


def _is_full(report: LoadReport) -> bool:
    return report.running + report.waiting >= report.slots
