import unittest

from damasktide_standins.measure.registry import DesignTarget, Sample
from damasktide_standins.measure.table import rows_of


class RowsTest(unittest.TestCase):
    def test_verdict_follows_the_direction_of_the_target(self) -> None:
        """Guards against a success rate that counts as met because it is below its target."""
        samples = [
            Sample("success", 0.9, "share", DesignTarget(0.999, is_upper=False)),
            Sample("gap", 1.5, "s", DesignTarget(2.0)),
            Sample("gap", 2.5, "s", DesignTarget(2.0)),
            Sample("gap", 2.2, "s", DesignTarget(2.0)),
        ]
        success, gap = rows_of("user", samples)
        self.assertIs(success.is_met, False)
        self.assertEqual((gap.middle, gap.low, gap.high, gap.repeats), (2.2, 1.5, 2.5, 3))
        self.assertIs(gap.is_met, False)

    def test_value_without_target_has_no_verdict(self) -> None:
        """Guards against a value without a target that is reported as met."""
        (row,) = rows_of("user", [Sample("rate", 1.0, "1/s")])
        self.assertIsNone(row.is_met)


if __name__ == "__main__":
    unittest.main()
