"""Finds other instances by their addresses and fetches the list of members."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from damasktide.membership.datagrams import Page

Address = tuple[str, int]

JOIN_PERIOD_S = 0.5
JOIN_FANOUT = 3
# Also while there are live peers, because the lost ones may be the other side of a healed
# network partition.
REJOIN_PERIOD_S = 2.0
PULL_TIMEOUT_S = 0.3
PULL_PERIOD_S = 30.0
REPEAT_PERIOD_S = 1.0


class Joiner:
    """Decides when and at which addresses to look for other instances.

    Parameters
    ----------
    own_address
        Address of this instance.
    seeds
        Addresses from the settings.
    random
        Source of choices.
    """

    def __init__(self, own_address: Address, seeds: Iterable[Address], random: Random) -> None:
        self._own_address = own_address
        self._seeds = tuple(seeds)
        self._random = random
        self._next_at = 0.0

    def choose_addresses(
        self, live: Iterable[Address], lost: Iterable[Address], now: float
    ) -> list[Address]:
        """Return the addresses to send a join to; empty if none is due."""
        if now < self._next_at:
            return []
        candidates = {*self._seeds, *lost}
        candidates.discard(self._own_address)
        is_alone = True
        for address in live:
            is_alone = False
            candidates.discard(address)
        self._next_at = now + (JOIN_PERIOD_S if is_alone else REJOIN_PERIOD_S)
        fanout = JOIN_FANOUT if is_alone else 1
        return self._random.sample(sorted(candidates), min(fanout, len(candidates)))


@dataclass(frozen=True, slots=True)
class PullSession:
    """A list of members that is being fetched page by page.

    Attributes
    ----------
    responder_id
        Instance that was asked for the next page.
    after_id
        Id after which the next page starts.
    deadline
        Time at which the page counts as lost, in seconds.
    is_first
        Whether this is the first list of this process.
    """

    responder_id: str
    after_id: str
    deadline: float
    is_first: bool


class Puller:
    """Fetches the list of members, one page at a time, so that the responder is not flooded."""

    def __init__(self) -> None:
        self._session: PullSession | None = None
        self._is_complete = False
        self._has_news = False
        self._next_at = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether a list is to be started or a page counts as lost."""
        if self._session is not None:
            return now >= self._session.deadline
        return not self._is_complete and now >= self._next_at

    def resume(self, responder_id: str, now: float) -> PullSession | None:
        """Start the first list or ask for its lost page again; end any other list.

        The first list is repeated until it brings no news, because the lists are far from
        complete when many instances start at once.
        """
        session = self._session
        if session is None:
            self._has_news = False
            return self._ask(responder_id, "", True, now)
        if session.is_first:
            return self._ask(responder_id, session.after_id, True, now)
        self._end(now)
        return None

    def restart(self, responder_id: str, now: float) -> PullSession | None:
        """Start another list, after contact with an instance that was not live before."""
        if self._session is not None or not self._is_complete or now < self._next_at:
            return None
        return self._ask(responder_id, "", False, now)

    def continue_after(
        self, sender_id: str, page: Page, is_news: bool, now: float
    ) -> PullSession | None:
        """Take in a page and return what to ask for next, if anything.

        A later list ends at the first page without news, because many instances fetch it at
        once after a network partition and tell each other.
        """
        session = self._session
        if session is None or session.responder_id != sender_id:
            return None
        self._has_news |= is_news
        if page.is_last or not (is_news or session.is_first):
            self._end(now)
            return None
        return self._ask(sender_id, page.last_id, session.is_first, now)

    def _ask(self, responder_id: str, after_id: str, is_first: bool, now: float) -> PullSession:
        self._session = PullSession(responder_id, after_id, now + PULL_TIMEOUT_S, is_first)
        return self._session

    def _end(self, now: float) -> None:
        self._session = None
        self._is_complete = self._is_complete or not self._has_news
        self._next_at = now + (PULL_PERIOD_S if self._is_complete else REPEAT_PERIOD_S)
