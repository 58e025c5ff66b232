"""What an instance tells its peers and learns from them."""

from dataclasses import dataclass
from random import Random

from damasktide.membership.claims import Claim
from damasktide.membership.datagrams import Datagram, Gossip, Ping
from damasktide.membership.dissemination import GossipQueue
from damasktide.membership.instances import Instance
from damasktide.membership.messages import VersionObserved
from damasktide.membership.outbox import Outbox, Sizing
from damasktide.membership.table import MemberTable
from damasktide.membership.versions import VersionBoard

GOSSIP_FANOUT = 2
ANNOUNCE_TRANSMISSIONS = 8
MAX_CHALLENGES_PER_S = 10
# No probe has this number, so that the ack of such a ping is ignored.
NO_PROBE_ID = 0


@dataclass(frozen=True, slots=True)
class News:
    """What a datagram brought.

    Attributes
    ----------
    was_live
        Whether its sender was held to be live before.
    has_claims
        Whether it changed what is believed about any peer.
    versions
        Versions that are higher than the own ones.
    """

    was_live: bool
    has_claims: bool
    versions: tuple[VersionObserved, ...]


class Exchange:
    """Takes in claims, spreads them and announces this instance.

    Parameters
    ----------
    own
        This instance.
    sizing
        Sizes of encoded parts.
    random
        Source of choices.
    """

    def __init__(self, own: Instance, sizing: Sizing, random: Random) -> None:
        self.own_id = own.instance_id
        self.table = MemberTable(own)
        self.versions = VersionBoard()
        self._queue = GossipQueue()
        self.outbox = Outbox(self.table, self._queue, self.versions, sizing, random)
        self._random = random
        self._announcements_left = 0
        self._challenges_left = MAX_CHALLENGES_PER_S

    def announce(self) -> None:
        """Send the own claim and versions to some peers soon.

        Every datagram carries them, so that they need no place in the queue.
        """
        self._announcements_left = ANNOUNCE_TRANSMISSIONS

    def gossip(self) -> None:
        """Send to random peers if there is something that should not wait for a probe."""
        if not self._announcements_left and not self._queue.has_urgent():
            return
        for peer_id in self.random_peers(GOSSIP_FANOUT):
            self.outbox.send(peer_id, Gossip())
            self._announcements_left = max(0, self._announcements_left - 1)

    def spread(self, claim: Claim) -> None:
        """Pass on a belief."""
        self._queue.put(claim)

    def random_peers(self, count: int, without: str = "") -> list[str]:
        """Return the ids of up to ``count`` live peers."""
        peer_ids = self.table.peer_ids
        chosen = self._random.sample(peer_ids, min(count + 1, len(peer_ids)))
        return [peer_id for peer_id in chosen if peer_id != without][:count]

    def take_in(self, datagram: Datagram, now: float) -> News:
        """Take in what a datagram says about its sender, other instances and versions."""
        sender_id = datagram.sender.instance_id
        was_live = self.table.is_live(sender_id)
        has_claims = self._believe(datagram.sender, True, now)
        for claim in datagram.claims:
            has_claims |= self._believe(claim, False, now)
        versions = self.versions.sightings(sender_id, datagram.version_by_name, now)
        return News(was_live, has_claims, tuple(versions))

    def allow_challenges(self) -> None:
        """Start a new second for the limit of challenges."""
        self._challenges_left = MAX_CHALLENGES_PER_S

    def _believe(self, claim: Claim, from_subject: bool, now: float) -> bool:
        if claim.instance_id == self.own_id:
            if self.table.refute(claim):
                self.announce()
            return False
        belief = self.table.apply(claim, from_subject, now)
        if belief is not None:
            self.spread(belief)
            return True
        if self._challenges_left and self.table.is_contradicted_by(claim):
            # The instance may live on the other side of a healed partition. The ping tells
            # it that it is held to have failed.
            self._challenges_left -= 1
            self.outbox.send(claim.instance_id, Ping(NO_PROBE_ID))
        return False
