"""Exchange of load reports with the parent and between roots, without a network."""

import unittest
from collections.abc import Callable, Sequence

from damasktide.dispatch.load_estimate import LoadReport
from damasktide.loads.messages import PeerReport, incarnation_hash
from damasktide.loads.task import LoadExchange
from damasktide.relay.sources import RelaySourceSelector
from damasktide.relay.tree import RelayPeer, relay_order

Handler = Callable[[str, bytes], bytes]
FULL = LoadReport(6, 12, 6)


class Network:
    """Call handlers and calls of all instances; a call runs synchronously."""

    def __init__(self) -> None:
        self.handler_by_name: dict[str, Handler] = {}
        self.calls: list[tuple[str, str]] = []


class FakeRelay:
    """Fake of the links of one instance."""

    def __init__(self, network: Network, name: str, domain: str) -> None:
        self._network = network
        self._name = name
        self.sources = RelaySourceSelector(name)
        self.sources.set_order(ORDERS[domain])
        self.other_roots = tuple(order[0] for other, order in ORDERS.items() if other != domain)

    def serve(self, kind: str, handler: Handler) -> None:
        self._network.handler_by_name[self._name] = handler

    def call(self, peer: RelayPeer, kind: str, body: bytes, timeout_s: float) -> bytes | None:
        self._network.calls.append((self._name, peer.name))
        handler = self._network.handler_by_name.get(peer.name)
        return handler(f"{self._name}#1", body) if handler is not None else None


ORDERS = {
    domain: relay_order(RelayPeer(f"{domain}-{n}", (domain, n), 100.0) for n in range(3))
    for domain in ("a1", "a2", "b1")
}


class TestLoadExchange(unittest.TestCase):
    def setUp(self) -> None:
        self.network = Network()
        self.received_by_name: dict[str, list[PeerReport]] = {}
        self.exchanges = {
            peer.name: self.make_exchange(peer.name, domain)
            for domain, order in ORDERS.items()
            for peer in order
        }

    def make_exchange(self, name: str, domain: str) -> LoadExchange:
        relay = FakeRelay(self.network, name, domain)

        def record(now: float, updates: Sequence[PeerReport]) -> None:
            self.received_by_name.setdefault(name, []).extend(updates)

        return LoadExchange(name, relay, record)  # type: ignore[arg-type]

    def run_round(self) -> None:
        for exchange in self.exchanges.values():
            exchange.on_wake()

    def test_report_reaches_every_instance_in_a_few_rounds(self) -> None:
        reporter = ORDERS["b1"][2].name
        self.exchanges[reporter].record_own_report(("t1", 1), FULL)
        for _ in range(3):
            self.run_round()
        informed = {name for name, updates in self.received_by_name.items() if updates}
        self.assertEqual(informed, set(self.exchanges) - {reporter})
        for updates in self.received_by_name.values():
            self.assertEqual([item.incarnation for item in updates], [incarnation_hash(("t1", 1))])

    def test_only_roots_call_other_domains(self) -> None:
        """Guards against a full mesh of calls between instances."""
        self.run_round()
        roots = {order[0].name for order in ORDERS.values()}
        for caller, called in self.network.calls:
            if caller[:2] != called[:2]:
                self.assertLessEqual({caller, called}, roots)

    def test_missing_replies_are_ignored(self) -> None:
        self.network.handler_by_name.clear()
        self.run_round()
        self.assertEqual(self.received_by_name, {})
