import unittest

from damasktide_standins.ownership_world.explorer import explore
from damasktide_standins.ownership_world.tests.mutations import mutated

SEED_BY_MUTATION = {
    "basis and term of a grant": 1,
    "expiry of a right": 1,
    "wait of R + G": 1,
    "acknowledgements that block": 5,
    "witness in the quorum": 1,
    "conditional write": 20,
    "draining": 1,
    "commit check": 5,
    "fence of a reachable owner": 1,
}


class MutationTest(unittest.TestCase):
    def test_checker_reports_each_missing_mechanism(self) -> None:
        """Guards against a matrix that holds although a mechanism does nothing."""
        for name, seed in SEED_BY_MUTATION.items():
            with self.subTest(mutation=name, seed=seed), mutated(name):
                problems = explore(seed).problems
                self.assertTrue(any("overlap" in line or "ran" in line for line in problems))
