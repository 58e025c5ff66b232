"""Runs all unittest tests of the workspace and prints a final line with the counts."""

from gevent import monkey

# The executables run with gevent's monkey patches, so the tests do too.
monkey.patch_all()

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

from loguru import logger

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def _known_red_ids() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists as failing due to an open fault."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def _flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _flatten(test)
        else:
            yield test


def _write_to_current_stderr(line: str) -> None:
    sys.stderr.write(line)


def _discover() -> Iterator[unittest.TestCase]:
    for source in (*sorted(ROOT.glob("packages/*/src")), ROOT / "platform" / "src"):
        loader = unittest.TestLoader()
        yield from _flatten(loader.discover(str(source), top_level_dir=str(source)))


def main() -> int:
    """Run all tests but the known red ones; return the exit code, 0 if they passed."""
    # The runner replaces sys.stderr during each test and prints the output of failed tests only.
    logger.remove()
    logger.add(_write_to_current_stderr)
    known_red_ids = _known_red_ids()
    suite = unittest.TestSuite()
    excluded_ids = []
    for test in _discover():
        if test.id() in known_red_ids:
            excluded_ids.append(test.id())
        else:
            suite.addTest(test)
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    for test_id in excluded_ids:
        print(f"known red, not run: {test_id}")
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
