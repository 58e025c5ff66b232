"""Demand of the keys: measurement, messages, and the sum over all instances."""

import unittest
from math import exp

from damasktide.demand.codec import (
    MAX_RECORDS,
    MalformedReportError,
    decode_report,
    encode_report,
)
from damasktide.demand.messages import (
    BUCKET_KEYS,
    DemandReport,
    Speed,
    merge_reports,
    service_hash,
)
from damasktide.demand.meter import DEMAND_TAU_S, DemandMeter
from damasktide.demand.task import MAX_REPORT_AGE_S, DemandExchange, ReportReceived
from damasktide.loads.tests.test_task import ORDERS, FakeRelay, Network
from damasktide.relay.tree import RelayPeer

SERVICE = "ledger"
LEDGER = service_hash(SERVICE)


class TestMeter(unittest.TestCase):
    def test_steady_requests_occupy_their_slots(self) -> None:
        """20 requests a second of 0.25 s each occupy 5 slots."""
        meter = DemandMeter()
        for step in range(400):
            meter.record_request(step / 20.0, SERVICE, 100, 0.25)
        self.assertAlmostEqual(meter.loads(20.0)[(LEDGER, 100 // BUCKET_KEYS)], 5.0, delta=0.5)

    def test_demand_decays_and_is_forgotten(self) -> None:
        meter = DemandMeter()
        meter.record_request(0.0, SERVICE, 0, 1.0)
        decayed = meter.loads(DEMAND_TAU_S)[(LEDGER, 0)]
        self.assertAlmostEqual(decayed, exp(-1.0) / DEMAND_TAU_S)
        self.assertEqual(meter.loads(100.0), {})


class TestMessages(unittest.TestCase):
    def test_reports_are_summed_and_speeds_averaged(self) -> None:
        merged = merge_reports(
            iter(
                (
                    DemandReport({(LEDGER, 1): 2.0}, {7: Speed(1.0, 10.0)}),
                    DemandReport({(LEDGER, 1): 1.0, (5, 1): 4.0}, {7: Speed(2.0, 30.0)}),
                )
            )
        )
        self.assertEqual(merged.loads_of(SERVICE), {1: 3.0})
        self.assertEqual(merged.speed_by_incarnation, {7: Speed(1.75, 40.0)})

    def test_encoding_preserves_all_fields(self) -> None:
        report = DemandReport({(LEDGER, 4095): 0.5, (1, 0): 2.0}, {9: Speed(0.5, 3.0)})
        self.assertEqual(decode_report(encode_report(report)), report)
        self.assertEqual(decode_report(encode_report(DemandReport())), DemandReport())

    def test_heaviest_loads_are_kept(self) -> None:
        loads = {(service, bucket): float(bucket) for service in (1, 2) for bucket in range(4096)}
        decoded = decode_report(encode_report(DemandReport(loads)))
        self.assertEqual(len(decoded.load_by_bucket), MAX_RECORDS)
        self.assertGreaterEqual(min(decoded.load_by_bucket.values()), 2047.0)

    def test_malformed_reports_are_rejected(self) -> None:
        complete = encode_report(DemandReport({(1, 1): 1.0}, {9: Speed(0.5, 3.0)}))
        infinite = encode_report(DemandReport({(1, 1): float("inf")}))
        for data in (b"", b"x", complete[:-1], complete + b"x", infinite):
            with self.subTest(data=data), self.assertRaises(MalformedReportError):
                decode_report(data)


class TestExchange(unittest.TestCase):
    """Three failure domains of three instances; the leader is the root of one of them."""

    def setUp(self) -> None:
        self.network = Network()
        self.found: list[DemandReport] = []
        self.leader: RelayPeer | None = ORDERS["a1"][0]
        self.exchanges = {
            peer.name: self.make_exchange(peer.name, domain)
            for domain, order in ORDERS.items()
            for peer in order
        }

    def make_exchange(self, name: str, domain: str) -> DemandExchange:
        return DemandExchange(
            name,
            FakeRelay(self.network, name, domain),  # type: ignore[arg-type]
            lambda: self.leader,
            lambda: [(9, Speed(2.0, 1.0))],
            self.found.append,
        )

    def run_round(self) -> None:
        """Let every instance report, those far from the leader first."""
        for domain in ("b1", "a2", "a1"):
            for peer in reversed(ORDERS[domain]):
                self.exchanges[peer.name]._report()
                for exchange in self.exchanges.values():
                    while not exchange._inbox.empty():
                        exchange._report_received(exchange._inbox.get().message)

    def test_leader_gets_the_sum_of_all_instances_once(self) -> None:
        for exchange in self.exchanges.values():
            exchange.record_request(SERVICE, 100, 1.0)
        self.run_round()
        expected = len(self.exchanges) / DEMAND_TAU_S
        load = self.found[-1].loads_of(SERVICE)[100 // BUCKET_KEYS]
        self.assertAlmostEqual(load, expected, delta=0.2 * expected)
        self.assertEqual(self.found[-1].speed_by_incarnation[9].weight, 9.0)

    def test_report_of_an_instance_that_is_gone_is_dropped(self) -> None:
        exchange = self.exchanges[ORDERS["a1"][0].name]
        exchange._report_received(ReportReceived("b1-0", DemandReport({(LEDGER, 1): 1.0})))
        gone = exchange._received_by_sender["b1-0"]
        exchange._received_by_sender["b1-0"] = type(gone)(
            gone.at - MAX_REPORT_AGE_S - 1.0, gone.report
        )
        exchange._report()
        self.assertEqual(self.found[-1].loads_of(SERVICE), {})

    def test_nothing_is_sent_without_demand_or_leader(self) -> None:
        self.run_round()
        self.assertEqual(self.network.calls, [])
        self.leader = None
        self.exchanges["b1-1"].record_request(SERVICE, 1, 1.0)
        self.run_round()
        self.assertEqual(self.network.calls, [])
