import unittest

from damasktide_standins.cluster.local_cluster import LocalCluster
from damasktide_standins.measure.layouts import LAYOUT_BY_USER, control_layout


class LayoutTest(unittest.TestCase):
    def test_users_layouts_have_their_present_sizes(self) -> None:
        """Guards against results from a deployment that is smaller than the user's."""
        for layout in LAYOUT_BY_USER.values():
            cluster = LocalCluster(layout)
            self.addCleanup(cluster.stop)
            self.assertEqual(len(cluster.instance_by_name), 9)
            counts = [
                sum(node.service == service.name for node in cluster.server_by_id.values())
                for service in layout.services
            ]
            self.assertEqual(counts, [25, 8])

    def test_control_layout_has_the_number_of_instances(self) -> None:
        """Guards against a slope over a number of instances that was not started."""
        for count in (2, 4, 9, 16):
            layout = control_layout(count)
            started = sum(layout.instances_in(domain) for domain in layout.region_by_domain)
            self.assertEqual(started, count)


if __name__ == "__main__":
    unittest.main()
