"""The newest report of each target, and who told it; a state machine."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.loads.messages import PeerReport

# An older report says nothing of a target whose calls take some 0.4 s.
KEPT_S = 1.5
# The age of a report does not count its time on the way, so one that comes back by another way
# seems a little newer.
NEWER_BY_S = 0.1


@dataclass(frozen=True, slots=True)
class _Entry:
    report: LoadReport
    made_at: float
    source: str


class LoadReportCache:
    """Keeps the newest report of each life of a target.

    Times are seconds on the monotonic clock. A source is the name of the instance that told.
    """

    def __init__(self) -> None:
        self._entry_by_life: dict[int, _Entry] = {}

    def see(self, now: float, incarnation: int, report: LoadReport, source: str) -> None:
        """Take in a report that was just made.

        Only full targets are of interest, and those that are full no longer: a target of which
        nothing is known is taken for idle.
        """
        known = self._entry_by_life.get(incarnation)
        if _is_full(report) or (known is not None and _is_full(known.report)):
            self._entry_by_life[incarnation] = _Entry(report, now, source)

    def has_full(self) -> bool:
        """Return whether any target is known to be full."""
        return any(_is_full(entry.report) for entry in self._entry_by_life.values())

    def take(self, now: float, heard: Iterable[PeerReport], source: str) -> list[PeerReport]:
        """Take in reports; return those that are newer than what was known."""
        news = []
        for item in heard:
            made_at = now - item.age_s
            known = self._entry_by_life.get(item.incarnation)
            if item.age_s <= KEPT_S and (known is None or made_at > known.made_at + NEWER_BY_S):
                self._entry_by_life[item.incarnation] = _Entry(item.report, made_at, source)
                news.append(item)
        return news

    def fresh(self, now: float, left_out: frozenset[str]) -> list[PeerReport]:
        """Return the reports that were not told by an instance in ``left_out``."""
        return self._told(now, lambda source: source not in left_out)

    def told_by(self, now: float, source: str) -> list[PeerReport]:
        """Return the reports that ``source`` told."""
        return self._told(now, lambda teller: teller == source)

    def forget_old(self, now: float) -> None:
        """Drop reports that are too old to be told."""
        self._entry_by_life = {
            incarnation: entry
            for incarnation, entry in self._entry_by_life.items()
            if now - entry.made_at <= KEPT_S
        }

    def _told(self, now: float, is_wanted: Callable[[str], bool]) -> list[PeerReport]:
        return [
            PeerReport(incarnation, entry.report, now - entry.made_at)
            for incarnation, entry in self._entry_by_life.items()
            if now - entry.made_at <= KEPT_S and is_wanted(entry.source)
        ]


def _is_full(report: LoadReport) -> bool:
    return report.running + report.waiting >= report.slots
