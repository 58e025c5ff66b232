"""Changes to a frame or its context that the authentication has to reject."""

import unittest
from dataclasses import replace

from damasktide.peering.authentication import Direction, FrameAuthenticator, LinkContext

KEY = b"k" * 32
CONTEXT = LinkContext("ondo-a-1#1", "ondo-b-1#2", b"n" * 16, b"m" * 16)


class FrameAuthenticatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.mac = FrameAuthenticator(KEY, CONTEXT).mac(Direction.TO_SERVER, 3, b"payload")

    def accepts(
        self,
        context: LinkContext = CONTEXT,
        key: bytes = KEY,
        direction: Direction = Direction.TO_SERVER,
        sequence: int = 3,
        payload: bytes = b"payload",
    ) -> bool:
        authenticator = FrameAuthenticator(key, context)
        return authenticator.is_authentic(direction, sequence, payload, self.mac)

    def test_the_unchanged_frame_is_accepted(self) -> None:
        """Guards against a check that rejects everything."""
        self.assertTrue(self.accepts())

    def test_a_changed_frame_or_context_is_rejected(self) -> None:
        """Guards against replayed, reflected, reordered, modified and forged frames."""
        changes: dict[str, dict[str, object]] = {
            "key": {"key": b"x" * 32},
            "direction": {"direction": Direction.TO_CLIENT},
            "sequence": {"sequence": 4},
            "payload": {"payload": b"Payload"},
            "client": {"context": replace(CONTEXT, client_id="ondo-a-1#9")},
            "server": {"context": replace(CONTEXT, server_id="ondo-b-1#9")},
            "client nonce": {"context": replace(CONTEXT, client_nonce=b"o" * 16)},
            "server nonce": {"context": replace(CONTEXT, server_nonce=b"o" * 16)},
        }
        for name, change in changes.items():
            with self.subTest(name):
                self.assertFalse(self.accepts(**change))  # type: ignore[arg-type]

    def test_field_boundaries_change_the_digest(self) -> None:
        """Guards against equal digests of two links whose concatenated ids are equal."""
        self.assertNotEqual(LinkContext("ab", "c").digest(), LinkContext("a", "bc").digest())


if __name__ == "__main__":
    unittest.main()
