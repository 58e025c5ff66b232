import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from damasktide.membership import codec
from damasktide.membership.authentication import MAC_BYTES
from damasktide.membership.claims import Claim, Health
from damasktide.membership.codec import DatagramError, decode_datagram, encode_datagram
from damasktide.membership.datagrams import (
    Ack,
    Datagram,
    Gossip,
    Join,
    Page,
    Ping,
    PingRequest,
    Pull,
    Welcome,
)
from damasktide.membership.guard import DatagramGuard
from damasktide.membership.instances import Instance
from damasktide.membership.sizing import DatagramSizing

TEXTS = st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=20)
NUMBERS = st.integers(0, 2**63)
PORTS = st.integers(0, 65535)
INSTANCES = st.builds(Instance, TEXTS, TEXTS, TEXTS, TEXTS, PORTS, PORTS)
CLAIMS = st.builds(
    Claim, INSTANCES, st.integers(0, 2**32 - 1), st.sampled_from(Health), st.booleans()
)
BODIES = st.one_of(
    st.builds(Ping, NUMBERS),
    st.builds(Ack, NUMBERS),
    st.builds(PingRequest, NUMBERS, TEXTS),
    st.builds(Pull, TEXTS),
    st.builds(Page, TEXTS, st.booleans()),
    st.sampled_from([Join(), Welcome(), Gossip()]),
)
DATAGRAMS = st.builds(
    Datagram,
    CLAIMS,
    TEXTS,
    BODIES,
    st.lists(CLAIMS, max_size=4).map(tuple),
    st.dictionaries(TEXTS, NUMBERS, max_size=3),
)


def unpacked_bytes(datagram: Datagram) -> int:
    """Return the size of the payload before packing."""
    message = codec._SCHEMA.Datagram.from_bytes_packed(encode_datagram(datagram, 0))
    return len(message.as_builder().to_bytes())


class CodecTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(DATAGRAMS, NUMBERS)
    def test_datagrams_round_trip_and_match_their_computed_size(
        self, datagram: Datagram, sequence: int
    ) -> None:
        """Guards against lost fields and against datagrams larger than their computed size."""
        self.assertEqual(
            decode_datagram(encode_datagram(datagram, sequence)), (datagram, sequence)
        )
        computed = DatagramSizing().datagram_bytes(datagram)
        self.assertEqual(unpacked_bytes(datagram) + MAC_BYTES, computed)
        self.assertLessEqual(len(DatagramGuard(b"key").seal(datagram)), computed)

    def test_damaged_payloads_raise_only_datagram_errors(self) -> None:
        """Guards against a malformed datagram that ends the task."""
        own_claim = Claim(Instance("ondo-a-1#0", "ondo-a", "ondo", "10.0.0.1", 1, 2))
        payload = encode_datagram(
            Datagram(own_claim, "x", Ping(1), (own_claim,), {"configuration": 3}), 1
        )
        for length in range(0, len(payload), 5):
            with self.subTest(length), self.assertRaises(DatagramError):
                decode_datagram(payload[:length] or b"\xff")


if __name__ == "__main__":
    unittest.main()
