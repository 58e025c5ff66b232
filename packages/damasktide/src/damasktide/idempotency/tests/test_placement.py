import unittest
from collections import Counter

from damasktide.idempotency.placement import deduplicator_of_shard, identity_of

INSTANCES = tuple(f"ondo-a-{number}#5f3c9a10" for number in range(5))


class PlacementTest(unittest.TestCase):
    def test_lost_instance_moves_only_its_own_shards(self) -> None:
        """Guards against records that are lost although their deduplicator is alive."""
        lost = INSTANCES[2]
        rest = [instance for instance in INSTANCES if instance != lost]
        before = {shard: deduplicator_of_shard(INSTANCES, "desk", shard) for shard in range(512)}
        for shard, deduplicator in before.items():
            if deduplicator != lost:
                self.assertEqual(deduplicator_of_shard(rest, "desk", shard), deduplicator)
        self.assertLess(max(Counter(before.values()).values()), 1.4 * 512 / 5)

    def test_choice_does_not_depend_on_the_order(self) -> None:
        """Guards against two deduplicators of one shard."""
        self.assertEqual(
            deduplicator_of_shard(INSTANCES, "desk", 7),
            deduplicator_of_shard(INSTANCES[::-1], "desk", 7),
        )

    def test_identities_of_different_requests_differ(self) -> None:
        """Guards against a customer who gets the response to another customer's request."""
        first = identity_of("anna", "desk", "book", "k1", "r1")
        self.assertNotEqual(first, identity_of("bola", "desk", "book", "k1", "r1"))
        self.assertNotEqual(first, identity_of("annad", "esk", "book", "k1", "r1"))


if __name__ == "__main__":
    unittest.main()
