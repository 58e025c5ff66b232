"""Tracks whether each backend server responds, and the state that its responses report."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from damasktide.ownership.constants import SUSPECT_AFTER_S
from damasktide.ownership.effects import ServerReply

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Contact:
    """State of the exchanges with one backend server.

    Attributes
    ----------
    watched_since
        Monotonic time from which the suspicion timeout counts if there is no later response.
    reached_at
        Time of the last response, to this instance or to a peer.
    reached_since
        Time since which the server has responded without a gap longer than the suspicion timeout.
    boot_id, term, basis_ms
        Boot id, term and clock reading in the latest response; empty or 0 before the first.
    boot_observed_at
        Time of the first response with this ``boot_id``.
    accepted_version
        Highest map version of the grants that the server has accepted since its start.
    draining
        Number of running requests for shards that the server no longer owns.
    """

    watched_since: float
    reached_at: float = NEVER
    reached_since: float = NEVER
    boot_id: str = ""
    boot_observed_at: float = NEVER
    term: str = ""
    basis_ms: int = 0
    accepted_version: int = 0
    draining: int = 0

    def may_be_granted(self, map_row_read_at: float) -> bool:
        """Return whether the server may be sent a grant under a valid renewal lease.

        A restart erases the version fence of a server, and a quorum of confirmers may not know
        the version that fenced it. The first grant after a restart therefore requires a read of
        the map row that was requested after the restart.
        """
        return self.accepted_version > 0 or map_row_read_at >= self.boot_observed_at

    def is_reached(self, now: float) -> bool:
        """Return whether there was a response within the suspicion timeout."""
        return now - self.reached_at <= SUSPECT_AFTER_S


class ReachabilityTracker:
    """Tracks the contacts with the backend servers of one service."""

    def __init__(self) -> None:
        self._contact_by_id: dict[str, Contact] = {}

    def get(self, server_id: str) -> Contact | None:
        """Return the contact of a server, or None if it is not watched."""
        return self._contact_by_id.get(server_id)

    def watch(self, since_by_id: Mapping[str, float]) -> None:
        """Watch exactly these servers; new ones count as not reached since the given times."""
        self._contact_by_id = {
            server_id: self._contact_by_id.get(server_id, Contact(watched_since=since))
            for server_id, since in since_by_id.items()
        }

    def watched_ids(self) -> frozenset[str]:
        """Return the ids of the watched servers."""
        return frozenset(self._contact_by_id)

    def is_suspect(self, server_id: str, now: float) -> bool:
        """Return whether a watched server has not been reached within the suspicion timeout."""
        return server_id in self._contact_by_id and now > self.suspect_at(server_id)

    def is_unresponsive(self, server_id: str, now: float) -> bool:
        """Return whether a server has not been reached within half of the suspicion timeout."""
        contact = self._contact_by_id.get(server_id)
        return contact is None or now - contact.reached_at >= SUSPECT_AFTER_S / 2

    def suspect_at(self, server_id: str) -> float:
        """Return the time after which a watched server is suspect if it does not respond."""
        contact = self._contact_by_id[server_id]
        return max(contact.watched_since, contact.reached_at) + SUSPECT_AFTER_S

    def restart_watch(self, now: float) -> None:
        """Restart all suspicion timeouts, after this process was paused."""
        self._contact_by_id = {
            server_id: replace(contact, watched_since=now)
            for server_id, contact in self._contact_by_id.items()
        }

    def record_reply(self, server_id: str, reply: ServerReply, now: float) -> None:
        """Record a response of a server."""
        contact = self._contact_by_id.get(server_id)
        if contact is None:
            return
        reached_since = contact.reached_since if contact.is_reached(now) else now
        reached = replace(contact, reached_at=now, reached_since=reached_since)
        if reply.boot_id == contact.boot_id and _is_overtaken(contact, reply):
            # A response that arrives out of order shows that the server is alive, but its state
            # is outdated.
            self._contact_by_id[server_id] = reached
            return
        self._contact_by_id[server_id] = replace(
            reached,
            boot_id=reply.boot_id,
            boot_observed_at=now if reply.boot_id != contact.boot_id else contact.boot_observed_at,
            term=reply.term,
            basis_ms=reply.now_ms,
            accepted_version=reply.version,
            draining=reply.draining,
        )

    def record_peer_contact(self, server_id: str, reached_at: float) -> None:
        """Record that a peer reached the server at ``reached_at``, on this instance's clock."""
        contact = self._contact_by_id.get(server_id)
        if contact is not None and reached_at > contact.reached_at:
            self._contact_by_id[server_id] = replace(contact, reached_at=reached_at)

    def reached_ages(self, now: float) -> tuple[tuple[str, float], ...]:
        """Return the servers reached within the suspicion timeout, with the seconds since then."""
        return tuple(
            (server_id, now - contact.reached_at)
            for server_id, contact in self._contact_by_id.items()
            if contact.is_reached(now)
        )


def _is_overtaken(contact: Contact, reply: ServerReply) -> bool:
    """Return whether a response was sent before the latest one with the same boot id."""
    latest = (contact.accepted_version, contact.basis_ms)
    return (reply.version, reply.now_ms) < latest
