"""Plans move few keys and assign every key exactly once."""

import itertools
import unittest
from dataclasses import replace
from random import Random

from damasktide.keyspace.key_map import KEY_COUNT, Incarnation, KeyMap, merge_adjacent
from damasktide.keyspace.planner import MIN_FAIR_SHARE_RATIO, MIN_PIECE_KEYS, Holder, move, plan

# With four grants in flight and a round trip of 60 ms, this many ranges are renewed within a
# renewal interval.
MAX_RANGES_PER_TARGET = 24


def holders(*names: str) -> list[Holder]:
    return [Holder((name, 1), 6) for name in names]


def size_by_holder(key_map: KeyMap) -> dict[Incarnation, int]:
    size_by_incarnation: dict[Incarnation, int] = {}
    for key_range in key_map.ranges:
        size_by_incarnation[key_range.holder] = (
            size_by_incarnation.get(key_range.holder, 0) + key_range.size
        )
    return size_by_incarnation


def moved_key_count(before: KeyMap, after: KeyMap) -> int:
    """Return the number of keys whose holder differs."""
    bounds = [
        *sorted({key_range.first for key_range in (*before.ranges, *after.ranges)}),
        KEY_COUNT,
    ]
    count = 0
    for first, following in itertools.pairwise(bounds):
        old, new = before.find(first), after.find(first)
        if old is not None and new is not None and old.holder != new.holder:
            count += following - first
    return count


class TestPlan(unittest.TestCase):
    def assert_covers(self, key_map: KeyMap) -> None:
        following = 0
        for key_range in key_map.ranges:
            self.assertEqual(key_range.first, following)
            following = key_range.last + 1
        self.assertEqual(following, KEY_COUNT)

    def test_first_plan_assigns_all_keys(self) -> None:
        first = plan(KeyMap("s"), holders("a", "b", "c"))
        self.assert_covers(first)
        self.assertLess(
            max(size_by_holder(first).values()) - min(size_by_holder(first).values()),
            MIN_PIECE_KEYS,
        )

    def test_unchanged_holders_change_nothing(self) -> None:
        first = plan(KeyMap("s"), holders("a", "b", "c"))
        self.assertIs(plan(first, holders("a", "b", "c")), first)

    def test_without_holders_nothing_changes(self) -> None:
        first = plan(KeyMap("s"), holders("a", "b"))
        self.assertIs(plan(first, []), first)

    def test_loss_moves_only_the_keys_of_the_lost_target(self) -> None:
        first = plan(KeyMap("s"), holders("a", "b", "c", "d"))
        after = plan(first, holders("a", "b", "c"))
        self.assert_covers(after)
        self.assertEqual(moved_key_count(first, after), size_by_holder(first)[("d", 1)])

    def test_new_holder_gets_its_share_and_no_other_keys_move(self) -> None:
        first = plan(KeyMap("s"), holders("a", "b", "c"))
        after = plan(first, holders("a", "b", "c", "d"))
        self.assert_covers(after)
        self.assertGreaterEqual(
            size_by_holder(after)[("d", 1)], MIN_FAIR_SHARE_RATIO * KEY_COUNT / 4
        )
        self.assertLessEqual(moved_key_count(first, after), KEY_COUNT / 4 + MIN_PIECE_KEYS)

    def test_each_change_has_a_higher_fence(self) -> None:
        """A key moves to another target or incarnation only with a higher fence."""
        rng = Random(5)
        key_map = plan(KeyMap("s"), holders("a", "b", "c"))
        for incarnation in range(2, 40):
            names = rng.sample("abcdefgh", rng.randrange(1, 8))
            new_holders = [Holder((name, rng.randrange(1, incarnation)), 6) for name in names]
            after = plan(key_map, new_holders)
            self.assert_covers(after)
            for key_range in after.ranges:
                for key in (key_range.first, key_range.last):
                    old = key_map.find(key)
                    assert old is not None
                    if old.holder != key_range.holder:
                        self.assertGreater(key_range.fence, key_map.last_fence)
                        self.assertIn(key_range.previous, (old.holder, old.previous))
            key_map = after

    def test_new_incarnation_counts_as_another_holder(self) -> None:
        first = plan(KeyMap("s"), holders("a", "b"))
        after = plan(first, [Holder(("a", 2), 6), Holder(("b", 1), 6)])
        self.assertNotIn(("a", 1), size_by_holder(after))

    def test_move_of_a_few_keys_leaves_the_others(self) -> None:
        first = plan(KeyMap("s"), holders("a", "b"))
        after = move(first, 100, 149, ("b", 1))
        self.assert_covers(after)
        self.assertEqual(moved_key_count(first, after), 50)


class TestSeries(unittest.TestCase):
    """Targets that come and go, as during releases and scaling of a service with 17 targets."""

    def run_series(self, seed: int) -> tuple[KeyMap, int]:
        rng = Random(seed)
        names = [f"t{number}" for number in range(17)]
        key_map = plan(KeyMap("s"), holders(*names))
        for step in range(40):
            if rng.random() < 0.5 and len(names) > 8:
                names.remove(rng.choice(names))
            else:
                names.append(f"n{step}")
            key_map = plan(key_map, holders(*names))
            # Previous holders have released their keys.
            ranges = tuple(replace(key_range, previous=None) for key_range in key_map.ranges)
            key_map = replace(key_map, ranges=tuple(merge_adjacent(ranges)))
            self.assertIs(plan(key_map, holders(*names)), key_map)
        return key_map, len(names)

    def test_plan_is_stable_after_each_step(self) -> None:
        """Guards against keys moving endlessly between holders near their fair share."""
        for seed in range(10):
            with self.subTest(seed=seed):
                self.run_series(seed)

    def test_ranges_stay_few(self) -> None:
        """Guards against a holder having too many ranges to renew in time."""
        for seed in range(10):
            with self.subTest(seed=seed):
                key_map, targets = self.run_series(seed)
                self.assertLessEqual(len(key_map.ranges), MAX_RANGES_PER_TARGET * targets)
