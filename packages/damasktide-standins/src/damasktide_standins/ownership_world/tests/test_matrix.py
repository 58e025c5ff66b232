import unittest

from damasktide_standins.ownership_world.cells import Cell, run_cell
from damasktide_standins.ownership_world.explorer import explore
from damasktide_standins.ownership_world.faults import faults
from damasktide_standins.ownership_world.steps import steps
from damasktide_standins.ownership_world.world import SHAPE_BY_NAME

SHAPES = tuple(SHAPE_BY_NAME)


class MatrixTest(unittest.TestCase):
    def test_each_fault_and_each_step(self) -> None:
        """Guards against two owners, false refusals and keys that stay without an owner.

        Fixed part of the matrix: each fault at one step, so that each step occurs about twice;
        the whole matrix is run by the module ``matrix``.
        """
        names = list(steps)
        for index, fault in enumerate(faults):
            cell = Cell(SHAPES[index % 2], names[index % len(names)], (fault,), 1)
            with self.subTest(cell=str(cell)):
                verdict = run_cell(cell)
                self.assertTrue(verdict.was_run)
                self.assertEqual(verdict.problems, ())

    def test_random_schedules(self) -> None:
        """Guards against faults that only a combination of failures shows."""
        for seed in range(4):
            with self.subTest(seed=seed):
                self.assertEqual(explore(seed).problems, ())
