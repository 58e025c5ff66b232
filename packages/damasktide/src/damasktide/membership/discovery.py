"""Finds other instances and exchanges lists of members with them."""

from collections.abc import Iterable
from random import Random

from damasktide.membership.datagrams import Datagram, Page, Pull, Welcome
from damasktide.membership.exchange import Exchange, News
from damasktide.membership.instances import Instance
from damasktide.membership.joining import Address, Joiner, Puller, PullSession


def _address_of(instance: Instance) -> Address:
    return instance.host, instance.gossip_port


class Discovery:
    """Sends joins and pulls, and answers those of others.

    Parameters
    ----------
    own
        This instance.
    seeds
        Addresses at which other instances may be found.
    exchange
        Connection to the peers.
    random
        Source of choices.
    """

    def __init__(
        self, own: Instance, seeds: Iterable[Address], exchange: Exchange, random: Random
    ) -> None:
        self._exchange = exchange
        self._joiner = Joiner(_address_of(own), seeds, random)
        self._puller = Puller()

    def run(self, now: float) -> None:
        """Do what is due."""
        table = self._exchange.table
        live = map(_address_of, table.live_instances())
        lost = map(_address_of, table.lost_instances())
        for address in self._joiner.choose_addresses(live, lost, now):
            self._exchange.outbox.send_join(address)
        if self._puller.is_due(now):
            for responder_id in self._exchange.random_peers(1):
                self._pull(self._puller.resume(responder_id, now))

    def on_join(self, sender: Instance) -> None:
        """Answer a join; it may be a replay, so that nothing else is taken from it."""
        self._exchange.outbox.send_to(sender, Welcome())

    def on_welcome(self, sender: Instance, news: News, now: float) -> None:
        """Fetch the members of an instance that was not live before."""
        if not news.was_live:
            self._pull(self._puller.restart(sender.instance_id, now))

    def on_pull(self, sender: Instance, pull: Pull) -> None:
        """Answer a pull."""
        self._exchange.outbox.send_page(sender, pull.after_id)

    def on_page(self, datagram: Datagram, page: Page, news: News, now: float) -> None:
        """Fetch the next page, if any."""
        sender_id = datagram.sender.instance_id
        self._pull(self._puller.continue_after(sender_id, page, news.has_claims, now))

    def _pull(self, session: PullSession | None) -> None:
        if session is not None:
            self._exchange.outbox.send(session.responder_id, Pull(session.after_id))
