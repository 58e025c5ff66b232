"""Locates other instances by their addresses and fetches their member lists."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from damasktide.membership.datagrams import Page

Address = tuple[str, int]

JOIN_INTERVAL_S = 0.5
JOIN_FANOUT = 3
# Joins continue while there are live peers, because lost instances may be on the other side of a
# network partition that has healed.
REJOIN_INTERVAL_S = 2.0
PULL_TIMEOUT_S = 0.3
# Once the initial list is complete, other lists are fetched at least this far apart.
MIN_PULL_GAP_S = 30.0
# The initial list is fetched again at this interval until it brings no updates.
REFETCH_INTERVAL_S = 1.0


class Joiner:
    """Decides when to send joins, and to which addresses.

    Parameters
    ----------
    own_address
        Address of this instance.
    seeds
        Addresses from the settings.
    random
        Random number generator.
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
        self._next_at = now + (JOIN_INTERVAL_S if is_alone else REJOIN_INTERVAL_S)
        fanout = JOIN_FANOUT if is_alone else 1
        return self._random.sample(sorted(candidates), min(fanout, len(candidates)))


@dataclass(frozen=True, slots=True)
class PullSession:
    """A list of members that is being fetched page by page.

    Attributes
    ----------
    responder_id
        Instance from which the next page was requested.
    after_id
        Id after which the next page starts.
    times_out_at
        Time at which the request for the page times out, in seconds.
    is_initial
        Whether this is the initial list of this process.
    """

    responder_id: str
    after_id: str
    times_out_at: float
    is_initial: bool


class Puller:
    """Fetches member lists, one page at a time to limit the load on the responder."""

    def __init__(self) -> None:
        self._session: PullSession | None = None
        self._has_complete_list = False
        self._has_updates = False
        self._next_at = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether a list is to be fetched or the request for a page has timed out."""
        if self._session is not None:
            return now >= self._session.times_out_at
        return not self._has_complete_list and now >= self._next_at

    def resume(self, responder_id: str, now: float) -> PullSession | None:
        """Start to fetch the initial list or retry its missing page; abort any other list.

        The initial list is fetched again until it brings no updates, because the lists of peers
        are far from complete when many instances start at once.
        """
        session = self._session
        if session is None:
            self._has_updates = False
            return self._request_page(responder_id, "", True, now)
        if session.is_initial:
            return self._request_page(responder_id, session.after_id, True, now)
        self._finish(now)
        return None

    def restart(self, responder_id: str, now: float) -> PullSession | None:
        """Start to fetch another list after contact with an instance that was not live before."""
        if self._session is not None or not self._has_complete_list or now < self._next_at:
            return None
        return self._request_page(responder_id, "", False, now)

    def handle_page(
        self, sender_id: str, page: Page, has_updates: bool, now: float
    ) -> PullSession | None:
        """Handle a page and return the session for the next page, if one is needed.

        A list other than the initial one ends at the first page without updates, because after a
        network partition many instances fetch lists at once and disseminate the updates.
        """
        session = self._session
        if session is None or session.responder_id != sender_id:
            return None
        self._has_updates |= has_updates
        if page.is_last or not (has_updates or session.is_initial):
            self._finish(now)
            return None
        return self._request_page(sender_id, page.last_id, session.is_initial, now)

    def _request_page(
        self, responder_id: str, after_id: str, is_initial: bool, now: float
    ) -> PullSession:
        self._session = PullSession(responder_id, after_id, now + PULL_TIMEOUT_S, is_initial)
        return self._session

    def _finish(self, now: float) -> None:
        self._session = None
        self._has_complete_list = self._has_complete_list or not self._has_updates
        self._next_at = now + (MIN_PULL_GAP_S if self._has_complete_list else REFETCH_INTERVAL_S)
