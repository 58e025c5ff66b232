import unittest
from statistics import quantiles

from damasktide.membership.datagrams import Datagram
from damasktide.membership.guard import DatagramGuard
from damasktide.membership.instances import InstanceState
from damasktide.membership.messages import AnnounceVersion, Depart, Leave
from damasktide.membership.sizing import MAX_DATAGRAM_BYTES, DatagramSizing
from damasktide.membership.table import FAILED_VISIBLE_S, SUSPICION_TIMEOUT_S
from damasktide.membership.tests.in_process import InProcessNetwork, make_instance


def converged_network(instances: int, seed: int, **options: object) -> InProcessNetwork:
    """Return a network in which all instances list each other and the queues are empty."""
    network = InProcessNetwork(instances, seed, **options)  # type: ignore[arg-type]
    if not network.run_until(lambda: network.all_views_match(set(network.ids)), 20.0):
        raise AssertionError("the instances did not find each other within 20 s")
    network.run(3.0)
    return network


class DetectionTest(unittest.TestCase):
    def detection_times(self, instances: int, kills: int) -> tuple[list[float], list[float]]:
        network = converged_network(instances, seed=instances)
        first, last = [], []
        for killed_id in network.random.sample(network.ids, kills):
            since = network.now
            network.kill(killed_id)
            network.run(3.0)
            times = [change.at - since for change in network.failures(since)]
            failed_ids = {change.instance_id for change in network.failures(since)}
            self.assertEqual(failed_ids, {killed_id})
            self.assertEqual(len(times), len(network.swim_state_by_id))
            first.append(min(times))
            last.append(max(times))
        return first, last

    def test_a_lost_instance_is_detected_by_all(self) -> None:
        """Guards against slow or missed detection, and against failures of other instances."""
        for instances, kills in ((9, 6), (200, 3)):
            with self.subTest(instances):
                first, last = self.detection_times(instances, kills)
                self.assertGreater(min(first), SUSPICION_TIMEOUT_S)
                self.assertLess(quantiles(last, n=2)[0], 2.0)
                self.assertLess(max(last), 3.0)

    def test_no_failure_during_pauses_shorter_than_the_suspicion(self) -> None:
        """Guards against ownership changes on each short pause of a process."""
        network = converged_network(50, seed=7, delay_s=0.03)
        since = network.now
        for paused_id in network.random.sample(network.ids, 20):
            network.pause(paused_id, SUSPICION_TIMEOUT_S - 0.05)
            network.run(2.0)
        self.assertEqual(list(network.failures(since)), [])
        self.assertTrue(network.all_views_match(set(network.ids)))

    def test_a_paused_instance_declares_no_failures_and_rejoins(self) -> None:
        """Guards against a resumed process that declares others failed or does not rejoin."""
        network = converged_network(50, seed=8)
        paused_id = network.ids[20]
        since = network.now
        network.pause(paused_id, 10.0)
        network.run(9.9)
        observers = {change.observer_id for change in network.failures(since)}
        self.assertEqual(observers, set(network.ids) - {paused_id})
        self.assertTrue(network.run_until(lambda: network.all_views_match(set(network.ids)), 3.0))
        failed_ids = {change.instance_id for change in network.failures(since)}
        self.assertEqual(failed_ids, {paused_id})

    def test_lost_datagrams_cause_no_failure(self) -> None:
        """Guards against declaring instances failed because of a lossy link."""
        network = converged_network(25, seed=9, loss=0.05, delay_s=0.03)
        network.run(60.0)
        self.assertEqual(list(network.failures()), [])

    def test_a_broken_path_between_two_instances_causes_no_suspicion(self) -> None:
        """Guards against suspecting an instance that other peers still reach."""
        network = converged_network(9, seed=16)
        network.partitioned_pair = set(network.ids[3:5])
        network.run(30.0)
        states = {change.state for change in network.state_changes}
        self.assertEqual(states, {InstanceState.ALIVE})

    def test_a_failed_instance_leaves_the_view(self) -> None:
        """Guards against views that grow with every restart."""
        network = converged_network(9, seed=10)
        network.kill(network.ids[4])
        network.run(FAILED_VISIBLE_S - 2.0)
        self.assertEqual(
            network.ids_in_state(network.ids[0], InstanceState.FAILED), {network.ids[4]}
        )
        network.run(6.0)
        self.assertNotIn(network.ids[4], network.swim_state_by_id[network.ids[0]].view.state_by_id)


class PartitionTest(unittest.TestCase):
    def heal(self, network: InProcessNetwork, partition_s: float) -> None:
        sides = [set(network.ids[0::2]), set(network.ids[1::2])]
        network.partition_by_id = dict.fromkeys(sides[1], 1)
        network.run(partition_s)
        since = network.now
        network.partition_by_id = {}
        self.assertTrue(network.run_until(lambda: network.all_views_match(set(network.ids)), 15.0))
        network.run(3.0)
        wrong_failures = [
            change
            for change in network.failures(since)
            if any({change.observer_id, change.instance_id} <= side for side in sides)
        ]
        self.assertEqual(wrong_failures, [])
        self.assertTrue(network.all_views_match(set(network.ids)))

    def test_a_partition_heals_without_failures_on_either_side(self) -> None:
        """Guards against divergent views, and against failures adopted from the other side."""
        for partition_s in (1.5, 5.0, 200.0):
            with self.subTest(partition_s):
                self.heal(converged_network(24, seed=11), partition_s)

    def test_a_partition_heals_after_all_seeds_were_lost(self) -> None:
        """Guards against membership that depends on the seeds after startup."""
        network = converged_network(12, seed=12)
        for seed_id in network.ids[:2]:
            network.kill(seed_id)
        network.ids = network.ids[2:]
        network.run(40.0)
        self.heal(network, 60.0)


class JoinTest(unittest.TestCase):
    def test_a_new_instance_lists_all_others_within_a_second(self) -> None:
        """Guards against a member list that is filled only by random gossip."""
        network = converged_network(100, seed=17)
        new_id = network.add(make_instance(100))
        network.run(1.0)
        self.assertEqual(network.ids_in_state(new_id, InstanceState.ALIVE), {*network.ids, new_id})
        self.assertTrue(network.all_views_match({*network.ids, new_id}))


class StopTest(unittest.TestCase):
    def test_leaving_reaches_all_within_half_a_second(self) -> None:
        """Guards against assigning work to an instance that stops gracefully."""
        network = converged_network(50, seed=13)
        leaving_id = network.ids[9]
        network.step(leaving_id, Leave())
        network.run(0.5)
        for observer in network.ids:
            self.assertEqual(network.ids_in_state(observer, InstanceState.LEAVING), {leaving_id})
        network.step(leaving_id, Depart())
        network.kill(leaving_id)
        network.run(0.5)
        for observer in network.swim_state_by_id:
            self.assertEqual(network.ids_in_state(observer, InstanceState.FAILED), {leaving_id})

    def test_a_restarted_process_is_another_instance(self) -> None:
        """Guards against a new process whose acks keep its predecessor alive."""
        network = converged_network(9, seed=14)
        old, new = network.ids[3], make_instance(3, incarnation="1")
        network.kill(old)
        network.add(new)
        network.run(4.0)
        self.assertEqual(network.ids_in_state(network.ids[0], InstanceState.FAILED), {old})
        self.assertIn(new.instance_id, network.ids_in_state(network.ids[0], InstanceState.ALIVE))


class DatagramTest(unittest.TestCase):
    def test_versions_reach_all_and_every_datagram_fits(self) -> None:
        """Guards against versions that do not spread and against oversized datagrams."""
        guard_by_id: dict[str, DatagramGuard] = {}
        sizes: list[int] = []

        def transport(sender_id: str, datagram: Datagram) -> Datagram | None:
            data = guard_by_id.setdefault(sender_id, DatagramGuard(b"key")).seal(datagram)
            sizes.extend((len(data), DatagramSizing().datagram_bytes(datagram)))
            return receiver.unseal(data)

        receiver = DatagramGuard(b"key")
        network = converged_network(40, seed=15, transport=transport)
        for number in range(12):
            name = f"ownership/a-service-with-a-long-name-{number}"
            network.step(network.ids[5], AnnounceVersion(name, 3))
        network.step(network.ids[5], AnnounceVersion("configuration", 8))
        network.run(3.0)
        observed_names = {
            (observer, observed.name) for observer, observed in network.observed_versions
        }
        self.assertEqual(len(observed_names), 39 * 13)
        self.assertLessEqual(max(sizes), MAX_DATAGRAM_BYTES)


if __name__ == "__main__":
    unittest.main()
