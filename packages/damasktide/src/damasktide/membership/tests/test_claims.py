import unittest
from dataclasses import replace

from damasktide.membership.claims import Claim, Health, merge_claims
from damasktide.membership.instances import InstanceState
from damasktide.membership.tests.in_process import make_instance

ALIVE = Claim(make_instance(1), incarnation=3)
SUSPECT = replace(ALIVE, health=Health.SUSPECT)
FAILED = replace(ALIVE, health=Health.FAILED)


class MergeClaimsTest(unittest.TestCase):
    def test_only_the_subject_refutes(self) -> None:
        """Guards against stale claims ending a suspicion, and against ignored refutations."""
        self.assertIs(merge_claims(SUSPECT, ALIVE, True), SUSPECT)
        refuted = replace(ALIVE, incarnation=4)
        self.assertEqual(merge_claims(SUSPECT, refuted, False), refuted)
        self.assertEqual(merge_claims(FAILED, refuted, False), refuted)
        self.assertIs(merge_claims(refuted, FAILED, False), refuted)

    def test_failure_reported_by_a_third_party_is_a_suspicion(self) -> None:
        """Guards against the sides of a healed partition adopting failures from each other."""
        self.assertEqual(merge_claims(ALIVE, FAILED, False), SUSPECT)
        self.assertIs(merge_claims(SUSPECT, FAILED, False), SUSPECT)
        self.assertEqual(merge_claims(ALIVE, FAILED, True), FAILED)

    def test_leaving_is_never_reset(self) -> None:
        """Guards against assigning work to a leaving instance because of a late claim."""
        leaving = merge_claims(ALIVE, replace(ALIVE, leaving=True), False)
        later = merge_claims(leaving, replace(ALIVE, incarnation=9), False)
        self.assertEqual((later.incarnation, later.state), (9, InstanceState.LEAVING))
        gone = merge_claims(leaving, replace(FAILED, leaving=True), False)
        self.assertEqual(gone.state, InstanceState.FAILED)


if __name__ == "__main__":
    unittest.main()
