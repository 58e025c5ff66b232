import unittest

from damasktide.membership.authentication import REPLAY_WINDOW_BITS, ReplayGuard, seal, unseal


class SealTest(unittest.TestCase):
    def test_only_an_unchanged_payload_with_the_key_is_accepted(self) -> None:
        """Guards against datagrams that a stranger made or changed."""
        data = seal(b"key", b"payload")
        self.assertEqual(unseal(b"key", data), b"payload")
        self.assertIsNone(unseal(b"other", data))
        self.assertIsNone(unseal(b"key", data[:-1] + b"D"))
        self.assertIsNone(unseal(b"key", b""))


class ReplayGuardTest(unittest.TestCase):
    def test_each_number_is_accepted_once_in_any_order(self) -> None:
        """Guards against replays, and against dropping what the network reordered."""
        guard = ReplayGuard()
        order = [0, 5, 3, 4, 70, 1, 2, 69]
        self.assertTrue(all(guard.accept("a#1", sequence) for sequence in order))
        self.assertFalse(any(guard.accept("a#1", sequence) for sequence in order))

    def test_numbers_behind_the_window_are_dropped(self) -> None:
        """Guards against a replay of what the window no longer remembers."""
        guard = ReplayGuard()
        guard.accept("a#1", REPLAY_WINDOW_BITS)
        self.assertFalse(guard.accept("a#1", 0))
        self.assertTrue(guard.accept("a#1", 1))

    def test_incarnations_have_windows_of_their_own(self) -> None:
        """Guards against dropping everything that a restarted process sends."""
        guard = ReplayGuard()
        guard.accept("a#1", 5000)
        self.assertTrue(guard.accept("a#2", 0))


if __name__ == "__main__":
    unittest.main()
