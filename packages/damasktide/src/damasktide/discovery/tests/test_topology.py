import unittest

from damasktide.balancing.targets import Target
from damasktide.discovery.live_list import decode_live_list
from damasktide.discovery.topology import OutOfService, Topology
from damasktide.membership.instances import Instance, InstanceState
from damasktide.membership.messages import MembershipView


def instance(name: str, domain: str) -> Instance:
    return Instance(f"{name}#1", domain, "ondo", "127.0.0.1", 1, 2)


ONE, TWO, THREE = (instance(f"i{n}", f"ondo-{d}") for n, d in enumerate("aab", 1))
STATES = {
    ONE.instance_id: InstanceState.SUSPECT,
    TWO.instance_id: InstanceState.LEAVING,
    THREE.instance_id: InstanceState.ALIVE,
}
VIEW = MembershipView({one.instance_id: one for one in (ONE, TWO, THREE)}, STATES, 0.0)


class TopologyTest(unittest.TestCase):
    def test_suspected_instances_are_alive_and_leaving_ones_are_not(self) -> None:
        """Guards against roles that change with each suspicion or stay with a leaving instance."""
        self.assertEqual(Topology(VIEW).alive_instances(), (ONE, THREE))
        out = OutOfService(instances=frozenset({"i3"}))
        self.assertEqual(Topology(VIEW, out_of_service=out).alive_instances(), (ONE,))

    def test_domain_out_of_service_gets_no_work(self) -> None:
        """Guards against work for servers and instances of a domain that is out of service."""
        out_target, active_target = (
            Target(f"s-{d}", "batch-desk", f"ondo-{d}", "ondo", "127.0.0.1", 1) for d in "ab"
        )
        out = OutOfService(domains=frozenset({"ondo-a"}))
        topology = Topology(VIEW, (out_target, active_target), out)
        leaving = {t.server_id: t.leaving for t in topology.usable_targets("batch-desk")}
        self.assertEqual(leaving, {"s-a": True, "s-b": False})
        self.assertEqual([topology.is_out_of_service(one) for one in (ONE, THREE)], [True, False])

    def test_malformed_entry_of_the_live_list_is_skipped(self) -> None:
        """Guards against losing all servers because of one malformed entry."""
        entry = (
            '{"server_id":"s","service":"x","domain":"d","region":"r","host":"h","port":1,'
            '"state":"leaving"}'
        )
        targets = decode_live_list(f'{{"instances":[{{"server_id":"t"}},{entry}]}}')
        self.assertEqual([(t.server_id, t.leaving) for t in targets], [("s", True)])


if __name__ == "__main__":
    unittest.main()
