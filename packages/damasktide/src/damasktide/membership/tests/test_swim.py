import unittest
from statistics import quantiles

from damasktide.membership.datagrams import Datagram
from damasktide.membership.guard import DatagramGuard
from damasktide.membership.instances import InstanceState
from damasktide.membership.messages import AnnounceVersion, Depart, Leave
from damasktide.membership.sizing import MAX_DATAGRAM_BYTES, DatagramSizing
from damasktide.membership.table import FAILED_VISIBLE_S, SUSPICION_S
from damasktide.membership.tests.in_process import InProcessNetwork, make_instance


def settled(instances: int, seed: int, **options: object) -> InProcessNetwork:
    """Return a network in which all instances see all others and the queues are empty."""
    network = InProcessNetwork(instances, seed, **options)  # type: ignore[arg-type]
    if not network.run_until(lambda: network.all_see(set(network.ids)), 20.0):
        raise AssertionError("the instances did not find each other within 20 s")
    network.run(3.0)
    return network


class DetectionTest(unittest.TestCase):
    def detection_times(self, instances: int, losses: int) -> tuple[list[float], list[float]]:
        network = settled(instances, seed=instances)
        first, last = [], []
        for lost_id in network.random.sample(network.ids, losses):
            since = network.now
            network.kill(lost_id)
            network.run(3.0)
            times = [declared.at - since for declared in network.failures(since)]
            blamed = {declared.instance_id for declared in network.failures(since)}
            self.assertEqual(blamed, {lost_id})
            self.assertEqual(len(times), len(network.state_by_id))
            first.append(min(times))
            last.append(max(times))
        return first, last

    def test_a_lost_instance_is_detected_by_all(self) -> None:
        """Guards against slow or missed detection, and against blaming anyone else."""
        for instances, losses in ((9, 6), (200, 3)):
            with self.subTest(instances):
                first, last = self.detection_times(instances, losses)
                self.assertGreater(min(first), SUSPICION_S)
                self.assertLess(quantiles(last, n=2)[0], 2.0)
                self.assertLess(max(last), 3.0)

    def test_no_failure_during_pauses_shorter_than_the_suspicion(self) -> None:
        """Guards against churn of ownership whenever a process is held up."""
        network = settled(50, seed=7, delay_s=0.03)
        since = network.now
        for paused_id in network.random.sample(network.ids, 20):
            network.pause(paused_id, SUSPICION_S - 0.05)
            network.run(2.0)
        self.assertEqual(list(network.failures(since)), [])
        self.assertTrue(network.all_see(set(network.ids)))

    def test_a_paused_instance_blames_nobody_and_is_accepted_again(self) -> None:
        """Guards against a resumed process that declares all others failed or stays out."""
        network = settled(50, seed=8)
        paused_id = network.ids[20]
        since = network.now
        network.pause(paused_id, 10.0)
        network.run(9.9)
        observers = {declared.observer_id for declared in network.failures(since)}
        self.assertEqual(observers, set(network.ids) - {paused_id})
        self.assertTrue(network.run_until(lambda: network.all_see(set(network.ids)), 3.0))
        blamed = {declared.instance_id for declared in network.failures(since)}
        self.assertEqual(blamed, {paused_id})

    def test_lost_datagrams_cause_no_failure(self) -> None:
        """Guards against a lossy link that takes instances out."""
        network = settled(25, seed=9, loss=0.05, delay_s=0.03)
        network.run(60.0)
        self.assertEqual(list(network.failures()), [])

    def test_a_broken_path_between_two_instances_causes_no_suspicion(self) -> None:
        """Guards against suspicion where others still reach the instance."""
        network = settled(9, seed=16)
        network.cut_pair = set(network.ids[3:5])
        network.run(30.0)
        seen = {declared.state for declared in network.declared}
        self.assertEqual(seen, {InstanceState.ALIVE})

    def test_a_failed_instance_leaves_the_view(self) -> None:
        """Guards against views that grow with every restart."""
        network = settled(9, seed=10)
        network.kill(network.ids[4])
        network.run(FAILED_VISIBLE_S - 2.0)
        self.assertEqual(network.sees(network.ids[0], InstanceState.FAILED), {network.ids[4]})
        network.run(6.0)
        self.assertNotIn(network.ids[4], network.state_by_id[network.ids[0]].view.state_by_id)


class PartitionTest(unittest.TestCase):
    def heal(self, network: InProcessNetwork, cut_s: float) -> None:
        sides = [set(network.ids[0::2]), set(network.ids[1::2])]
        network.side_by_id = dict.fromkeys(sides[1], 1)
        network.run(cut_s)
        since = network.now
        network.side_by_id = {}
        self.assertTrue(network.run_until(lambda: network.all_see(set(network.ids)), 15.0))
        network.run(3.0)
        wrong = [
            declared
            for declared in network.failures(since)
            if any({declared.observer_id, declared.instance_id} <= side for side in sides)
        ]
        self.assertEqual(wrong, [])
        self.assertTrue(network.all_see(set(network.ids)))

    def test_a_partition_heals_without_failures_on_either_side(self) -> None:
        """Guards against split views, and against failures spread across a healed link."""
        for cut_s in (1.5, 5.0, 200.0):
            with self.subTest(cut_s):
                self.heal(settled(24, seed=11), cut_s)

    def test_a_partition_heals_after_all_seeds_were_lost(self) -> None:
        """Guards against membership that depends on the seeds after the start."""
        network = settled(12, seed=12)
        for seed_id in network.ids[:2]:
            network.kill(seed_id)
        network.ids = network.ids[2:]
        network.run(40.0)
        self.heal(network, 60.0)


class JoinTest(unittest.TestCase):
    def test_a_new_instance_knows_all_others_soon(self) -> None:
        """Guards against a list of members that fills only by chance."""
        network = settled(100, seed=17)
        new_id = network.add(make_instance(100))
        network.run(1.0)
        self.assertEqual(network.sees(new_id, InstanceState.ALIVE), {*network.ids, new_id})
        self.assertTrue(network.all_see({*network.ids, new_id}))


class StopTest(unittest.TestCase):
    def test_leaving_is_seen_by_all_within_half_a_second(self) -> None:
        """Guards against new work for an instance that stops gracefully."""
        network = settled(50, seed=13)
        leaver = network.ids[9]
        network.step(leaver, Leave())
        network.run(0.5)
        for observer in network.ids:
            self.assertEqual(network.sees(observer, InstanceState.LEAVING), {leaver})
        network.step(leaver, Depart())
        network.kill(leaver)
        network.run(0.5)
        for observer in network.state_by_id:
            self.assertEqual(network.sees(observer, InstanceState.FAILED), {leaver})

    def test_a_replaced_process_is_another_instance(self) -> None:
        """Guards against a new process that keeps its predecessor alive by answering for it."""
        network = settled(9, seed=14)
        old, new = network.ids[3], make_instance(3, incarnation="1")
        network.kill(old)
        network.add(new)
        network.run(4.0)
        self.assertEqual(network.sees(network.ids[0], InstanceState.FAILED), {old})
        self.assertIn(new.instance_id, network.sees(network.ids[0], InstanceState.ALIVE))


class DatagramTest(unittest.TestCase):
    def test_versions_reach_all_and_every_datagram_fits(self) -> None:
        """Guards against versions that stay behind and against datagrams that are too long."""
        guard_by_id: dict[str, DatagramGuard] = {}
        sizes: list[int] = []

        def transport(sender_id: str, datagram: Datagram) -> Datagram | None:
            data = guard_by_id.setdefault(sender_id, DatagramGuard(b"key")).seal(datagram)
            sizes.extend((len(data), DatagramSizing().datagram_bytes(datagram)))
            return receiver.unseal(data)

        receiver = DatagramGuard(b"key")
        network = settled(40, seed=15, transport=transport)
        for number in range(12):
            name = f"ownership/a-service-with-a-long-name-{number}"
            network.step(network.ids[5], AnnounceVersion(name, 3))
        network.step(network.ids[5], AnnounceVersion("configuration", 8))
        network.run(3.0)
        seen = {(observer, seen.name) for observer, seen in network.versions_seen}
        self.assertEqual(len(seen), 39 * 13)
        self.assertLessEqual(max(sizes), MAX_DATAGRAM_BYTES)


if __name__ == "__main__":
    unittest.main()
