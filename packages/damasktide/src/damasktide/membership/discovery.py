"""Discovers other instances and exchanges member lists with them."""

from collections.abc import Iterable
from random import Random

from damasktide.membership.datagrams import Datagram, Page, Pull, Welcome
from damasktide.membership.exchange import GossipExchange, ReceivedUpdates
from damasktide.membership.instances import Instance
from damasktide.membership.joining import Address, Joiner, Puller, PullSession


def _address_of(instance: Instance) -> Address:
    return instance.host, instance.gossip_port


class Discovery:
    """Sends joins and pulls, and replies to those of other instances.

    Parameters
    ----------
    own_instance
        This instance.
    seeds
        Addresses at which to look for other instances.
    exchange
        Shared protocol state and outgoing datagrams.
    random
        Random number generator.
    """

    def __init__(
        self,
        own_instance: Instance,
        seeds: Iterable[Address],
        exchange: GossipExchange,
        random: Random,
    ) -> None:
        self._exchange = exchange
        self._joiner = Joiner(_address_of(own_instance), seeds, random)
        self._puller = Puller()

    def run(self, now: float) -> None:
        """Send the joins and pulls that are due."""
        table = self._exchange.table
        live = map(_address_of, table.live_instances())
        lost = map(_address_of, table.lost_instances())
        for address in self._joiner.choose_addresses(live, lost, now):
            self._exchange.outbox.send_join(address)
        if self._puller.is_due(now):
            for responder_id in self._exchange.random_peer_ids(1):
                self._pull(self._puller.resume(responder_id, now))

    def on_join(self, sender: Instance) -> None:
        """Reply to a join; its claims are not applied, because it may be a replay."""
        self._exchange.outbox.send_to(sender, Welcome())

    def on_welcome(self, sender: Instance, updates: ReceivedUpdates, now: float) -> None:
        """Fetch the member list of an instance that was not live before."""
        if not updates.was_sender_live:
            self._pull(self._puller.restart(sender.instance_id, now))

    def on_pull(self, sender: Instance, pull: Pull) -> None:
        """Reply to a pull with a page of members."""
        self._exchange.outbox.send_page(sender, pull.after_id)

    def on_page(
        self, datagram: Datagram, page: Page, updates: ReceivedUpdates, now: float
    ) -> None:
        """Fetch the next page, if one is needed."""
        sender_id = datagram.sender.instance_id
        self._pull(self._puller.handle_page(sender_id, page, updates.has_new_claims, now))

    def _pull(self, session: PullSession | None) -> None:
        if session is not None:
            self._exchange.outbox.send(session.responder_id, Pull(session.after_id))
