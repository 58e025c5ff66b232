"""The patches of the standard library."""

import time
import unittest
from importlib import metadata

import gevent

from damasktide.runtime.patching import patch_standard_library


class TestPatching(unittest.TestCase):
    def test_blocking_calls_cooperate_and_the_lookup_is_restored(self) -> None:
        look_up = metadata.entry_points
        patch_standard_library()
        self.assertIs(metadata.entry_points, look_up)
        other = gevent.spawn(lambda: "ran")
        time.sleep(0.01)
        self.assertEqual(other.value, "ran")
