import unittest
from pathlib import Path

from returns.pipeline import is_successful

from damasktide.settings.reader import read_settings_file

EXAMPLES = Path(__file__).resolve().parents[6] / "examples"


class ExamplesTest(unittest.TestCase):
    def test_example_settings_have_no_findings(self) -> None:
        """Guards against examples that the instance no longer accepts."""
        files = [path for path in EXAMPLES.glob("*/*-1.yaml") if path.is_file()]
        self.assertEqual(len(files), 2)
        for path in files:
            result = read_settings_file(str(path))
            self.assertTrue(is_successful(result), str(result))


if __name__ == "__main__":
    unittest.main()
