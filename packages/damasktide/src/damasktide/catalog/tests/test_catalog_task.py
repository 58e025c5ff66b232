import unittest
from unittest import mock

import gevent

from damasktide.catalog.adoption import CatalogSnapshot, OfferConfiguration, OfferOutcome, Source
from damasktide.catalog.catalog_task import (
    CatalogStatus,
    CatalogTask,
    DescribeCatalog,
    Subscribe,
)
from damasktide.catalog.changes import Change, apply_change
from damasktide.catalog.poller import TICKS_PER_READ, CatalogPoller, ReadNow
from damasktide.catalog.tests.samples import LISTS, OTHER_LISTS, offer
from damasktide.runtime.clock import ManualClock
from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.store_task import StoreTask
from damasktide_standins.platform.server import PlatformServer

ADA_CHANGE = Change("ada", "change-ada", "lists", lists=LISTS)
BISI_CHANGE = Change("bisi", "change-bisi", "lists", lists=OTHER_LISTS)


class CatalogTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = PlatformServer()
        self.platform.start()
        self.addCleanup(self.platform.stop)
        self.clock = ManualClock(1000.0)
        self.published: list[CatalogSnapshot] = []
        endpoints = StoreEndpoints(self.platform.url, self.platform.url, timeout_s=0.5)
        self.store = StoreTask(endpoints, clock=self.clock)
        self.catalog = CatalogTask([self.published.append], self.clock)
        for task in (self.store, self.catalog):
            task.start()
            self.addCleanup(task.stop)
        self.poller = CatalogPoller(self.store, self.catalog)

    def read_store(self) -> CatalogStatus:
        self.poller.read()
        status: CatalogStatus = self.catalog.ask(DescribeCatalog())
        return status

    def set_store_down(self, down: bool) -> None:
        self.platform.app.change_faults({"down": down})

    def test_new_versions_are_published_once_as_snapshots(self) -> None:
        """Guards against a change that is not published, or is published on each read."""
        self.assertEqual(self.read_store(), CatalogStatus(0, "", 0, 0.0, ""))
        apply_change(self.store, ADA_CHANGE).unwrap()
        for _ in range(3):
            status = self.read_store()
        self.assertEqual((status.version, status.source), (1, "store"))
        apply_change(self.store, Change("ada", "out", "domain-out", "ondo-a")).unwrap()
        self.read_store()
        self.assertEqual([accepted.version for accepted in self.published], [1, 2])
        self.assertEqual(self.published[1].configuration.domains_out, ("ondo-a",))
        late_snapshots: list[CatalogSnapshot] = []
        self.catalog.tell(Subscribe(late_snapshots.append))
        self.catalog.ask(DescribeCatalog())
        self.assertEqual(late_snapshots, self.published[1:])

    def test_instance_that_is_not_a_reader_reads_rarely_or_on_request(self) -> None:
        """Guards against store load that grows with the number of instances."""
        apply_change(self.store, ADA_CHANGE).unwrap()
        poller = CatalogPoller(self.store, self.catalog, is_reader=lambda: False)
        poller.read()
        self.catalog.ask(DescribeCatalog())
        with mock.patch.object(poller, "read") as read:
            for _ in range(2 * TICKS_PER_READ):
                poller._read_if_due()
            self.assertEqual(read.call_count, 2)
            poller.start()
            before = read.call_count
            poller.ask(ReadNow())
            poller.stop()
            self.assertGreater(read.call_count, before)

    def test_old_version_stays_in_force_while_the_object_is_missing(self) -> None:
        """Guards against empty or missing lists when an object cannot be fetched."""
        apply_change(self.store, ADA_CHANGE).unwrap()
        self.read_store()
        apply_change(self.store, BISI_CHANGE).unwrap()
        objects = self.platform.app.object_by_path
        path = next(path for path, data in objects.items() if data == OTHER_LISTS)
        del objects[path]
        status = self.read_store()
        self.assertEqual((status.version, status.store_version), (1, 2))
        self.assertIn("no object", status.problem)
        objects[path] = OTHER_LISTS
        status = self.read_store()
        self.assertEqual((status.version, status.problem), (2, ""))

    def test_restored_older_store_does_not_revert_the_instance(self) -> None:
        """Guards against undoing accepted changes when the store is restored from a backup."""
        apply_change(self.store, ADA_CHANGE).unwrap()
        table = self.platform.app.table
        saved = dict(table._item_by_key)
        apply_change(self.store, BISI_CHANGE).unwrap()
        self.read_store()
        table._item_by_key.clear()
        table._item_by_key.update(saved)
        status = self.read_store()
        self.assertEqual((status.version, status.store_version), (2, 1))
        self.assertIn("older than 2 in force", status.problem)
        other = Change("chidi", "fork", "domain-out", "oyo-a")
        apply_change(self.store, other).unwrap()
        self.assertIn("other content", self.read_store().problem)
        self.assertEqual([accepted.version for accepted in self.published], [2])

    def test_peer_offers_are_adopted_while_the_store_is_unavailable(self) -> None:
        """Guards against instances that stay at an old version, or prefer peers to the store."""
        apply_change(self.store, ADA_CHANGE).unwrap()
        self.read_store()
        higher_offer = offer(2, OTHER_LISTS)
        self.assertIs(self.catalog.ask(higher_offer), OfferOutcome.STORE_REACHABLE)
        self.set_store_down(True)
        self.clock.advance(3.0)
        status = self.read_store()
        self.assertNotEqual(status.problem, "")
        self.assertIs(self.catalog.ask(higher_offer), OfferOutcome.ADOPTED)
        self.assertEqual(self.read_store().source, "peers")
        self.set_store_down(False)
        apply_change(self.store, BISI_CHANGE).unwrap()
        self.assertIn("other content", self.read_store().problem)
        self.assertEqual([a.source for a in self.published], [Source.STORE, Source.PEERS])

    def test_store_becomes_the_source_once_it_confirms_the_version_of_the_peers(self) -> None:
        """Guards against reporting 'peers' as the source after the store confirmed the version."""
        apply_change(self.store, ADA_CHANGE).unwrap()
        row = self.platform.app.table._item_by_key[("damasktide", "configuration")]

        offered = OfferConfiguration(1, row["body"]["S"], LISTS)
        self.assertIs(self.catalog.ask(offered), OfferOutcome.ADOPTED)
        status = self.read_store()
        self.assertEqual((status.version, status.source), (1, "store"))

    def test_slow_store_does_not_delay_offers_of_peers(self) -> None:
        """Guards against a store outage that also blocks the fallback to peers."""
        self.platform.app.change_faults({"slow_ms": 400})
        read = gevent.spawn(self.poller.read)
        gevent.sleep(0.01)
        outcome = self.catalog.ask(offer(1), timeout_s=0.2)
        self.assertIs(outcome, OfferOutcome.ADOPTED)
        read.join()

    def test_poller_reads_every_second(self) -> None:
        """Guards against a change that takes longer than a read interval to take effect."""
        apply_change(self.store, ADA_CHANGE).unwrap()
        self.poller.start()
        self.addCleanup(self.poller.stop)
        gevent.sleep(0.3)
        apply_change(self.store, BISI_CHANGE).unwrap()
        gevent.sleep(1.2)
        self.assertEqual([accepted.version for accepted in self.published], [1, 2])


if __name__ == "__main__":
    unittest.main()
