"""The relay tree and its repair after failures, without a network."""

import unittest
from typing import ClassVar

from damasktide.keyspace.leadership import MAX_READ_AGE_S
from damasktide.relay.sources import (
    IMMEDIATE_FALLBACK_INSTANCES,
    MAX_AGE_S,
    MIN_PEER_BACKOFF_S,
    NON_ROOT_STORE_RETRY_S,
    ROOT_STORE_RETRY_S,
    RelaySourceSelector,
)
from damasktide.relay.tree import FAN_OUT, RelayPeer, Upstream, parent, relay_order, upstream

# Time within which a new configuration or a leaving target must be known.
KNOWN_WITHIN_S = 2.5
NONE_EXCLUDED: frozenset[str] = frozenset()


def peers(count: int, link_mbps: float = 100.0) -> list[RelayPeer]:
    return [RelayPeer(f"i{n}", (f"10.0.0.{n}", 7000), link_mbps) for n in range(count)]


class TestTree(unittest.TestCase):
    def test_instance_with_the_fastest_link_is_the_root(self) -> None:
        """Guards against sending a configuration to a whole domain over a 5 Mbit/s link."""
        order = relay_order([*peers(5, link_mbps=5.0), RelayPeer("fast", ("h", 1), 100.0)])
        self.assertEqual(order[0].name, "fast")

    def test_every_instance_computes_the_same_order(self) -> None:
        self.assertEqual(relay_order(peers(9)), relay_order(reversed(peers(9))))

    def test_parent_is_above_each_instance_and_the_root_has_none(self) -> None:
        for count in (1, 2, 25, 26, 126, 700):
            order = relay_order(peers(count))
            children: dict[str, int] = {}
            for index, peer in enumerate(order):
                found, depth = parent(order, peer.name, NONE_EXCLUDED)
                if index == 0:
                    self.assertIsNone(found)
                    continue
                assert found is not None
                self.assertLess(order.index(found), index)
                self.assertLessEqual(depth, 3)
                children[found.name] = children.get(found.name, 0) + 1
            self.assertLessEqual(max(children.values(), default=0), FAN_OUT)

    def test_unlisted_instance_has_a_parent(self) -> None:
        self.assertIsNotNone(parent(relay_order(peers(3)), "new", NONE_EXCLUDED)[0])
        self.assertEqual(parent((), "new", NONE_EXCLUDED), (None, 0))

    def test_second_instance_replaces_a_lost_root(self) -> None:
        order = relay_order(peers(4))
        excluded = frozenset({order[0].name})
        self.assertIsNone(parent(order, order[1].name, excluded)[0])
        self.assertEqual(parent(order, order[3].name, excluded)[0], order[1])


class TestUpstream(unittest.TestCase):
    """Sources of the roots in a region far from the store."""

    REGION_BY_DOMAIN: ClassVar[dict[str, str]] = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

    def peers_by_domain(
        self, near_s: float | None = 0.001, far_s: float | None = 0.06
    ) -> dict[str, list[RelayPeer]]:
        return {
            domain: [
                RelayPeer(
                    f"{domain}-{n}", (domain, n), 100.0 - n, near_s if region == "a" else far_s
                )
                for n in range(3)
            ]
            for domain, region in self.REGION_BY_DOMAIN.items()
        }

    def found(self, domain: str, **round_trips: float | None) -> tuple[list[str], int]:
        found = upstream(self.peers_by_domain(**round_trips), self.REGION_BY_DOMAIN, domain)
        return [peer.name for peer in found.peers], found.depth

    def test_roots_near_the_store_ask_the_store(self) -> None:
        self.assertEqual(self.found("a1"), ([], 0))
        self.assertEqual(self.found("a2"), ([], 0))

    def test_one_root_of_a_far_region_asks_the_near_ones_and_the_others_ask_it(self) -> None:
        """Guards against a large change that crosses the regions' link for each domain."""
        by_depth = {self.found(domain)[1]: self.found(domain)[0] for domain in ("b1", "b2")}
        self.assertEqual(set(by_depth), {1, 2})
        self.assertEqual(set(by_depth[1]), {"a1-0", "a2-0"})
        self.assertIn(by_depth[2][0], {"b1-0", "b2-0"})
        self.assertEqual(by_depth[2][1:], by_depth[1])

    def test_unknown_or_equal_distances_leave_the_store_as_the_source(self) -> None:
        """Guards against two regions that ask each other and never the store."""
        for near_s, far_s in ((None, None), (0.06, 0.06), (0.001, 0.002)):
            with self.subTest(near_s=near_s, far_s=far_s):
                self.assertEqual(self.found("b1", near_s=near_s, far_s=far_s), ([], 0))

    def test_slow_start_of_one_instance_does_not_make_its_region_far(self) -> None:
        peers_by_domain = self.peers_by_domain()
        peers_by_domain["a1"] = [RelayPeer("a1-0", ("a1", 0), 100.0, 0.09)]
        self.assertEqual(upstream(peers_by_domain, self.REGION_BY_DOMAIN, "a1").peers, ())


class TestSources(unittest.TestCase):
    def setUp(self) -> None:
        self.order = relay_order(peers(6))
        self.sources = RelaySourceSelector(self.order[5].name)
        self.sources.set_order(self.order)

    def source_name(self, now: float) -> str | None:
        source = self.sources.source(now)
        return source.peer.name if source is not None else None

    def test_exclusion_of_an_unresponsive_instance_grows(self) -> None:
        """Guards against calls delayed by a machine that is permanently gone."""
        root, second = self.order[0].name, self.order[1].name
        self.sources.record_peer_failure(0.0, root)
        self.assertEqual(self.source_name(0.1), second)
        self.assertEqual(self.source_name(MIN_PEER_BACKOFF_S), root)
        self.sources.record_peer_failure(MIN_PEER_BACKOFF_S, root)
        self.assertEqual(self.source_name(2.5 * MIN_PEER_BACKOFF_S), second)

    def test_concurrent_failures_count_once(self) -> None:
        root = self.order[0].name
        for _ in range(4):
            self.sources.record_peer_failure(0.0, root)
        self.assertEqual(self.source_name(MIN_PEER_BACKOFF_S), root)

    def test_reply_ends_the_exclusion(self) -> None:
        root = self.order[0].name
        self.sources.record_peer_failure(0.0, root)
        self.sources.record_peer_reply(root)
        self.assertEqual(self.source_name(0.1), root)

    def test_unavailable_store_is_called_less_often_by_instances_other_than_the_root(self) -> None:
        """Guards against all instances flooding a store that is down with calls."""
        self.sources.record_store_failure(0.0)
        self.assertFalse(self.sources.may_call_store(NON_ROOT_STORE_RETRY_S - 0.1))
        self.assertTrue(self.sources.may_call_store(NON_ROOT_STORE_RETRY_S))
        root = RelaySourceSelector(self.order[0].name)
        root.set_order(self.order)
        root.record_store_failure(0.0)
        self.assertTrue(root.may_call_store(ROOT_STORE_RETRY_S))

    def test_store_response_ends_the_retry_interval(self) -> None:
        self.sources.record_store_failure(0.0)
        self.sources.record_store_response()
        self.assertTrue(self.sources.may_call_store(0.0))

    def test_root_falls_back_to_the_second_instance(self) -> None:
        root = RelaySourceSelector(self.order[0].name)
        root.set_order(self.order)
        self.assertIsNone(root.source(0.0))
        found = root.fallback_source(0.0)
        assert found is not None
        self.assertEqual(found.peer, self.order[1])

    def test_first_instances_after_the_root_fall_back_to_the_store(self) -> None:
        """Guards against a small domain learning of a leaving target later than 2.5 s."""
        for peer in self.order[1 : 1 + IMMEDIATE_FALLBACK_INSTANCES]:
            sources = RelaySourceSelector(peer.name)
            sources.set_order(self.order)
            self.assertIsNone(sources.fallback_source(0.0))

    def test_other_instances_fall_back_to_the_second_instance(self) -> None:
        """Guards against a whole domain calling the store over a saturated link."""
        found = self.sources.fallback_source(0.0)
        assert found is not None
        self.assertEqual(found.peer, self.order[1])

    def test_store_retry_interval_does_not_grow(self) -> None:
        """Guards against a machine that stays outdated because its sources are isolated."""
        for _ in range(10):
            self.sources.record_store_failure(0.0)
        self.assertTrue(self.sources.may_call_store(NON_ROOT_STORE_RETRY_S))
        self.assertLessEqual(MAX_AGE_S + NON_ROOT_STORE_RETRY_S, KNOWN_WITHIN_S)

    def test_maximum_age_grows_with_the_depth(self) -> None:
        order = relay_order(peers(60))
        leaf = RelaySourceSelector(order[59].name)
        leaf.set_order(order)
        source = leaf.source(0.0)
        assert source is not None
        self.assertGreater(source.max_age_s, MAX_AGE_S)

    def test_relayed_row_is_no_older_than_leaders_assume(self) -> None:
        """Guards against a leader that renews grants longer than its successor waits.

        A leader whose write got no response counts its lease from the oldest time at which the
        row that it reads can have been written.
        """
        near = tuple(RelayPeer(f"n{n}", ("10.1.0.1", n), 100.0) for n in range(2))
        order = relay_order(peers(60))
        for name in (order[0].name, order[59].name):
            selector = RelaySourceSelector(name)
            selector.set_order(order, Upstream(near, frozenset(), 2))
            source = selector.source(0.0)
            assert source is not None
            self.assertLessEqual(source.max_age_s + source.reply_margin_s, MAX_READ_AGE_S)
