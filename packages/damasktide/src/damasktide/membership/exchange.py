"""Gossip with peers: applies received claims and versions, and disseminates updates."""

from dataclasses import dataclass
from random import Random

from damasktide.membership.claims import Claim
from damasktide.membership.datagrams import Datagram, Gossip, Ping
from damasktide.membership.dissemination import GossipQueue
from damasktide.membership.instances import Instance
from damasktide.membership.messages import VersionObserved
from damasktide.membership.outbox import Outbox, Sizing
from damasktide.membership.table import MemberTable
from damasktide.membership.versions import VersionTracker

GOSSIP_FANOUT = 2
ANNOUNCE_TRANSMISSIONS = 8
# A challenge is a ping to an instance that is listed as failed but reported as live by a peer. It
# lets the instance refute the failure.
MAX_CHALLENGES_PER_S = 10
# Probe id of pings that only carry claims. No probe uses it, so that the ack is ignored.
NO_PROBE_ID = 0


@dataclass(frozen=True, slots=True)
class ReceivedUpdates:
    """Effect of a datagram on the local state.

    Attributes
    ----------
    was_sender_live
        Whether the sender was listed as live before the datagram.
    has_new_claims
        Whether its claims changed the current claim about any peer.
    versions
        Versions of the sender that are higher than the local ones.
    """

    was_sender_live: bool
    has_new_claims: bool
    versions: tuple[VersionObserved, ...]


class GossipExchange:
    """Applies received claims, disseminates them and announces this instance.

    Parameters
    ----------
    own_instance
        This instance.
    sizing
        Computes the encoded sizes.
    random
        Random number generator.
    """

    def __init__(self, own_instance: Instance, sizing: Sizing, random: Random) -> None:
        self.own_id = own_instance.instance_id
        self.table = MemberTable(own_instance)
        self.versions = VersionTracker()
        self._queue = GossipQueue()
        self.outbox = Outbox(self.table, self._queue, self.versions, sizing, random)
        self._random = random
        self._remaining_announcements = 0
        self._remaining_challenges = MAX_CHALLENGES_PER_S

    def announce(self) -> None:
        """Schedule transmissions of the claim and versions of this instance to random peers.

        Every datagram carries them, so they are not queued as claims.
        """
        self._remaining_announcements = ANNOUNCE_TRANSMISSIONS

    def gossip(self) -> None:
        """Send to random peers if an announcement or a claim should not wait for a probe."""
        if not self._remaining_announcements and not self._queue.has_urgent():
            return
        for peer_id in self.random_peer_ids(GOSSIP_FANOUT):
            self.outbox.send(peer_id, Gossip())
            self._remaining_announcements = max(0, self._remaining_announcements - 1)

    def disseminate(self, claim: Claim) -> None:
        """Queue a claim for dissemination."""
        self._queue.put(claim)

    def random_peer_ids(self, count: int, excluded_id: str = "") -> list[str]:
        """Return the ids of up to ``count`` random live peers other than ``excluded_id``."""
        peer_ids = self.table.peer_ids
        sampled = self._random.sample(peer_ids, min(count + 1, len(peer_ids)))
        return [peer_id for peer_id in sampled if peer_id != excluded_id][:count]

    def apply_datagram(self, datagram: Datagram, now: float) -> ReceivedUpdates:
        """Apply the claims of a datagram, and compare its versions with the local ones."""
        sender_id = datagram.sender.instance_id
        was_sender_live = self.table.is_live(sender_id)
        has_new_claims = self._apply_claim(datagram.sender, True, now)
        for claim in datagram.claims:
            has_new_claims |= self._apply_claim(claim, False, now)
        versions = self.versions.higher_versions(sender_id, datagram.version_by_name, now)
        return ReceivedUpdates(was_sender_live, has_new_claims, tuple(versions))

    def reset_challenge_limit(self) -> None:
        """Reset the limit on challenges; called once per second."""
        self._remaining_challenges = MAX_CHALLENGES_PER_S

    def _apply_claim(self, claim: Claim, is_from_subject: bool, now: float) -> bool:
        if claim.instance_id == self.own_id:
            if self.table.refute(claim):
                self.announce()
            return False
        updated = self.table.apply(claim, is_from_subject, now)
        if updated is not None:
            self.disseminate(updated)
            return True
        if self._remaining_challenges and self.table.is_contradicted_by(claim):
            # The instance may be alive on the other side of a partition that has healed. The
            # ping carries the claim that it has failed, so that it can refute.
            self._remaining_challenges -= 1
            self.outbox.send(claim.instance_id, Ping(NO_PROBE_ID))
        return False
