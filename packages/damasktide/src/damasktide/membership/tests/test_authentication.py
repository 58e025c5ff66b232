import unittest

from damasktide.membership.authentication import REPLAY_WINDOW_BITS, ReplayGuard, seal, unseal


class SealTest(unittest.TestCase):
    def test_only_an_unchanged_payload_with_the_key_is_accepted(self) -> None:
        """Guards against accepting datagrams forged or modified without the key."""
        data = seal(b"key", b"payload")
        self.assertEqual(unseal(b"key", data), b"payload")
        self.assertIsNone(unseal(b"other", data))
        self.assertIsNone(unseal(b"key", data[:-1] + b"D"))
        self.assertIsNone(unseal(b"key", b""))


class ReplayGuardTest(unittest.TestCase):
    def test_each_sequence_number_is_accepted_once_in_any_order(self) -> None:
        """Guards against replays, and against dropping datagrams that the network reordered."""
        guard = ReplayGuard()
        order = [0, 5, 3, 4, 70, 1, 2, 69]
        self.assertTrue(all(guard.accept("a#1", sequence) for sequence in order))
        self.assertFalse(any(guard.accept("a#1", sequence) for sequence in order))

    def test_sequence_numbers_before_the_window_are_dropped(self) -> None:
        """Guards against replays of sequence numbers that precede the window."""
        guard = ReplayGuard()
        guard.accept("a#1", REPLAY_WINDOW_BITS)
        self.assertFalse(guard.accept("a#1", 0))
        self.assertTrue(guard.accept("a#1", 1))

    def test_each_incarnation_has_its_own_window(self) -> None:
        """Guards against dropping all datagrams of a restarted process."""
        guard = ReplayGuard()
        guard.accept("a#1", 5000)
        self.assertTrue(guard.accept("a#2", 0))


if __name__ == "__main__":
    unittest.main()
