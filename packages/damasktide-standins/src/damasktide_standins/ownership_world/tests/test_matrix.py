import unittest

from damasktide_standins.ownership_world.cells import Cell, run_cell
from damasktide_standins.ownership_world.explorer import explore
from damasktide_standins.ownership_world.faults import faults
from damasktide_standins.ownership_world.simulation import SHAPE_BY_NAME
from damasktide_standins.ownership_world.steps import steps

SHAPES = tuple(SHAPE_BY_NAME)


class MatrixTest(unittest.TestCase):
    def test_each_fault_and_each_step(self) -> None:
        """Guards against two owners, false refusals and keys that stay without an owner.

        Runs a fixed part of the matrix: each fault at one step, so that each step occurs about
        twice. The module ``matrix`` runs the whole matrix.
        """
        names = list(steps)
        for index, fault in enumerate(faults):
            cell = Cell(SHAPES[index % 2], names[index % len(names)], (fault,), 1)
            with self.subTest(cell=str(cell)):
                cell_result = run_cell(cell)
                self.assertTrue(cell_result.was_run)
                self.assertEqual(cell_result.problems, ())

    def test_random_schedules(self) -> None:
        """Guards against errors that only occur under a combination of faults."""
        for seed in range(4):
            with self.subTest(seed=seed):
                self.assertEqual(explore(seed).problems, ())
