"""Failure detection: probes peers, suspects them and declares them failed."""

from random import Random

from damasktide.membership.datagrams import Ack, Ping, PingRequest
from damasktide.membership.exchange import NO_PROBE_ID, GossipExchange
from damasktide.membership.instances import Instance
from damasktide.membership.probing import Prober

INDIRECT_PROBES = 2


class FailureDetector:
    """Sends probes and acknowledges the probes of peers.

    Parameters
    ----------
    exchange
        Shared protocol state and outgoing datagrams.
    random
        Random number generator for the probe order.
    """

    def __init__(self, exchange: GossipExchange, random: Random) -> None:
        self._exchange = exchange
        self._prober = Prober(random)

    def run(self, now: float) -> None:
        """Handle expired timeouts and start a probe if one is due."""
        for probe in self._prober.failed_probes(now):
            self._suspect(probe.target_id, now)
        for suspect_id in self._exchange.table.due_final_pings(now):
            self._exchange.outbox.send(suspect_id, Ping(NO_PROBE_ID))
        for claim in self._exchange.table.expire_suspicions(now):
            self._exchange.disseminate(claim)
        for late in self._prober.late_probes(now):
            self._probe_indirectly(PingRequest(late.probe_id, late.target_id))
        started = self._prober.start_probe(self._exchange.table.peer_ids, now)
        if started is not None:
            self._exchange.outbox.send(started.target_id, Ping(started.probe_id))

    def restart(self, now: float) -> None:
        """Restart after a pause of this process, without suspecting any peer for it."""
        self._prober.reset()
        self._exchange.table.restart_suspicions(now)

    def on_ping(self, sender: Instance, ping: Ping) -> None:
        """Acknowledge a ping."""
        self._exchange.outbox.send_to(sender, Ack(ping.probe_id))

    def on_ping_request(self, sender: Instance, request: PingRequest, now: float) -> None:
        """Ping an instance on behalf of the sender."""
        probe_id = self._prober.start_relay(sender.instance_id, request.probe_id, now)
        self._exchange.outbox.send(request.target_id, Ping(probe_id))

    def on_ack(self, ack: Ack) -> None:
        """End a probe, or forward the ack to the instance that requested the ping."""
        relay = self._prober.acknowledge(ack.probe_id)
        if relay is not None:
            self._exchange.outbox.send(relay.origin_id, Ack(relay.origin_probe_id))

    def _suspect(self, instance_id: str, now: float) -> None:
        if not self._exchange.table.is_live(instance_id):
            return
        claim = self._exchange.table.suspect(instance_id, now)
        if claim is not None:
            self._exchange.disseminate(claim)
            # The ping carries the suspicion, so that a suspect whose ack was only late can
            # refute immediately.
            self._exchange.outbox.send(instance_id, Ping(NO_PROBE_ID))

    def _probe_indirectly(self, request: PingRequest) -> None:
        for helper_id in self._exchange.random_peer_ids(INDIRECT_PROBES, request.target_id):
            self._exchange.outbox.send(helper_id, request)
