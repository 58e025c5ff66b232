import unittest
from random import Random

from damasktide.balancing.targets import Target
from damasktide.limits.members import CONTACT_TIMEOUT_S, GROWTH_DELAY_S, Member, SharerTracker
from damasktide.limits.rate_limiter import RateLimiter
from damasktide.limits.shares import instances_in_slot_order, share_by_server
from damasktide.membership.instances import Instance, InstanceState

STEP_S = 0.1
UPDATE_DELAY_S = 0.5
SUSPICION_S = 1.0
LOCATIONS = (
    ("north-a", "north"),
    ("north-b", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
)


def instance(index: int) -> Instance:
    domain, region = LOCATIONS[index % len(LOCATIONS)]
    return Instance(f"i{index}#{index * 7919:08x}", domain, region, "127.0.0.1", 1, 2)


def targets(count: int) -> list[Target]:
    return [
        Target(f"t{index}", "desk", *LOCATIONS[index % len(LOCATIONS)], "127.0.0.1", 1)
        for index in range(count)
    ]


class Fleet:
    """Simulates instances whose membership views lag behind, without sleeping."""

    def __init__(
        self,
        count: int,
        growth_delay_s: float = GROWTH_DELAY_S,
        contact_timeout_s: float = CONTACT_TIMEOUT_S,
    ) -> None:
        self.now = 0.0
        self.tracker_by_index: dict[int, SharerTracker] = {}
        self.running_since: dict[int, float] = {}
        self.stopped_at: dict[int, float] = {}
        self._delays = growth_delay_s, contact_timeout_s
        self._rng = Random(7)
        self._update_delay_by_index: dict[int, float] = {}
        self.targets = targets(25)
        for index in range(count):
            self.start(index)
        self.run(4.0)

    def start(self, index: int) -> None:
        self.tracker_by_index.setdefault(index, SharerTracker(instance(index), *self._delays))
        self.running_since[index] = self.now
        self._update_delay_by_index[index] = self._rng.uniform(0.1, UPDATE_DELAY_S)
        self.stopped_at.pop(index, None)

    def stop(self, index: int) -> None:
        self.stopped_at[index] = self.now

    def run(self, seconds: float) -> list[int]:
        """Advance and return, per step, the largest number of used slots of any target."""
        return [self._step() for _ in range(round(seconds / STEP_S))]

    def _step(self) -> int:
        self.now += STEP_S
        running = [index for index in self.tracker_by_index if index not in self.stopped_at]
        for index in running:
            # After a start or a pause, an instance receives updates from the next step on.
            if self.now - self.running_since[index] > STEP_S / 2:
                self.tracker_by_index[index].set_members(
                    self.now, self._members_observed_by(index)
                )
                self.tracker_by_index[index].record_contact(self.now)
        return max(self._slots_used(running).values())

    def _members_observed_by(self, observer: int) -> list[Member]:
        delay_s = self._update_delay_by_index[observer]
        members = []
        for index in self.tracker_by_index:
            stopped_s = self.now - self.stopped_at.get(index, self.now)
            failed = stopped_s > SUSPICION_S + delay_s
            state = InstanceState.FAILED if failed else InstanceState.ALIVE
            if self.now - self.running_since[index] > delay_s:
                members.append(Member(instance(index), state))
        return members

    def _slots_used(self, running: list[int]) -> dict[str, int]:
        used = dict.fromkeys((target.server_id for target in self.targets), 0)
        for index in running:
            tracker = self.tracker_by_index[index]
            shares = share_by_server(tracker.own, tracker.sharers(self.now), self.targets)
            for target in self.targets:
                used[target.server_id] += shares[target.server_id].of(target.slots)
        return used


class SharingTest(unittest.TestCase):
    def test_shares_of_one_view_use_every_slot_once(self) -> None:
        """Guards against slots that no instance or more than one instance may use."""
        members = [instance(index) for index in range(10)]
        for target in targets(25):
            for limit in (1, 2, 6, 110):
                shares_of_members = [share_by_server(own, members, [target]) for own in members]
                total = sum(shares[target.server_id].of(limit) for shares in shares_of_members)
                self.assertEqual(total, limit)

    def test_first_instance_in_slot_order_has_the_first_slot(self) -> None:
        """Guards against keyed work forwarded to an instance that has no slot either."""
        members = [instance(index) for index in range(10)]
        for target in targets(25):
            first = instances_in_slot_order(members, target)[0]
            share = share_by_server(first, members, [target])[target.server_id]
            self.assertEqual((share.position, first.domain), (0, target.domain))

    def test_seeded_joins_and_losses_never_exceed_the_slots(self) -> None:
        """Guards against shares that grow before those of a lost instance have ended."""
        for seed in range(5):
            self.assertEqual(max(self._churn(seed, Fleet(6))), 6, seed)
        # Control: without the delay, a new instance uses slots before the others reduce theirs.
        self.assertGreater(max(self._churn(0, Fleet(6, growth_delay_s=0.0))), 6)

    @staticmethod
    def _churn(seed: int, fleet: Fleet) -> list[int]:
        rng = Random(seed)
        used_slots: list[int] = []
        for index in range(6, 10):
            fleet.start(index)
            used_slots += fleet.run(rng.uniform(0.3, 5.0))
            running = [key for key in fleet.tracker_by_index if key not in fleet.stopped_at]
            fleet.stop(rng.choice(running))
            used_slots += fleet.run(rng.uniform(0.3, 5.0))
        return used_slots

    def test_lost_share_is_used_again(self) -> None:
        """Guards against slots that stay unused after an instance is lost."""
        fleet = Fleet(6)
        fleet.stop(0)
        used_slots = fleet.run(SUSPICION_S + GROWTH_DELAY_S + 1.0)
        self.assertEqual((min(used_slots), used_slots[-1]), (5, 6))

    @staticmethod
    def pause_and_resume(fleet: Fleet) -> list[int]:
        fleet.stop(0)
        fleet.run(10.0)
        fleet.start(0)
        return fleet.run(10.0)

    def test_resumed_instance_exceeds_the_slots_only_until_updates_arrive(self) -> None:
        """Guards against a resumed instance that keeps using the share it had before."""
        used_slots = self.pause_and_resume(Fleet(3))
        exceeded_s = sum(total > 6 for total in used_slots) * STEP_S
        self.assertGreater(exceeded_s, 0.0)
        self.assertLessEqual(exceeded_s, UPDATE_DELAY_S + STEP_S)
        self.assertEqual(used_slots[-1], 6)

    def test_resumed_instance_shares_with_all_known_instances(self) -> None:
        """Guards against an instance without contact to its peers that keeps a grown share."""
        for contact_timeout_s, expected in ((CONTACT_TIMEOUT_S, 10), (1e9, 5)):
            tracker = SharerTracker(instance(0), contact_timeout_s=contact_timeout_s)
            everyone = [Member(instance(index), InstanceState.ALIVE) for index in range(10)]
            tracker.set_members(0.0, everyone)
            for tenth in range(100):
                tracker.record_contact(tenth / 10)
                tracker.set_members(tenth / 10, everyone[:5] if tenth > 20 else everyone)
            self.assertEqual(len(tracker.sharers(9.9)), 5)
            self.assertEqual(len(tracker.sharers(12.0)), expected)


class RateLimiterTest(unittest.TestCase):
    @staticmethod
    def count_admitted(limiters: list[RateLimiter], seconds: float, per_s: int) -> int:
        total = 0
        for limiter in limiters:
            limiter.set_rates(0.0, {"trust": 100.0})
            for step in range(int(seconds * per_s)):
                total += limiter.take(step / per_s, "trust") == 0.0
        return total

    def test_all_instances_together_admit_the_plan_volume(self) -> None:
        """Guards against a customer that gets its full volume on each instance."""
        shared = [RateLimiter(0.1) for _ in range(10)]
        self.assertAlmostEqual(self.count_admitted(shared, 20.0, 50), 2100, delta=20)
        unshared = [RateLimiter(1.0) for _ in range(10)]
        self.assertEqual(self.count_admitted(unshared, 20.0, 50), 10000)

    def test_refusal_gives_the_time_until_a_retry_succeeds(self) -> None:
        """Guards against callers that retry too early and are refused again."""
        limiter = RateLimiter(1.0)
        limiter.set_rates(0.0, {"trust": 1.0})
        self.assertEqual(limiter.take(0.0, "trust"), 0.0)
        wait_s = limiter.take(0.5, "trust")
        self.assertEqual(limiter.take(0.5 + wait_s, "trust"), 0.0)


if __name__ == "__main__":
    unittest.main()
