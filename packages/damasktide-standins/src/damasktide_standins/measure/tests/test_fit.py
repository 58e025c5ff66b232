import unittest

from damasktide_standins.measure.fit import fit


class FitTest(unittest.TestCase):
    def test_fit_of_collinear_points_is_exact(self) -> None:
        """Guards against swapped slope and intercept."""
        line = fit([(1, 5.0), (2, 7.0), (4, 11.0)])
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.intercept, 3.0)
        self.assertAlmostEqual(line.worst_relative_error, 0.0)
        self.assertAlmostEqual(line.at(10), 23.0)

    def test_error_shows_points_off_the_line(self) -> None:
        """Guards against a fitted line that hides a non-linear cost."""
        line = fit([(1, 1.0), (2, 4.0), (3, 9.0), (4, 16.0)])
        self.assertGreater(line.worst_relative_error, 0.1)


if __name__ == "__main__":
    unittest.main()
