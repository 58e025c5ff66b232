import unittest
from dataclasses import replace

from damasktide.catalog.adoption import (
    STORE_DOWN_AFTER_S,
    CatalogAccepted,
    OfferConfiguration,
    Source,
    Verdict,
    judge_offer,
    may_take_from_peers,
)
from damasktide.catalog.tests.samples import CATALOG, OTHER_LISTS, offer
from damasktide.store.rows import Row, RowRead


def adopt(given: OfferConfiguration) -> CatalogAccepted:
    accepted = judge_offer(None, given, peers_count=True).accepted
    assert accepted is not None
    return accepted


class JudgeOfferTest(unittest.TestCase):
    def test_only_higher_versions_are_adopted(self) -> None:
        """Guards against a configuration that reverts."""
        accepted = adopt(offer(5))
        for version in (4, 5):
            for source in Source:
                judgement = judge_offer(accepted, offer(version, source=source), True)
                self.assertIsNot(judgement.verdict, Verdict.ADOPTED)
                self.assertEqual(judgement.accepted.version, 5)  # type: ignore[union-attr]
        self.assertIs(judge_offer(accepted, offer(7), True).verdict, Verdict.ADOPTED)

    def test_store_confirms_what_peers_gave(self) -> None:
        """Guards against reporting 'peers' for good after the store is back."""
        judgement = judge_offer(adopt(offer(5)), offer(5, source=Source.STORE), True)
        assert judgement.accepted is not None
        self.assertIs(judgement.verdict, Verdict.CONFIRMED)
        self.assertIs(judgement.accepted.source, Source.STORE)

    def test_same_version_with_other_content_is_reported(self) -> None:
        """Guards against two different configurations under one version going unnoticed."""
        judgement = judge_offer(adopt(offer(5)), offer(5, OTHER_LISTS), True)
        self.assertIs(judgement.verdict, Verdict.DIFFERENT_CONTENT)

    def test_malformed_offers_change_nothing(self) -> None:
        """Guards against bytes that are not the object that the row names."""
        good = offer(5)
        malformed = (
            replace(good, object_bytes=OTHER_LISTS),
            replace(good, object_bytes=b""),
            replace(good, row_body="{"),
            replace(good, row_body="[]"),
            replace(good, version=6),
        )
        for bad in malformed:
            judgement = judge_offer(None, bad, True)
            self.assertEqual((judgement.verdict, judgement.accepted), (Verdict.MALFORMED, None))

    def test_lists_in_force_are_not_decoded_again(self) -> None:
        """Guards against stalls when only a failure domain was taken out of service."""
        accepted = adopt(offer(5))
        judgement = judge_offer(accepted, replace(offer(6), object_bytes=b""), True)
        assert judgement.accepted is not None
        self.assertIs(judgement.accepted.catalog, accepted.catalog)
        self.assertEqual(judgement.accepted.catalog, CATALOG)
        self.assertEqual(judgement.accepted.object_bytes, accepted.object_bytes)


class MayTakeFromPeersTest(unittest.TestCase):
    def test_peers_count_only_without_a_fresh_read(self) -> None:
        """Guards against peers overriding a store that can be read."""
        read = RowRead(Row("configuration", 5, "", ""), requested_at=100.0)
        silent = 100.0 + STORE_DOWN_AFTER_S
        self.assertTrue(may_take_from_peers(None, 6, 100.0))
        self.assertFalse(may_take_from_peers(read, 6, silent - 0.1))
        self.assertTrue(may_take_from_peers(read, 6, silent))

    def test_peers_may_give_a_version_whose_object_cannot_be_fetched(self) -> None:
        """Guards against waiting for an object store that is down while the table is up."""
        read = RowRead(Row("configuration", 5, "", ""), requested_at=100.0)
        self.assertTrue(may_take_from_peers(read, 5, 100.0))


if __name__ == "__main__":
    unittest.main()
