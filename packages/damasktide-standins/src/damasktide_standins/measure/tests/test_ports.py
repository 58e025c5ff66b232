import unittest

from damasktide_standins.cluster.ports import FIRST_PORT, LAST_PORT, free_ports


class PortsTest(unittest.TestCase):
    def test_no_port_is_allocated_twice(self) -> None:
        """Guards against two processes of a deployment that are given the same port."""
        ports = [port for _ in range(50) for port in free_ports(3)]
        self.assertEqual(len(set(ports)), 150)
        self.assertTrue(all(FIRST_PORT <= port <= LAST_PORT for port in ports))


if __name__ == "__main__":
    unittest.main()
