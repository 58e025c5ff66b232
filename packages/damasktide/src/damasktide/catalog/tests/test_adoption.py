import unittest
from dataclasses import replace

from damasktide.catalog.adoption import (
    STORE_UNAVAILABLE_AFTER_S,
    CatalogSnapshot,
    OfferConfiguration,
    OfferOutcome,
    Source,
    evaluate_offer,
    may_accept_from_peers,
)
from damasktide.catalog.tests.samples import CATALOG, OTHER_LISTS, offer
from damasktide.store.rows import Row, RowRead


def adopt(offered: OfferConfiguration) -> CatalogSnapshot:
    accepted = evaluate_offer(None, offered, accepts_peer_offers=True).accepted
    assert accepted is not None
    return accepted


class EvaluateOfferTest(unittest.TestCase):
    def test_only_higher_versions_are_adopted(self) -> None:
        """Guards against reverting to an older configuration."""
        accepted = adopt(offer(5))
        for version in (4, 5):
            for source in Source:
                evaluation = evaluate_offer(accepted, offer(version, source=source), True)
                self.assertIsNot(evaluation.outcome, OfferOutcome.ADOPTED)
                self.assertEqual(evaluation.accepted.version, 5)  # type: ignore[union-attr]
        self.assertIs(evaluate_offer(accepted, offer(7), True).outcome, OfferOutcome.ADOPTED)

    def test_store_confirms_a_version_adopted_from_peers(self) -> None:
        """Guards against reporting 'peers' as the source after the store is available again."""
        evaluation = evaluate_offer(adopt(offer(5)), offer(5, source=Source.STORE), True)
        assert evaluation.accepted is not None
        self.assertIs(evaluation.outcome, OfferOutcome.CONFIRMED)
        self.assertIs(evaluation.accepted.source, Source.STORE)

    def test_same_version_with_other_content_is_reported(self) -> None:
        """Guards against an unnoticed second configuration with the same version."""
        evaluation = evaluate_offer(adopt(offer(5)), offer(5, OTHER_LISTS), True)
        self.assertIs(evaluation.outcome, OfferOutcome.DIFFERENT_CONTENT)

    def test_malformed_offers_change_nothing(self) -> None:
        """Guards against adopting an object other than the one that the row references."""
        good = offer(5)
        malformed = (
            replace(good, object_bytes=OTHER_LISTS),
            replace(good, object_bytes=b""),
            replace(good, row_body="{"),
            replace(good, row_body="[]"),
            replace(good, version=6),
        )
        for bad in malformed:
            evaluation = evaluate_offer(None, bad, True)
            self.assertEqual(
                (evaluation.outcome, evaluation.accepted), (OfferOutcome.MALFORMED, None)
            )

    def test_lists_in_force_are_not_decoded_again(self) -> None:
        """Guards against slow decoding when only a failure domain was taken out of service."""
        accepted = adopt(offer(5))
        evaluation = evaluate_offer(accepted, replace(offer(6), object_bytes=b""), True)
        assert evaluation.accepted is not None
        self.assertIs(evaluation.accepted.catalog, accepted.catalog)
        self.assertEqual(evaluation.accepted.catalog, CATALOG)
        self.assertEqual(evaluation.accepted.object_bytes, accepted.object_bytes)


class MayAcceptFromPeersTest(unittest.TestCase):
    def test_peer_offers_are_accepted_only_without_a_recent_read(self) -> None:
        """Guards against peers overriding an available store."""
        read = RowRead(Row("configuration", 5, "", ""), requested_at=100.0)
        unavailable_at = 100.0 + STORE_UNAVAILABLE_AFTER_S
        self.assertTrue(may_accept_from_peers(None, 6, 100.0))
        self.assertFalse(may_accept_from_peers(read, 6, unavailable_at - 0.1))
        self.assertTrue(may_accept_from_peers(read, 6, unavailable_at))

    def test_peers_may_offer_a_version_whose_object_cannot_be_fetched(self) -> None:
        """Guards against waiting for the object store when only the table is available."""
        read = RowRead(Row("configuration", 5, "", ""), requested_at=100.0)
        self.assertTrue(may_accept_from_peers(read, 5, 100.0))


if __name__ == "__main__":
    unittest.main()
